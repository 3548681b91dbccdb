//! What gateways hold at the end of a soak: all the same, and what the store holds.

use std::collections;
use std::fmt;
use std::net;
use std::time::{Duration, Instant};

use serde_json::Value;

use crate::client;
use crate::rig;

/// Time after which all hold the same.
const SAME_AFTER: Duration = Duration::from_secs(3);

/// What binds a gateway.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Version of the configuration.
    pub version: Option<u64>,
    /// Evacuated halls.
    pub evacuated: collections::BTreeSet<String>,
    /// Upstreams that service discovery lists, with whether it knows that they leave by their own word.
    pub upstreams: collections::BTreeMap<String, bool>,
    /// Requests that are held back.
    pub rulings: collections::BTreeSet<String>,
    /// The store's era, and the revision in it.
    pub position: (Option<u64>, Option<u64>),
    /// The number of the fleet.
    pub fleet: Option<String>,
}

impl fmt::Display for Held {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { version, evacuated, upstreams, rulings, position, fleet } = self;
        let leaving: Vec<&String> =
            upstreams.iter().filter(|(_, leaves)| **leaves).map(|(id, _)| id).collect();
        let count = upstreams.len();
        write!(
            f,
            "{version:?} {evacuated:?} {count} upstreams, {leaving:?} leave, {rulings:?} {position:?} {fleet:?}"
        )
    }
}

impl Held {
    /// Asks a gateway at its address for peers.
    pub async fn of(peers: net::SocketAddr) -> Self {
        let mut client = client::Client::connect(peers).await;
        client.write(b"GET /dump HTTP/1.1\r\nHost: a\r\n\r\n").await;
        let answer = client.read().await;
        Self::read(&serde_json::from_slice(&answer.body).expect("a dump is JSON"))
    }

    fn read(dump: &Value) -> Self {
        let list = |name: &str| dump[name].as_array().cloned().unwrap_or_default();
        let text = |value: &Value| value.as_str().unwrap_or_default().to_owned();
        let upstream = |u: &Value| (text(&u["id"]), !u["leaving"].is_null());
        Self {
            version: dump["config_version"].as_u64(),
            evacuated: list("evacuated").iter().map(text).collect(),
            upstreams: list("upstreams").iter().map(upstream).collect(),
            rulings: list("quarantine").iter().map(|held| text(&held["fingerprint"])).collect(),
            position: (dump["store_era"].as_u64(), dump["revision"].as_u64()),
            fleet: dump["fleet"].as_str().map(str::to_owned),
        }
    }

    /// Returns whether it is what the store holds: a configuration, evacuated halls and upstreams.
    fn is_of_store(&self, store: &Store<'_>) -> bool {
        let ids: collections::BTreeSet<&str> = self.upstreams.keys().map(String::as_str).collect();
        let evacuated: collections::BTreeSet<&str> =
            self.evacuated.iter().map(String::as_str).collect();
        self.version == Some(store.version)
            && evacuated == store.evacuated
            && ids == store.upstreams
    }
}

/// What the store holds that binds gateways.
#[derive(Clone, Debug)]
pub struct Store<'a> {
    /// Version of the configuration.
    pub version: u64,
    /// Evacuated halls.
    pub evacuated: collections::BTreeSet<&'a str>,
    /// Upstreams.
    pub upstreams: collections::BTreeSet<&'a str>,
}

/// Waits until gateways hold the same, and what the store holds; returns where they do not in time.
pub async fn broken(gateways: &[(&str, net::SocketAddr)], store: &Store<'_>) -> Vec<String> {
    let began = Instant::now();
    loop {
        let mut held = Vec::new();
        for (name, peers) in gateways {
            held.push((*name, Held::of(*peers).await));
        }
        let differs = |(_, h): &&(&str, Held)| *h != held[0].1 || !h.is_of_store(store);
        let differing: Vec<_> = held.iter().filter(differs).collect();
        if differing.is_empty() {
            return Vec::new();
        }
        if began.elapsed() > SAME_AFTER {
            let line = |(name, held): &(&str, Held)| format!("SAME: {name} holds {held}");
            return held.iter().map(line).chain([format!("SAME: the store: {store:?}")]).collect();
        }
        tokio::time::sleep(rig::LOOK_EVERY).await;
    }
}
