//! Randomly generated fleets of any size, limit, burst and load, with several faults that may
//! overlap and repeat.
//!
//! Guards against fleets exceeding their limit when the burst is smaller than the rate or when
//! nodes restart. A node used to admit freely until the rate that it knew of reached the limit, any
//! excess beyond the burst was forgotten, and restarted nodes knew nothing of that excess. Of 480
//! generated fleets, 61 exceeded what is granted, the worst by 0.358.
//!
//! A failing case shrinks to one with fewer faults and nodes; add its seed to `FAILED`.
//! `YOKESPOKE_CASES` and `YOKESPOKE_SEED` set the number of cases and the first seed of the long
//! test.

use std::env;
use std::time::Duration;

use quickcheck::Arbitrary;
use rand::{RngExt as _, SeedableRng as _, rngs};

use crate::simulation::{Fault, FaultKind, Fleet, LimitChange, Load};
use crate::{WINDOW, granted};

/// Smallest and largest number of nodes. Half of the fleets have fewer than eight, where each node
/// matters most.
const NODES: (f64, f64) = (2.0, 300.0);

/// Largest random delay of a report in every fleet.
const JITTER: Duration = Duration::from_millis(150);

/// Number of cases in a normal test run.
const CASES: u64 = 60;

/// Default number of cases of the long test.
const LONG_CASES: u64 = 30_000;

/// Largest number of faults.
const MAX_FAULTS: usize = 4;

const KINDS: [FaultKind; 7] = [
    FaultKind::Isolated,
    FaultKind::Killed,
    FaultKind::Restarted,
    FaultKind::Lossy,
    FaultKind::CallersLeft,
    FaultKind::Paused,
    FaultKind::Delayed,
];

/// Fleet with its load and its faults.
#[derive(Clone, Debug)]
struct Case {
    nodes: usize,
    rate: f64,
    burst: f64,
    surge_factor: f64,
    faults: Vec<Fault>,
    change: Option<LimitChange>,
    seed: u64,
}

impl Case {
    fn random(seed: u64) -> Self {
        let mut random = rngs::StdRng::seed_from_u64(seed);
        let size = random.random::<f64>().powi(2);
        let nodes = (NODES.0.ln() + size * (NODES.1 / NODES.0).ln()).exp();
        let rate = random.random_range(2.0..512.0_f64).round();
        let burst = random_burst(rate, &mut random);
        let surge_factor = random.random_range(1.0..8.9);
        let change = random.random_bool(0.25).then(|| {
            let rate = (rate * random.random_range(0.25..2.0)).round().max(2.0);
            let burst = random_burst(rate, &mut random);
            let at = Duration::from_millis(random.random_range(3_000..22_000));
            let spread = Duration::from_millis(random.random_range(0..1_000));
            LimitChange { at, spread, rate, burst }
        });
        let faults = (0..random.random_range(0..=MAX_FAULTS)).map(|_| random_fault(&mut random));
        let faults = faults.collect();
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "some hundreds at most"
        )]
        let nodes = nodes.round() as usize;
        Self { nodes, rate, burst, surge_factor, faults, change, seed }
    }

    /// Returns the largest number of requests admitted in a window, relative to what is granted.
    fn max_ratio(&self) -> f64 {
        let mut fleet = Fleet::new(self.nodes, self.rate, self.burst);
        fleet.seed = self.seed;
        fleet.change = self.change;
        fleet.jitter = Some(JITTER);
        let load = Load::surge(self.rate / 1.6, self.surge_factor);
        let outcome = fleet.simulate_all(&load, &self.faults);
        let before = granted(self.rate, self.burst);
        let Some(change) = self.change else { return outcome.max_in_window(WINDOW) / before };
        let after = granted(change.rate, change.burst);
        let all = outcome.max_in_window(WINDOW) / before.max(after);
        let end = Duration::from_secs(60);
        let ratio = match after < before {
            true => {
                // The lower limit applies once the last node has it.
                let from = change.at + change.spread;
                outcome.max_in_window_between(from, end, WINDOW) / after
            }
            false => outcome.max_in_window_between(Duration::ZERO, change.at, WINDOW) / before,
        };
        all.max(ratio)
    }
}

/// Returns no burst, a fraction of the rate, or a multiple of it.
fn random_burst(rate: f64, random: &mut rngs::StdRng) -> f64 {
    let factor = [0.0, 0.2, 1.0, 3.0, 5.0][random.random_range(0..5)];
    (rate * factor).round()
}

fn random_fault(random: &mut rngs::StdRng) -> Fault {
    let kind = KINDS[random.random_range(0..KINDS.len())];
    let max_share = match kind {
        FaultKind::Killed | FaultKind::CallersLeft => 0.59,
        FaultKind::Lossy => 0.4,
        _ => 0.35,
    };
    let share = random.random_range(0.01..max_share);
    let position = random.random::<f64>();
    let from = Duration::from_millis(random.random_range(2_000..20_000));
    let to = from + Duration::from_millis(random.random_range(200..12_000));
    Fault { kind, share, position, from, to }
}

