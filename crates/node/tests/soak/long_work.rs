//! Long requests in the calm part of a soak: they fill all slots of a service, and go on while gateways are stopped.
//!
//! Their callers keep to one gateway, on open connections and new ones, until its process is gone.

use std::net;
use std::sync;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use rand::{RngExt as _, SeedableRng as _, rngs};
use standin::platform::upstream;
use tokio::net::TcpStream;

use crate::callers;
use crate::client;
use crate::rig;

/// Soaks of which one has such requests, and which of them it is.
pub const EVERY: u64 = 4;
/// See [`EVERY`].
pub const AT: u64 = 0;

/// Service of these requests.
pub const SERVICE: &str = "vault";

/// Hall of its upstreams, which no soak evacuates.
const HALL: &str = "south-1";

/// Prefix of their path.
pub const PREFIX: &str = "/book/";

/// Time between the stops of two gateways, and between a stop and what overlaps it.
pub const GAP: Duration = Duration::from_secs(1);

/// Time before the first stop, in which all slots are taken for longer than usual.
pub const FULL: Duration = Duration::from_secs(5);

/// Time from the first stop until all stopped gateways are gone.
pub const STOPPING: Duration = Duration::from_millis(8_500);

/// Time between SIGTERM and SIGKILL, of the settings' defaults.
const GRACE: Duration = Duration::from_secs(6);

/// Time after a SIGTERM in which a request may be sent that is still at work in the last sixth of the grace time.
const TAKEN_EARLY: Duration = Duration::from_secs(3);

/// Upstreams, and slots and queue of each.
const UPSTREAMS: usize = 3;
/// See [`UPSTREAMS`].
const SLOTS: u32 = 2;
/// See [`UPSTREAMS`].
const QUEUE: u32 = 12;

/// Callers; more than there are slots.
const CALLERS: usize = 9;

/// Shortest and longest work of a soak, in milliseconds.
const WORK_MS: (u64, u64) = (1_500, 2_400);

/// Usual work, before.
const SHORT_WORK: Duration = Duration::from_millis(50);

/// Time that usual requests are sent for.
const WARM_UP: Duration = Duration::from_secs(1);

/// Timeout of the route, which is shorter than what requests say.
const DEADLINE: Duration = Duration::from_secs(8);

/// Time by which a request that has its whole time may end earlier.
const TOLERANCE: Duration = Duration::from_millis(100);

/// Pause of a caller after a refusal or a failed connection.
const PAUSE: Duration = Duration::from_millis(60);

/// Makes the draw another one than those of the faults.
const SEED: u64 = 0x6c6f_6e67;

/// What became of a request.
#[derive(Clone, Debug)]
struct Outcome {
    id: String,
    gateway: net::SocketAddr,
    sent: Instant,
    ended: Instant,
    /// The status of the whole answer; 0 without one.
    status: u16,
}

/// Long requests under way.
pub struct LongWork {
    work: Duration,
    upstreams: Vec<upstream::Upstream>,
    is_over: sync::Arc<AtomicBool>,
    callers: Vec<tokio::task::JoinHandle<Vec<Outcome>>>,
    stops: Vec<(net::SocketAddr, Instant)>,
}

/// What long requests showed.
#[derive(Debug, Default)]
pub struct Report {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Gateways whose stop cut off requests that it may: sent early, and at work late in the grace time.
    pub cut_off: Vec<net::SocketAddr>,
}

impl LongWork {
    /// Starts the service and its callers; its requests are short at first, then long.
    pub async fn start(seed: u64, rig: &rig::Rig, addresses: &callers::Addresses) -> Self {
        let mut random = rngs::StdRng::seed_from_u64(seed ^ SEED);
        let work = Duration::from_millis(random.random_range(WORK_MS.0..=WORK_MS.1));
        let mut upstreams = Vec::new();
        for index in 0..UPSTREAMS {
            let upstream = rig.upstream(&format!("{SERVICE}-{index}"), SERVICE, HALL).await;
            upstream.run_at_once(SLOTS, QUEUE, SHORT_WORK);
            upstreams.push(upstream);
        }
        let is_over = sync::Arc::new(AtomicBool::new(false));
        let callers = (0..CALLERS).map(|number| {
            tokio::spawn(call(number, sync::Arc::clone(addresses), sync::Arc::clone(&is_over)))
        });
        let callers = callers.collect();
        tokio::time::sleep(WARM_UP).await;
        upstreams.iter().for_each(|upstream| upstream.run_at_once(SLOTS, QUEUE, work));
        Self { work, upstreams, is_over, callers, stops: Vec::new() }
    }

