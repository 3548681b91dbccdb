//! Demand of regions: what is measured and reported, and which targets follow it.

use std::time::{Duration, Instant};

use model::id;
use steer::common::split;
use steer::dispatch::dispatcher;
use steer::dispatch::region::demand::report::{Key, Rate, Timer};
use steer::dispatch::region::demand::{Mode, Shares};
use steer::dispatch::region::share;

use crate::setup;

const TICK: Duration = Duration::from_millis(250);

fn region(name: &str) -> id::Region {
    id::Region::new(name)
}

fn desk() -> id::Service {
    id::Service::new("desk")
}

fn rate(name: &str, per_second: f64) -> Rate {
    Rate { key: Key::of(&region(name), &desk()), per_second }
}

/// Returns a dispatcher in the north, with two upstreams in each of three regions.
fn dispatcher(mode: Mode, now: Instant) -> dispatcher::Dispatcher {
    let mut dispatcher = setup::dispatcher("n");
    dispatcher.set_demand_mode(mode);
    setup::set(&mut dispatcher, &setup::six_upstreams(), now);
    dispatcher
}

/// Sends `per_second` requests for `time`, each for another object; returns the end of the time.
///
/// `report` passes in what other nodes report, at each tick.
fn run(
    dispatcher: &mut dispatcher::Dispatcher,
    per_second: u32,
    time: Duration,
    began: Instant,
    report: impl Fn(&mut dispatcher::Dispatcher, Instant),
) -> Instant {
    let mut now = began;
    let mut key = 0;
    while now < began + time {
        for _ in 0..per_second / 4 {
            key += 1;
            if let Ok(chosen) = setup::choose(dispatcher, &setup::route(&[]), key, now) {
                dispatcher.sent(&chosen.id, true, now);
                dispatcher.ended(&chosen, setup::answered(), Duration::from_millis(100), now);
            }
        }
        now += TICK;
        report(dispatcher, now);
        dispatcher.tick(now);
    }
    now
}

fn peers(south: f64, west: f64) -> impl Fn(&mut dispatcher::Dispatcher, Instant) {
    move |dispatcher, now| {
        let rates = vec![rate("south", south), rate("west", west)];
        dispatcher.set_peer_demand(id::Node::new("+not-north"), rates, now);
    }
}

fn kept(dispatcher: &dispatcher::Dispatcher) -> u32 {
    dispatcher.splits().next().map_or(0, |(_, split)| split.share(&region("north")))
}

/// Guards against demand that is attributed to the region that serves the requests: north serves a
/// part only.
#[test]
fn demand_counts_where_requests_arrive() {
    let began = Instant::now();
    let mut dispatcher = dispatcher(Mode::Auto, began);
    let all = setup::six_upstreams();
    // North is left with none of its upstreams, so all requests go elsewhere.
    setup::set(&mut dispatcher, &all[2..], began);
    let now = run(&mut dispatcher, 40, Duration::from_secs(6), began, |_, _| {});
    let reported = dispatcher.own_demand(now);
    assert_eq!(reported.len(), 1);
    assert_eq!(reported[0].key, Key::of(&region("north"), &desk()));
    assert!((30.0..50.0).contains(&reported[0].per_second), "{reported:?}");
    assert!(dispatcher.own_demand(now + TICK).is_empty(), "a second report is not due yet");
}

/// Guards against bytes where there is nothing to split: one region, or no requests.
#[test]
fn demand_is_reported_only_where_regions_can_differ() {
    let began = Instant::now();
    let mut one_region = dispatcher(Mode::Auto, began);
    setup::set(&mut one_region, &setup::six_upstreams()[..2], began);
    let now = run(&mut one_region, 40, Duration::from_secs(6), began, |_, _| {});
    assert!(one_region.own_demand(now).is_empty());
    assert!(dispatcher(Mode::Auto, began).own_demand(now).is_empty());
}

#[test]
fn demand_off_reports_nothing_and_keeps_equal_shares() {
    let began = Instant::now();
    let mut dispatcher = dispatcher(Mode::Off, began);
    let now = run(&mut dispatcher, 200, Duration::from_secs(40), began, peers(10.0, 10.0));
    assert!(dispatcher.own_demand(now).is_empty());
    assert_eq!(dispatcher.demand().rates().count(), 0);
    assert_eq!(kept(&dispatcher), 1_000_000);
}

/// Guards against a region that keeps what its slots cannot serve, and against a split that stays
/// when the other regions' demand is no longer known.
#[test]
fn demand_of_a_crowded_region_leaves_until_the_others_are_unknown() {
    let began = Instant::now();
    let mut dispatcher = dispatcher(Mode::Auto, began);
    // North gets 10 requests for each slot and second, and needs a tenth of a second for each.
    let now = run(&mut dispatcher, 200, Duration::from_secs(40), began, peers(10.0, 10.0));
    let crowded = kept(&dispatcher);
    assert!(crowded < 600_000, "{crowded}");
    let now = run(&mut dispatcher, 200, Duration::from_secs(3), now, |_, _| {});
    assert!(dispatcher.demand().shares(&desk()).is_some(), "reports count for a few seconds");
    run(&mut dispatcher, 200, Duration::from_secs(40), now, |_, _| {});
    assert!(dispatcher.demand().shares(&desk()).is_none());
    assert_eq!(kept(&dispatcher), 1_000_000);
}