impl Arbitrary for Case {
    fn arbitrary(g: &mut quickcheck::Gen) -> Self {
        Self::random(u64::arbitrary(g))
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let mut smaller = Vec::new();
        for index in 0..self.faults.len() {
            let mut case = self.clone();
            case.faults.remove(index);
            smaller.push(case);
        }
        if self.change.is_some() {
            smaller.push(Self { change: None, ..self.clone() });
        }
        if self.nodes > 2 {
            smaller.push(Self { nodes: self.nodes / 2, ..self.clone() });
            smaller.push(Self { nodes: self.nodes - 1, ..self.clone() });
        }
        Box::new(smaller.into_iter())
    }
}

/// The limit holds in every window, whatever the fleet, its load and its faults.
#[test]
fn a_drawn_fleet_keeps_the_limit_whatever_goes_wrong() {
    let holds = |case: Case| case.max_ratio() <= 1.0;
    quickcheck::QuickCheck::new().tests(CASES).quickcheck(holds as fn(Case) -> bool);
}

/// Prints every failing case and the worst ratio.
#[test]
#[ignore = "takes minutes; run by hand, optimised, with fresh seeds"]
fn many_drawn_fleets_keep_the_limit() {
    let number = |name: &str| env::var(name).ok().and_then(|value| value.parse().ok());
    let first: u64 = number("YOKESPOKE_SEED").unwrap_or_else(rand::random);
    let cases = number("YOKESPOKE_CASES").unwrap_or(LONG_CASES);
    let mut worst = 0.0_f64;
    let mut failed = 0;
    for seed in first..first + cases {
        let case = Case::random(seed);
        let ratio = case.max_ratio();
        worst = worst.max(ratio);
        if ratio > 1.0 {
            failed += 1;
            println!("{ratio:.3} of what is granted: {case:?}");
        }
    }
    println!("cases={cases} first={first} failed={failed} worst={worst:.3}");
    assert_eq!(failed, 0);
}

/// Seeds of cases that failed before.
const FAILED: [u64; 12] = [
    200_049, 800_026, 200_018, 700_034, 600_043, 500_049, 300_015, 100_036, 700_055, 600_003,
    400_051, 300_016,
];

#[test]
fn random_fleets_that_failed_before_keep_the_limit() {
    for seed in FAILED {
        let case = Case::random(seed);
        let ratio = case.max_ratio();
        assert!(ratio <= 1.0, "{ratio:.3} of what is granted: {case:?}");
    }
}

/// A fifth of 172 nodes are isolated, and two thirds of the others are killed and come back. The
/// restarted nodes do not know how much the isolated nodes still take, so the shares of both groups
/// add up to more than the limit: 1.075 of what is granted.
#[test]
fn a_fleet_that_comes_back_while_others_are_cut_off_keeps_the_limit() {
    let case = Case::random(10_000_240);
    let ratio = case.max_ratio();
    assert!(ratio <= 1.0, "{ratio:.3} of what is granted: {case:?}");
}

/// One of eight nodes is isolated 10 ms before a sudden load, while reports are lost. Until both
/// sides detect the partition, both spend the burst of three times the rate: 1.034 of what is
/// granted, and 1.008 since a node without reports takes at most an equal share.
#[test]
fn a_fleet_that_is_cut_in_two_before_a_sudden_load_keeps_the_limit() {
    let case = Case::random(10_000_435);
    let ratio = case.max_ratio();
    assert!(ratio <= 1.0, "{ratio:.3} of what is granted: {case:?}");
}

impl Case {
    /// Returns the fleet of `seed` with an organisation that always stays below its limit.
    fn below_limit(seed: u64) -> Self {
        Self { surge_factor: 1.0, change: None, ..Self::random(seed) }
    }

    /// Returns the number of requests that the fleet refuses, and the number that an exact bucket
    /// of the whole fleet would refuse.
    fn refused(&self) -> (usize, usize) {
        let mut fleet = Fleet::new(self.nodes, self.rate, self.burst);
        fleet.seed = self.seed;
        fleet.jitter = Some(JITTER);
        let outcome = fleet.simulate_all(&Load::steady(self.rate / 1.6), &self.faults);
        (outcome.refused, outcome.refused_by_exact_bucket(self.rate, self.burst))
    }
}

/// An organisation whose requests an exact bucket would all admit is refused nothing, whatever the
/// faults of the fleet.
#[test]
fn a_drawn_fleet_refuses_nothing_below_the_limit() {
    let mut failures = Vec::new();
    for seed in 1..=CASES {
        let case = Case::below_limit(seed);
        let (refused, exact) = case.refused();
        if refused > 0 && exact == 0 {
            failures.push(format!("{refused} refused: {case:?}"));
        }
    }
    assert!(failures.is_empty(), "{} of {CASES}: {failures:#?}", failures.len());
}
