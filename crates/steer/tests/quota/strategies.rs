//! Rejected strategies for enforcing a limit over a fleet, for comparison with the implemented one.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::simulation::{Fault, Fleet, Load, Outcome};
use crate::{RATE, SLACK};

/// Time until the other nodes know of an admitted request.
const DELAY: Duration = Duration::from_millis(250);

/// Strategy for enforcing a limit over a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Strategy {
    /// The implemented strategy: shares by recent demand, reports near the limit, and debts.
    Reported,
    /// Each node has an equal share.
    EqualShares,
    /// Each node stops once the sum of the admitted requests that it knows of reaches the limit.
    Sums,
}

impl Strategy {
    /// All strategies.
    pub const ALL: [Self; 3] = [Self::Reported, Self::EqualShares, Self::Sums];
}

/// Simulates a load with a strategy.
pub fn simulate(strategy: Strategy, nodes: usize, load: &Load, fault: &Fault) -> Outcome {
    match strategy {
        Strategy::Reported => Fleet::new(nodes, RATE, RATE).simulate(load, fault),
        Strategy::EqualShares => equal_shares(nodes, load),
        Strategy::Sums => sums(nodes, load, fault),
    }
}

/// Plain token bucket without reports.
#[derive(Clone, Copy, Debug)]
struct Bucket {
    level: f64,
    at: Duration,
}

impl Bucket {
    fn refill(&mut self, rate: f64, capacity: f64, time: Duration) {
        let elapsed = time.saturating_sub(self.at).as_secs_f64();
        self.level = (self.level + rate * elapsed).min(capacity);
        self.at = time;
    }
}

#[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
fn equal_shares(nodes: usize, load: &Load) -> Outcome {
    let mut random = rngs::StdRng::seed_from_u64(7);
    let share = RATE / nodes as f64;
    let capacity = share + SLACK / nodes as f64;
    let mut buckets = vec![Bucket { level: capacity, at: Duration::ZERO }; nodes];
    let mut outcome = Outcome::default();
    for time in load.times(&mut random) {
        let bucket = &mut buckets[random.random_range(0..nodes)];
        bucket.refill(share, capacity, time);
        let is_admitted = bucket.level >= 1.0;
        bucket.level -= f64::from(u8::from(is_admitted));
        outcome.record(time, is_admitted);
    }
    outcome
}

/// Each node keeps a bucket; it deducts its own admitted requests at once and those of other nodes
/// after a delay.
fn sums(nodes: usize, load: &Load, fault: &Fault) -> Outcome {
    let mut random = rngs::StdRng::seed_from_u64(7);
    let mut admitted: Vec<(Duration, usize)> = Vec::new();
    let mut buckets = vec![(Bucket { level: RATE, at: Duration::ZERO }, 0_usize); nodes];
    let mut outcome = Outcome::default();
    for time in load.times(&mut random) {
        let node = random.random_range(0..nodes);
        let (bucket, seen) = &mut buckets[node];
        while let Some((at, by)) = admitted.get(*seen) {
            if *at + DELAY > time {
                break;
            }
            let is_reported =
                !fault.is_isolated(node, nodes, *at) && !fault.is_isolated(*by, nodes, *at);
            if *by != node && is_reported {
                bucket.level -= 1.0;
            }
            *seen += 1;
        }
        bucket.refill(RATE, RATE, time);
        let is_admitted = bucket.level >= 1.0;
        if is_admitted {
            bucket.level -= 1.0;
            admitted.push((time, node));
        }
        outcome.record(time, is_admitted);
    }
    outcome
}