/// Guards against targets that differ from those of equal shares where regions differ little.
#[test]
fn demand_that_differs_little_changes_no_target() {
    let began = Instant::now();
    let mut dispatcher = dispatcher(Mode::Auto, began);
    run(&mut dispatcher, 200, Duration::from_secs(40), began, peers(170.0, 180.0));
    assert_eq!(dispatcher.demand().rates().count(), 3);
    assert!(dispatcher.demand().shares(&desk()).is_none());
    assert_eq!(kept(&dispatcher), 1_000_000);
}

/// Guards against requests with home regions that follow the demand of all requests of their service.
#[test]
fn demand_does_not_move_requests_with_home_regions() {
    let began = Instant::now();
    let mut dispatcher = dispatcher(Mode::Auto, began);
    let homes = setup::route(&["north", "south"]);
    let _ = setup::choose(&mut dispatcher, &homes, 1, began);
    run(&mut dispatcher, 200, Duration::from_secs(40), began, peers(10.0, 10.0));
    assert!(dispatcher.demand().shares(&desk()).is_some());
    let north = region("north");
    let shares: Vec<u32> = dispatcher.splits().map(|(_, split)| split.share(&north)).collect();
    assert!(shares.contains(&1_000_000), "{shares:?}");
    assert!(shares.iter().any(|share| *share < 600_000), "{shares:?}");
}

/// Guards against sums that lose or double demand: reports of nodes and of sums add up, and a later
/// report replaces the earlier one.
#[test]
fn demand_reports_add_up() {
    let now = Instant::now();
    let mut dispatcher = dispatcher(Mode::Auto, now);
    let report = |node: &str, rates: &[Rate], dispatcher: &mut dispatcher::Dispatcher| {
        dispatcher.set_peer_demand(id::Node::new(node), rates.to_vec(), now);
    };
    report("n-2", &[rate("north", 9.0)], &mut dispatcher);
    report("n-2", &[rate("north", 4.0)], &mut dispatcher);
    report("n-3", &[rate("north", 2.0)], &mut dispatcher);
    report("+south", &[rate("south", 8.0), rate("west", 1.0)], &mut dispatcher);
    // A load report without demand leaves the last one in place.
    report("n-3", &[], &mut dispatcher);
    let mut timer = Timer::default();
    let mut sums = dispatcher.peer_demand(|node| node.as_str() != "n-9", &mut timer, now);
    sums.sort_by(|a, b| a.per_second.total_cmp(&b.per_second));
    assert_eq!(sums, [rate("west", 1.0), rate("north", 6.0), rate("south", 8.0)]);
    assert!(dispatcher.peer_demand(|_| true, &mut timer, now).is_empty(), "it is not due yet");
    let late = now + Duration::from_secs(5);
    assert!(dispatcher.peer_demand(|_| true, &mut Timer::default(), late).is_empty());
}

#[test]
fn targets_follow_the_demand_of_regions() {
    let capacity = |name: &str, slots| share::Capacity { region: region(name), slots };
    let capacities = [capacity("a", 49.0), capacity("b", 10.0), capacity("c", 41.0)];
    let shares = |a: f64, b: f64, c: f64| -> Shares {
        [("a", a), ("b", b), ("c", c)].map(|(name, share)| (region(name), share)).into()
    };
    let target =
        |from: &str, demand: &Shares| share::target(&region(from), &capacities, Some(demand));
    let near = |split: &split::Split, name: &str, expected: u32| {
        split.share(&region(name)).abs_diff(expected) <= 2
    };
    // b sends half of its demand away: nothing to a, which has no spare slots.
    let peak_in_a = shares(0.6, 0.2, 0.2);
    let from_b = target("b", &peak_in_a);
    assert!(near(&from_b, "b", 500_000) && near(&from_b, "a", 0) && near(&from_b, "c", 500_000));
    let from_a = target("a", &peak_in_a);
    assert!(near(&from_a, "a", 816_667) && near(&from_a, "b", 0) && near(&from_a, "c", 183_333));
    // A region without demand keeps the few requests that it may get.
    assert!(near(&target("b", &shares(0.5, 0.0, 0.5)), "b", 1_000_000));
    let equal = shares(1.0 / 3.0, 1.0 / 3.0, 1.0 / 3.0);
    for from in ["a", "b", "c"] {
        assert_eq!(target(from, &equal), share::target(&region(from), &capacities, None));
    }
}
