//! Asks every node again and again for the splits that it has in force.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use serde::Deserialize;
use standin::split;
use tokio::sync::{Mutex, watch};

use crate::client;
use crate::demo::owners::fleet;

/// Time between two rounds; ten of them in the window of the examples' caps.
const PERIOD: Duration = Duration::from_millis(100);

/// What is read of a node's state.
#[derive(Deserialize)]
struct State {
    splits: Vec<Split>,
}

#[derive(Deserialize)]
struct Split {
    service: String,
    place: String,
    shares: collections::BTreeMap<String, f64>,
}

/// Samples until `stop` is set.
pub async fn run(
    fleet: sync::Arc<Mutex<fleet::Fleet>>,
    mut stop: watch::Receiver<bool>,
) -> split::Samples {
    let (nodes, token) = {
        let fleet = fleet.lock().await;
        let nodes = fleet.nodes.iter();
        let nodes: Vec<_> = nodes.map(|(name, n)| (name.to_string(), n.listen.operators)).collect();
        (nodes, fleet.token.clone())
    };
    let clients: Vec<_> = nodes
        .into_iter()
        .map(|(name, address)| (name, client::Client::with_token(address, &token)))
        .collect();
    let mut samples = split::Samples::default();
    let mut starts: collections::BTreeMap<String, u32> = collections::BTreeMap::new();
    while !*stop.borrow() {
        for (node, client) in &clients {
            let start = starts.entry(node.clone()).or_default();
            let asked = Instant::now();
            match client.state().await.and_then(|state| Ok(serde_json::from_value(state)?)) {
                Ok(state) => add(&mut samples, (node, *start), state, asked),
                // The demo kills nodes; what it says after that is compared with nothing before.
                Err(_) => *start += 1,
            }
        }
        tokio::select! {
            () = tokio::time::sleep(PERIOD) => {}
            _ = stop.changed() => {}
        }
    }
    samples
}

fn add(samples: &mut split::Samples, (node, start): (&str, u32), state: State, asked: Instant) {
    let answered = Instant::now();
    for Split { service, place, shares } in state.splits {
        let key = split::Key { node: node.to_owned(), start, service, place };
        samples.add(key, split::Sample { asked, answered, shares });
    }
}
