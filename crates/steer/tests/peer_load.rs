//! Checks that the incrementally updated load totals equal the sums of the latest reports.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use rand::RngExt as _;
use rand::SeedableRng as _;
use steer::dispatch::peer_load;

/// Number of generated reports.
const REPORTS: usize = 20_000;

/// Number of upstreams in the reports.
const UPSTREAMS: u32 = 12;

/// Age beyond which a report is ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

type Requests = Vec<(peer_load::Key, u32)>;

fn random_report(rng: &mut rand::rngs::StdRng) -> Requests {
    let count = rng.random_range(0..8);
    let entry = |rng: &mut rand::rngs::StdRng| {
        (peer_load::Key(rng.random_range(0..UPSTREAMS)), rng.random_range(0..5))
    };
    (0..count).map(|_| entry(rng)).collect()
}

#[test]
fn totals_equal_the_sums_of_the_latest_reports() {
    let mut rng = rand::rngs::StdRng::seed_from_u64(1);
    let mut now = Instant::now();
    let mut peers = peer_load::PeerLoads::default();
    let mut latest: collections::BTreeMap<id::Node, (Requests, Instant)> =
        collections::BTreeMap::new();
    let mut totals = collections::BTreeMap::new();
    for _ in 0..REPORTS {
        now += Duration::from_millis(rng.random_range(0..300));
        let node = id::Node::new(&format!("n-{}", rng.random_range(0..9)));
        let requests = random_report(&mut rng);
        latest.insert(node.clone(), (requests.clone(), now));
        latest.retain(|_, (_, received)| now - *received <= MAX_REPORT_AGE);
        let mut changed = peers.report(node, requests, now);
        changed.extend(peers.expire(now));
        // Reads only the totals that were returned as changed, as the dispatcher does.
        for key in changed {
            totals.insert(key, peers.total(key));
        }
        for key in (0..UPSTREAMS).map(peer_load::Key) {
            let reported = latest.values().flat_map(|(requests, _)| requests);
            let sum: u32 =
                reported.filter(|(reported_key, _)| *reported_key == key).map(|(_, n)| n).sum();
            assert_eq!(totals.get(&key).copied().unwrap_or(0), sum);
        }
    }
}
