//! Gateways under the requests of many callers.

use std::sync;
use std::time::{Duration, Instant};

use standin::platform::listener::Listener;
use standin::platform::upstream::Upstream;

use crate::client;
use crate::rig::{self, Gateway, Rig};

/// What callers ask for.
pub const PATH: &str = "/read/object";

/// Where the gateways and the upstreams stand.
pub const HALLS: [&str; 3] = ["north-1", "north-2", "north-1"];

/// Gateways of one region, and upstreams that may name limits.
pub struct Fleet {
    /// The deployment.
    pub rig: Rig,
    /// The store, as the gateways reach it.
    pub door: sync::Arc<Listener>,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The gateways.
    pub gateways: Vec<Gateway>,
}

/// What became of one request.
#[derive(Clone, Debug)]
pub struct Asked {
    /// When it was sent.
    pub at: Instant,
    /// Time until its answer.
    pub took: Duration,
    /// Its answer.
    pub answer: client::Answer,
}

impl Fleet {
    /// Starts gateways, and as many upstreams.
    pub async fn start(upstreams: usize) -> Self {
        Self::start_with(&HALLS, upstreams).await
    }

    /// Starts a gateway in each of `halls`, and as many upstreams.
    pub async fn start_with(halls: &[&str], upstreams: usize) -> Self {
        let rig = Rig::start(&rig::routes()).await;
        let mut started = Vec::new();
        for index in 0..upstreams {
            started.push(rig.upstream(&format!("i-{index}"), "desk", HALLS[index % 3]).await);
        }
        let door = rig.store.open().await.expect("the store opens");
        let mut fleet = Self { rig, door, upstreams: started, gateways: Vec::new() };
        for (index, hall) in halls.iter().enumerate() {
            fleet.start_gateway(&format!("n-{index}"), hall).await;
        }
        fleet
    }

    /// Starts one more gateway.
    pub async fn start_gateway(&mut self, name: &str, hall: &str) {
        let seeds: Vec<_> = self.gateways.iter().map(|gateway| gateway.peers).collect();
        let gateway = self.rig.gateway_at(name, hall, self.door.address, &seeds).await;
        gateway.wait_ready().await;
        self.gateways.push(gateway);
    }

    /// Asks each gateway so many times a second together, for `time`; returns what became of the requests.
    pub async fn ask(&self, per_second: f64, time: Duration) -> Vec<Asked> {
        let pause = Duration::from_secs_f64(count(self.gateways.len()) / per_second);
        let started = Instant::now();
        let callers = self.gateways.iter().enumerate().map(|(number, gateway)| {
            let address = gateway.callers;
            tokio::spawn(async move {
                let mut asked = tokio::task::JoinSet::new();
                while started.elapsed() < time {
                    let at = Instant::now();
                    let id = format!("id-{number}-{}", started.elapsed().as_nanos());
                    asked.spawn(async move {
                        let answer = client::Client::connect(address).await.get(PATH, &id).await;
                        Asked { at, took: at.elapsed(), answer }
                    });
                    tokio::time::sleep_until((at + pause).into()).await;
                }
                asked.join_all().await
            })
        });
        let callers: Vec<_> = callers.collect();
        let mut asked = Vec::new();
        for caller in callers {
            asked.extend(caller.await.expect("the caller ends"));
        }
        asked
    }

    /// Returns the upstream that the object prefers, which is asked for.
    pub async fn preferred(&self) -> &Upstream {
        self.ask(60.0, Duration::from_millis(500)).await;
        let arrivals = |upstream: &&Upstream| upstream.record().arrivals;
        self.upstreams.iter().max_by_key(arrivals).expect("there are upstreams")
    }
}

/// Returns a count as a number to reckon with.
#[expect(clippy::cast_precision_loss, reason = "some hundreds")]
pub fn count(number: usize) -> f64 {
    number as f64
}
