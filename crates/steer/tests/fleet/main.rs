//! Stateful fuzzing of the nodes of a region against an oracle that counts the requests at upstreams.
//!
//! A case is a list of steps. The steps reorder and drop messages between nodes, pause, kill and start
//! nodes, cut links, and make the store unavailable or lose its answers. After every step no upstream may
//! hold more requests than it has slots. After all faults are healed, every owner must have all slots of
//! its upstreams again.

mod coverage;
mod oracle;
mod step;
mod world;

use quickcheck::{Gen, QuickCheck, TestResult};

/// Maximum steps of a case.
const SIZE: usize = 220;

/// Number of cases of the run with a fixed seed.
const CASES: u64 = 250;

/// Seed of the run with a fixed seed.
const SEED: u64 = 0x59_6f_6b_65;

fn holds(steps: Vec<step::Step>) -> TestResult {
    match world::run(&steps) {
        Ok(_) => TestResult::passed(),
        Err(error) => TestResult::error(error),
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

/// Runs many cases with a random seed: `cargo test --release -p yokespoke-steer --test fleet -- \
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

/// Offers every node more requests than it has slots.
fn flood() -> Vec<step::Step> {
    (0..5).flat_map(|node| [step::Step::Offer(node, 11), step::Step::Offer(node, 10)]).collect()
}

fn must_hold(steps: &[step::Step]) {
    if let Err(error) = world::run(steps) {
        panic!("{steps:?}: {error}");
    }
}

/// Guards against oversubscription after a quick restart: the requests of a killed incarnation still run at
/// the upstreams while the next one starts within a second.
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

/// Guards against oversubscription after a handover: an owner that hands an upstream back to a restarted
/// node must not start requests on the leases that it still holds.
#[test]
fn a_handover_ends_the_leases_of_the_previous_owner() {
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