    /// Records that a gateway is told to stop.
    pub fn record_stop(&mut self, gateway: net::SocketAddr) {
        self.stops.push((gateway, Instant::now()));
    }

    /// Returns the names of the upstreams, as the store holds them.
    pub fn upstreams(&self) -> impl Iterator<Item = &str> {
        self.upstreams.iter().map(|upstream| upstream.id.as_str())
    }

    /// Ends the callers, and returns what they saw.
    pub async fn finish(&mut self) -> Report {
        self.is_over.store(true, Ordering::Relaxed);
        let mut outcomes = Vec::new();
        for caller in self.callers.drain(..) {
            outcomes.extend(caller.await.expect("a caller does not panic"));
        }
        let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
        println!("long requests of {:?}: served={served} of {}", self.work, outcomes.len());
        let mut broken: Vec<String> =
            outcomes.iter().filter_map(|outcome| self.of_request(outcome)).collect();
        if served == 0 {
            broken.push("RECOVER: no long request was served".to_owned());
        }
        let is_cut_off = |outcome: &&Outcome| outcome.status == 0 && self.is_allowed(outcome);
        let cut_off = outcomes.iter().filter(is_cut_off).map(|outcome| outcome.gateway).collect();
        Report { broken, cut_off }
    }

    /// Returns the promise that was broken to a caller.
    fn of_request(&self, outcome: &Outcome) -> Option<String> {
        let Outcome { id, sent, ended, status, .. } = outcome;
        let ran: u32 = self.upstreams.iter().filter_map(|u| u.record().ran.get(id).copied()).sum();
        let is_in_time = ended.duration_since(*sent) + TOLERANCE < DEADLINE;
        match *status {
            _ if ran > 1 => Some(format!("TWICE: {id} ran {ran} times")),
            429 | 503 if ran > 0 => Some(format!("REFUSED: {id} got {status} and ran")),
            0 | 502 | 504 if ran > 0 && is_in_time && !self.is_allowed(outcome) => {
                Some(format!("LOST: {id} ran and got {status}: {outcome:?}, {:?}", self.stops))
            }
            _ => None,
        }
    }

    /// Returns whether a request was sent early in a stop, and its upstream was at work late in the grace time.
    fn is_allowed(&self, outcome: &Outcome) -> bool {
        let stop = self.stops.iter().find(|(gateway, _)| *gateway == outcome.gateway);
        stop.is_some_and(|(_, at)| {
            outcome.sent < *at + TAKEN_EARLY && outcome.ended >= *at + GRACE * 5 / 6
        })
    }
}

/// Sends one request after the other to one gateway until its process is gone, and then to another.
async fn call(
    number: usize,
    addresses: callers::Addresses,
    is_over: sync::Arc<AtomicBool>,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    let mut turn = number;
    while !is_over.load(Ordering::Relaxed) {
        let gateway = {
            let addresses = addresses.read().expect("no writer panics");
            addresses[turn % addresses.len()]
        };
        ask_until_gone(number, gateway, &mut outcomes, &is_over).await;
        turn += 1;
    }
    outcomes
}

async fn ask_until_gone(
    number: usize,
    gateway: net::SocketAddr,
    outcomes: &mut Vec<Outcome>,
    is_over: &AtomicBool,
) {
    let mut open = None;
    while !is_over.load(Ordering::Relaxed) {
        let connection = match open.take() {
            Some(connection) => Some(connection),
            None => TcpStream::connect(gateway).await.ok().map(client::Client::over),
        };
        let Some(mut connection) = connection else { return tokio::time::sleep(PAUSE).await };
        let id = format!("{}-long-{number}-{}", std::process::id(), outcomes.len());
        let request = client::request("POST", &format!("{PREFIX}{number}"), &id, "x");
        // Each about an object of its own, so that all upstreams get some.
        let request = request.replace("Key=7", &format!("Key={number}"));
        let sent = Instant::now();
        let answer = connection.try_ask(&request).await;
        let status = if answer.is_whole { answer.status } else { 0 };
        outcomes.push(Outcome { id, gateway, sent, ended: Instant::now(), status });
        if status != 200 {
            tokio::time::sleep(PAUSE).await;
        }
        if answer.is_whole && answer.header("connection") != Some("close") {
            open = Some(connection);
        }
    }
}
