//! Gateways that go by an old copy of the store, at the end of a soak: they start from stale reads, or stood still, while a
//! hall was evacuated and its upstreams became cold.

use std::net;
use std::sync;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use platform::fact;
use rand::{RngExt as _, SeedableRng as _, rngs};
use standin::platform::{listener, upstream};

use crate::callers;
use crate::client;
use crate::rig;

/// Soaks of which one has such gateways, and which of them it is.
pub const EVERY: u64 = 4;
/// See [`EVERY`].
pub const AT: u64 = 2;

/// Service of these requests; its cold rate is that of [`rig`].
pub const SERVICE: &str = "attic";

/// Prefix of their path.
pub const PREFIX: &str = "/old/";

/// Hall of its upstreams, which no soak evacuates otherwise.
const HALL: &str = "south-1";

/// Upstreams, and callers at once.
const UPSTREAMS: usize = 4;
/// See [`UPSTREAMS`].
const CALLERS: usize = 16;

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(10);

/// Most requests that a cold upstream may get within a second, by the defaults of the settings.
const MOST: usize = 11;

/// Time in which requests of a cold upstream are counted.
const SECOND: Duration = Duration::from_secs(1);

/// Time for which upstreams are cold; longer than callers ask afterwards.
const COLD: Duration = Duration::from_secs(8);

/// Time in which all gateways know of an evacuation.
pub const IN_FORCE: Duration = Duration::from_millis(1_500);

/// Time for which callers ask after the gateways are back, and for which the store stays as it is drawn.
pub const ASKED: Duration = Duration::from_millis(2_500);

/// Time between two kills of all gateways.
pub const AGAIN: Duration = Duration::from_millis(400);

/// Makes the draw another one than those of the faults.
const SEED: u64 = 0x6f6c_6463;

/// What happens to the gateways.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strike {
    /// All are killed.
    KillAll,
    /// All are killed, and once more as soon as they are back.
    KillAllTwice,
    /// Every other one is killed.
    KillHalf,
    /// One stands still from before the evacuation until the hall is taken back.
    PauseOne,
}

/// What the store does from before the gateways are back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Store {
    /// It answers stale reads with an old copy, and everything else.
    Open,
    /// The same, and its history is gone.
    Compacted,
    /// It answers stale reads only.
    Silent,
}

/// What a soak draws.
#[derive(Clone, Copy, Debug)]
pub struct Draw {
    /// What happens to the gateways.
    pub strike: Strike,
    /// What the store does.
    pub store: Store,
}

impl Draw {
    /// Draws for a seed.
    pub fn new(seed: u64) -> Self {
        let mut random = rngs::StdRng::seed_from_u64(seed ^ SEED);
        let strikes = [Strike::KillAll, Strike::KillAllTwice, Strike::KillHalf, Strike::PauseOne];
        let stores = [Store::Open, Store::Compacted, Store::Silent];
        Self {
            strike: strikes[random.random_range(0..strikes.len())],
            store: stores[random.random_range(0..stores.len())],
        }
    }

    /// Returns how the store's listeners answer.
    pub fn mode(self) -> listener::Mode {
        match self.store {
            Store::Open | Store::Compacted => listener::Mode::Open,
            Store::Silent => listener::Mode::StaleReads,
        }
    }
}

/// Requests for upstreams that become cold.
pub struct OldCopy {
    upstreams: Vec<upstream::Upstream>,
    is_over: sync::Arc<AtomicBool>,
    callers: Vec<tokio::task::JoinHandle<()>>,
    cold_since: Option<Instant>,
}

impl OldCopy {
    /// Starts the service and its callers.
    pub async fn start(rig: &rig::Rig, addresses: &callers::Addresses) -> Self {
        let mut upstreams = Vec::new();
        for index in 0..UPSTREAMS {
            upstreams.push(rig.upstream(&format!("{SERVICE}-{index}"), SERVICE, HALL).await);
        }
        let is_over = sync::Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|number| {
            tokio::spawn(call(number, sync::Arc::clone(addresses), sync::Arc::clone(&is_over)))
        });
        Self { upstreams, callers: callers.collect(), is_over, cold_since: None }
    }

    /// Evacuates the hall, or takes it back.
    pub fn evacuate(rig: &rig::Rig, is_evacuated: bool) {
        let key = format!("{}{HALL}", fact::EVACUATIONS);
        match is_evacuated {
            true => rig.store.put(&key, b"{}"),
            false => rig.store.remove(&key),
        };
    }

    /// Lets the upstreams become cold, and their entries say so.
    pub fn go_cold(&mut self, rig: &rig::Rig) {
        for upstream in &self.upstreams {
            rig.go_cold(upstream, SERVICE, HALL, COLD);
        }
        self.cold_since = Some(Instant::now());
    }

    /// Ends the requests; returns what was broken.
    pub async fn finish(self, draw: Draw) -> Vec<String> {
        self.is_over.store(true, Ordering::Relaxed);
        for caller in self.callers {
            caller.await.expect("a caller does not panic");
        }
        let since = self.cold_since.expect("the upstreams became cold");
        let most = |upstream: &upstream::Upstream| upstream.record().most_within(SECOND, since);
        let over = self.upstreams.iter().map(|u| (&u.id, most(u))).filter(|(_, most)| *most > MOST);
        let broken = over.map(|(id, most)| {
            format!("FAILBACK: cold {id} got {most} requests in a second of {MOST}, {draw:?}")
        });
        broken.collect()
    }

    /// Returns the names of the upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &str> {
        self.upstreams.iter().map(|upstream| upstream.id.as_str())
    }
}

async fn call(number: usize, addresses: callers::Addresses, is_over: sync::Arc<AtomicBool>) {
    let mut turn = number;
    while !is_over.load(Ordering::Relaxed) {
        turn += 1;
        tokio::time::sleep(PAUSE).await;
        let Some(address) = address(&addresses, turn) else { continue };
        let Ok(stream) = tokio::net::TcpStream::connect(address).await else { continue };
        let id = format!("{}-old-{number}-{turn}", std::process::id());
        let text = client::request("GET", &format!("{PREFIX}{turn}"), &id, "");
        client::Client::over(stream).try_ask(&text).await;
    }
}

fn address(addresses: &callers::Addresses, turn: usize) -> Option<net::SocketAddr> {
    let addresses = addresses.read().expect("no writer panics");
    let count = addresses.len();
    addresses.get(turn % count.max(1)).copied()
}
