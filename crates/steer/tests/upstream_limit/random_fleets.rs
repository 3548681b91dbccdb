//! Randomly generated fleets of any size, limit and load, with isolated, killed and paused nodes
//! and lost reports.
//!
//! `YOKESPOKE_CASES` and `YOKESPOKE_SEED` set the number of cases and the first seed of the long
//! test.

use std::env;
use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::simulation::{self, Fault, FaultKind, Fleet, LimitChange};
use crate::{CONTACT, WINDOW, granted, seconds};

/// Number of cases in a normal test run.
const CASES: u64 = 60;

/// Default number of cases of the long test.
const LONG_CASES: u64 = 3_000;

/// Largest number of nodes; half of the fleets have fewer than ten.
const MAX_NODES: f64 = 80.0;

const KINDS: [FaultKind; 3] = [FaultKind::Isolated, FaultKind::Killed, FaultKind::Paused];

fn random_fleet(seed: u64) -> Fleet {
    let mut random = rngs::StdRng::seed_from_u64(seed);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "some tens of nodes"
    )]
    let nodes = MAX_NODES.powf(random.random()).round() as usize;
    let limit = 0.2 * 500.0_f64.powf(random.random());
    let demand = (limit * random.random_range(0.5..20.0)).clamp(1.0, 300.0);
    let mut limit_changes = vec![LimitChange { from: seconds(5), limit: Some(limit) }];
    if random.random_bool(0.3) {
        let from = Duration::from_millis(random.random_range(9_000..22_000));
        limit_changes
            .push(LimitChange { from, limit: Some(limit * random.random_range(0.2..3.0)) });
    }
    let faults = (0..random.random_range(0..4)).map(|_| {
        let first = random.random_range(0..nodes);
        let count = (nodes / 3).max(1);
        let from = Duration::from_millis(random.random_range(3_000..24_000));
        let time = from..from + Duration::from_millis(random.random_range(300..8_000));
        let kind = KINDS[random.random_range(0..KINDS.len())];
        Fault { kind, nodes: first..(first + count).min(nodes), time }
    });
    let faults = faults.collect();
    let skew = if random.random_bool(0.3) { 0.7 } else { 0.0 };
    let loss = if random.random_bool(0.3) { random.random_range(0.0..0.3) } else { 0.0 };
    Fleet { nodes, regions: 1, demand, skew, limit_changes, loss, faults, seed }
}

/// Returns the largest number of requests that count in a window, relative to what the required
/// bound grants.
///
/// Each limit is checked from when it has taken effect until it changes.
fn max_ratio(fleet: &Fleet) -> f64 {
    let outcome = fleet.simulate();
    let times = fleet.limit_changes.iter().map(|change| change.from);
    let ends: Vec<Duration> = times.skip(1).chain([simulation::LENGTH]).collect();
    let mut max_ratio = 0.0_f64;
    for (index, (change, end)) in fleet.limit_changes.iter().zip(ends).enumerate() {
        let from = if index == 0 {
            change.from + CONTACT
        } else {
            change.from + simulation::PROPAGATION_TIME
        };
        let until = end.saturating_sub(WINDOW);
        let max =
            outcome.max_in_window(WINDOW, from..until, |s| outcome.is_counted(fleet, s, CONTACT));
        let granted = granted(change.limit.unwrap_or(f64::INFINITY));
        #[expect(clippy::cast_precision_loss, reason = "some hundreds")]
        let ratio = max as f64 / granted;
        max_ratio = max_ratio.max(ratio);
    }
    max_ratio
}

/// The required bound holds, whatever the fleet, its load and its faults.
#[test]
fn a_random_fleet_stays_within_the_announced_limit() {
    for seed in 1..=CASES {
        let fleet = random_fleet(seed);
        let ratio = max_ratio(&fleet);
        assert!(ratio <= 1.0, "{ratio:.3} of what is granted: {fleet:?}");
    }
}

/// Prints every failing case and the worst ratio.
#[test]
#[ignore = "takes minutes; run by hand, optimised, with fresh seeds"]
fn many_random_fleets_stay_within_the_announced_limit() {
    let number = |name: &str| env::var(name).ok().and_then(|value| value.parse().ok());
    let first: u64 = number("YOKESPOKE_SEED").unwrap_or_else(rand::random);
    let cases = number("YOKESPOKE_CASES").unwrap_or(LONG_CASES);
    let (mut worst, mut failed) = (0.0_f64, 0);
    for seed in first..first + cases {
        let fleet = random_fleet(seed);
        let ratio = max_ratio(&fleet);
        worst = worst.max(ratio);
        if ratio > 1.0 {
            failed += 1;
            println!("{ratio:.3} of what is granted: {fleet:?}");
        }
    }
    println!("cases={cases} first={first} failed={failed} worst={worst:.3}");
    assert_eq!(failed, 0);
}
