//! Splits and caps: shares add up to one, the round robin follows them, and no split moves by more than
//! its cap within a window.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::fraction::{self, Fraction};
use model::id;
use quickcheck::{Gen, QuickCheck};
use steer::common::ramp;
use steer::common::split::Split;
use steer::ownership::planner;
use steer::ownership::round_robin::RoundRobin;

const REGIONS: [&str; 4] = ["a", "b", "c", "d"];

fn split(weights: &[u8]) -> Split {
    let pairs = REGIONS.iter().zip(weights);
    let weights: Vec<_> = pairs.map(|(r, w)| (id::Region::new(r), f64::from(*w))).collect();
    Split::new(&weights)
}

fn check<A: quickcheck::Testable>(property: A) {
    QuickCheck::new().rng(Gen::from_size_and_seed(60, 7)).tests(300).quickcheck(property);
}

#[test]
fn shares_add_up_to_one_whole() {
    fn holds(weights: Vec<u8>) -> bool {
        let split = split(&weights);
        let total: u32 = split.parts().map(|(_, share)| share).sum();
        total == if split.is_empty() { 0 } else { fraction::PARTS_PER_WHOLE }
    }
    check(holds as fn(Vec<u8>) -> bool);
}

#[test]
fn the_round_robin_follows_the_split_within_one_request() {
    fn holds(weights: Vec<u8>, requests: u16) -> bool {
        let requests = requests % 1_000;
        let split = split(&weights);
        let mut round_robin = RoundRobin::default();
        let mut counts: BTreeMap<id::Region, f64> = BTreeMap::new();
        for _ in 0..requests {
            if let Some(region) = round_robin.next(&split) {
                *counts.entry(region).or_insert(0.0) += 1.0;
            }
        }
        split.parts().all(|(region, share)| {
            let due = f64::from(requests) * f64::from(share) / f64::from(fraction::PARTS_PER_WHOLE);
            (counts.get(region).copied().unwrap_or(0.0) - due).abs() <= 1.0
        })
    }
    check(holds as fn(Vec<u8>, u16) -> bool);
}

/// Targets change at random times. Any two positions within one window must differ by at most the cap.
#[test]
fn no_window_moves_more_than_the_cap() {
    fn holds(steps: Vec<(u16, Vec<u8>)>, percent: u8, window: u8) -> bool {
        let limit = ramp::Limit {
            share: Fraction::from_percent(u32::from(percent % 100) + 1),
            window: Duration::from_secs(u64::from(window % 30) + 1),
        };
        let mut now = Instant::now();
        let mut limiter = ramp::Limiter::new(split(&[1]));
        let mut positions = vec![(now, limiter.position().clone())];
        for (wait, weights) in steps {
            now += Duration::from_millis(u64::from(wait) % 2_500);
            let target = split(&weights);
            if !target.is_empty() {
                limiter.advance(&target, Some(limit), now);
                positions.push((now, limiter.position().clone()));
            }
        }
        let within = |(a, _): &(Instant, Split), (b, _): &(Instant, Split)| *b - *a <= limit.window;
        positions.iter().enumerate().all(|(index, first)| {
            let later = positions[index..].iter().take_while(|second| within(first, second));
            later.into_iter().all(|second| first.1.distance(&second.1) <= limit.share)
        })
    }
    check(holds as fn(Vec<(u16, Vec<u8>)>, u8, u8) -> bool);
}

#[test]
fn a_target_is_reached_in_little_more_than_the_minimum_time() {
    let limit = ramp::Limit { share: Fraction::from_percent(20), window: Duration::from_secs(10) };
    let begin = Instant::now();
    let mut limiter = ramp::Limiter::new(split(&[1]));
    let target = split(&[0, 1]);
    let mut now = begin;
    while *limiter.position() != target {
        now += Duration::from_millis(500);
        limiter.advance(&target, Some(limit), now);
    }
    // At the full cap a complete move takes five windows; the ramp uses 95 % of the cap.
    let minimum = limit.window * 5;
    assert!(now - begin <= minimum.mul_f64(1.1), "{:?} against {minimum:?}", now - begin);
}

#[test]
fn demand_fills_the_nearest_region_and_overflows_to_the_next() {
    let region = id::Region::new;
    let capacities = BTreeMap::from([(region("a"), 100.0), (region("b"), 100.0)]);
    let demand = |slots, limit| planner::Demand {
        place: id::Place::new("quai"),
        slots,
        links: vec![(region("a"), limit), (region("b"), f64::INFINITY)],
    };
    let share = |slots: f64, limit: f64| {
        let plan = planner::plan(&capacities, &[demand(slots, limit)]);
        f64::from(plan[&id::Place::new("quai")].share(&region("a")))
            / f64::from(fraction::PARTS_PER_WHOLE)
    };
    assert!((share(50.0, f64::INFINITY) - 1.0).abs() < 1e-5);
    let full = 100.0 * planner::MARGIN;
    assert!((share(120.0, f64::INFINITY) - full / 120.0).abs() < 1e-5);
    // The limit of the link applies if it is below the free slots of the region.
    assert!((share(80.0, 20.0) - 0.25).abs() < 1e-5);
}
