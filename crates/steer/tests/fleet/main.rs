//! Stateful fuzzing of a region's nodes against an oracle that counts what upstreams hold.
//!
//! A case is a list of steps. Nodes exchange messages through a list which the steps reorder and
//! drop; nodes are paused, killed and started, links are cut, the store goes away and loses
//! answers. After every step no upstream may hold more requests than it has slots, and once all is
//! healed every owner must have all its slots again.

mod coverage;
mod oracle;
mod step;
mod world;

use quickcheck::{Gen, QuickCheck, TestResult};

/// Steps of one case at most.
const SIZE: usize = 220;

/// Cases of the run with a fixed seed.
const CASES: u64 = 250;

/// Seed of that run.
const SEED: u64 = 0x59_6f_6b_65;

fn holds(steps: Vec<step::Step>) -> TestResult {
    match world::run(&steps) {
        Ok(_) => TestResult::passed(),
        Err(broken) => TestResult::error(broken),
    }
}

fn check(seed: u64, cases: u64) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(SIZE, seed))
        .tests(cases)
        .max_tests(cases)
        .quickcheck(holds as fn(Vec<step::Step>) -> TestResult);
}

#[test]
fn no_upstream_ever_holds_more_than_its_slots() {
    check(SEED, CASES);
}

#[test]
fn every_fault_is_met() {
    let mut random = Gen::from_size_and_seed(SIZE, SEED + 1);
    let mut table = coverage::Table::default();
    for _ in 0..100 {
        let steps: Vec<step::Step> = quickcheck::Arbitrary::arbitrary(&mut random);
        table.add(&world::run(&steps).expect("the case holds"));
    }
    println!("{table}");
    assert_eq!(table.unmet(), Vec::<&str>::new(), "faults that no case met");
}

/// Runs for long with a fresh seed: `cargo test --release -p yokespoke-steer --test fleet -- \
/// --ignored --nocapture`. `YOKESPOKE_CASES` and `YOKESPOKE_SEED` may be given.
#[test]
#[ignore = "runs for long"]
fn long_run() {
    let number = |name: &str| std::env::var(name).ok().and_then(|text| text.parse().ok());
    let seed = number("YOKESPOKE_SEED").unwrap_or_else(rand::random);
    let cases = number("YOKESPOKE_CASES").unwrap_or(10_000);
    println!("YOKESPOKE_SEED={seed} YOKESPOKE_CASES={cases}");
    check(seed, cases);
}

/// Offers every node more than it can hold.
fn flood() -> Vec<step::Step> {
    (0..5).flat_map(|node| [step::Step::Offer(node, 11), step::Step::Offer(node, 10)]).collect()
}

fn must_hold(steps: &[step::Step]) {
    if let Err(broken) = world::run(steps) {
        panic!("{steps:?}: {broken}");
    }
}

/// What a killed incarnation sent runs on while the next one starts within a second.
#[test]
fn a_quick_restart_does_not_forget_what_still_runs() {
    for node in 0..5 {
        for wait in (0..4_000).step_by(250) {
            let mut steps = flood();
            steps.extend([step::Step::Kill(node), step::Step::Start(node)]);
            steps.extend([step::Step::Quiet(wait), step::Step::Quiet(100)]);
            steps.extend(flood());
            steps.push(step::Step::Quiet(1_000));
            steps.extend(flood());
            must_hold(&steps);
        }
    }
}

/// An owner that gives an upstream back to a node that returns starts nothing more on its leases.
#[test]
fn a_hand_over_ends_the_loans_of_the_old_home() {
    for node in 0..5 {
        for wait in (0..5_000).step_by(250) {
            let mut steps = vec![step::Step::Kill(node), step::Step::Gone(node)];
            steps.extend([step::Step::Quiet(4_000); 6]);
            steps.extend([step::Step::Start(node), step::Step::Quiet(wait)]);
            steps.extend(flood());
            steps.push(step::Step::Quiet(300));
            steps.extend(flood());
            must_hold(&steps);
        }
    }
}
