//! Dispatch: which upstream takes a request, and what a node may never do.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::{bounds, discovery, id, route, routing};
use quickcheck::quickcheck;
use steer::common::round_robin;
use steer::dispatch::region::share;
use steer::dispatch::{
    dispatcher, outcome, peer_load, position, refusal, request, retry_budget, slow_start_owner,
    urgency,
};

/// Requests of a test that looks at shares.
const MANY: usize = 400;

fn halls() -> collections::BTreeMap<id::Hall, id::Region> {
    let pairs = [("n-1", "north"), ("n-2", "north"), ("s-1", "south"), ("w-1", "west")];
    pairs.iter().map(|(h, r)| (id::Hall::new(h), id::Region::new(r))).collect()
}

fn dispatcher(node: &str) -> dispatcher::Dispatcher {
    let position = position::Position {
        node: id::Node::new(node),
        region: id::Region::new("north"),
        halls: halls(),
    };
    dispatcher::Dispatcher::new(position, bounds::Bounds::default())
}

fn entry(name: &str, hall: &str) -> discovery::Entry {
    discovery::Entry {
        id: id::Upstream::new(name),
        service: id::Service::new("desk"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 80)),
        hall: id::Hall::new(hall),
        slots: 4,
        state: discovery::State::Ready,
        cold_left: Duration::ZERO,
        born: 0,
    }
}

fn route(homes: &[&str]) -> route::Route {
    route::Route {
        name: id::Route::new("r"),
        host: "site.example".to_owned(),
        prefix: "/".to_owned(),
        repetition: route::Kind::Idempotent,
        timeout: Duration::from_secs(2),
        target_latency: Duration::from_millis(300),
        priority: 0,
        parts: vec![route::Part { service: id::Service::new("desk"), weight: 1 }],
        max_attempts: 2,
        is_sticky: true,
        home_regions: homes.iter().map(|r| id::Region::new(r)).collect(),
        is_public: false,
    }
}

fn rules(cold_rate: f64) -> sync::Arc<routing::Routing> {
    let rules = routing::ServiceRules {
        max_connections: None,
        cold_start: Duration::from_secs(3),
        cold_rate: Some(cold_rate),
        shed: Vec::new(),
    };
    let services = [(id::Service::new("desk"), rules)].into();
    sync::Arc::new(routing::Routing::new(1, Vec::new(), services, routing::CallerLimits::default()))
}

fn set(dispatcher: &mut dispatcher::Dispatcher, entries: &[discovery::Entry], now: Instant) {
    dispatcher.set_upstreams(entries.iter().cloned().map(sync::Arc::new), now);
}

fn choose(
    dispatcher: &mut dispatcher::Dispatcher,
    route: &route::Route,
    key: u64,
    now: Instant,
) -> Result<sync::Arc<discovery::Entry>, refusal::Refusal> {
    let service = id::Service::new("desk");
    let time_left = Duration::from_secs(2);
    let request = request::Request {
        route,
        service: &service,
        key,
        tried: &[],
        time_left,
        homes: &route.home_regions,
        urgency: urgency::Urgency::of(route, None),
    };
    dispatcher.choose(&request, now).map(|chosen| chosen.entry)
}

fn answered() -> outcome::Outcome {
    outcome::Outcome::Answered {
        latency: Duration::from_millis(100),
        crowding: 1.0,
        object: None,
        load: None,
    }
}

fn many() -> Vec<discovery::Entry> {
    let halls = ["n-1", "n-2", "s-1", "s-1", "w-1", "w-1"];
    halls.iter().enumerate().map(|(i, hall)| entry(&format!("i-{i}"), hall)).collect()
}

#[test]
fn one_object_meets_one_upstream() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), now);
    for key in 0..20 {
        let first = choose(&mut dispatcher, &route(&[]), key, now).expect("all are idle");
        let again = choose(&mut dispatcher, &route(&[]), key, now).expect("all are idle");
        assert_eq!(first.id, again.id);
    }
}

#[test]
fn home_no_other_region_serves_a_route_with_homes() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), now);
    let homes = route(&["south"]);
    for key in 0..100 {
        let chosen = choose(&mut dispatcher, &homes, key, now).expect("south is idle");
        assert_eq!(chosen.hall.as_str(), "s-1");
        dispatcher.sent(&chosen.id, true, now);
        dispatcher.ended(&chosen, answered(), Duration::from_millis(100), now);
    }
    let elsewhere: Vec<_> = many().into_iter().filter(|e| e.hall.as_str() != "s-1").collect();
    set(&mut dispatcher, &elsewhere, now);
    let exclusions = refusal::Exclusions { known: 4, outside: 4, ..refusal::Exclusions::default() };
    assert_eq!(
        choose(&mut dispatcher, &homes, 1, now),
        Err(refusal::Refusal::NoUpstream(exclusions))
    );
}

#[test]
fn evac_and_drain_leave_an_upstream_alone_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    let mut entries = many();
    entries[1].state = discovery::State::Draining;
    set(&mut dispatcher, &entries, now);
    dispatcher.set_evacuated([id::Hall::new("n-1")].into(), now);
    for key in 0..MANY as u64 {
        let chosen = choose(&mut dispatcher, &route(&[]), key, now).expect("two regions are left");
        assert!(!chosen.hall.as_str().starts_with('n'), "{chosen:?}");
    }
}

#[test]
fn shift_a_region_that_fails_moves_its_share_no_faster_than_the_bound() {
    let began = Instant::now();
    let mut dispatcher = dispatcher("n");
    let all = many();
    set(&mut dispatcher, &all, began);
    let _ = choose(&mut dispatcher, &route(&[]), 0, began);
    let share = |d: &dispatcher::Dispatcher| {
        let north = id::Region::new("north");
        d.splits().next().map_or(0, |(_, split)| split.share(&north))
    };
    let before = share(&dispatcher);
    // Half of the region's slots go.
    set(&mut dispatcher, &all[1..], began);
    let mut shares = vec![before];
    for tick in 1..=200 {
        dispatcher.tick(began + Duration::from_millis(100) * tick);
        shares.push(share(&dispatcher));
    }
    assert!(shares.last() < shares.first(), "the share moves in the end");
    // Default bound: a tenth in two seconds, which is twenty ticks.
    let fastest = shares.windows(21).map(|w| w[0].abs_diff(w[20])).max();
    assert!(fastest <= Some(100_000), "{fastest:?}");
}

#[test]
fn shift_few_requests_leave_a_crowded_region() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), now);
    let crowd: Vec<_> = ["i-0", "i-1"]
        .iter()
        .map(|name| (peer_load::Key::of(&id::Upstream::new(name)), 30))
        .collect();
    dispatcher.set_peer_load(id::Node::new("m"), crowd, now);
    let mut in_south = 0;
    let asked = 300;
    for key in 0..asked {
        if let Ok(chosen) = choose(&mut dispatcher, &route(&["north", "south"]), key, now)
            && chosen.hall.as_str() == "s-1"
        {
            in_south += 1;
        }
    }
    // North keeps half of the slots and so all of its own demand; a bound of a tenth lets 3 in 100
    // requests leave, and a few at once.
    assert!((1..=asked * 3 / 100 + 3).contains(&in_south), "{in_south}");
}

#[test]
fn failback_a_cold_upstream_has_one_owner_and_gets_less_than_it_bears() {
    let began = Instant::now();
    let nodes: Vec<id::Node> = (0..8).map(|n| id::Node::new(&format!("n-{n}"))).collect();
    let mut cold = entry("i-0", "n-1");
    cold.cold_left = Duration::from_secs(3);
    let mut sent = 0;
    for node in &nodes {
        let mut dispatcher = dispatcher(node.as_str());
        dispatcher.configure(rules(10.0));
        let owners =
            slow_start_owner::Owners { near: nodes.clone(), ..slow_start_owner::Owners::default() };
        dispatcher.set_nodes(owners, nodes.len(), began);
        set(&mut dispatcher, std::slice::from_ref(&cold), began);
        for step in 0..1_000 {
            let now = began + Duration::from_millis(1) * step;
            if let Ok(chosen) = choose(&mut dispatcher, &route(&[]), u64::from(step), now) {
                dispatcher.sent(&chosen.id, true, now);
                dispatcher.ended(&chosen, answered(), Duration::from_millis(1), now);
                sent += 1;
            }
        }
    }
    // Ten a second are borne; three quarters of that are used, and two at once.
    assert!((1..=10).contains(&sent), "{sent}");
}

#[test]
fn failback_an_evacuated_hall_counts_as_cold_when_it_is_taken_back() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    dispatcher.configure(rules(10.0));
    set(&mut dispatcher, &[entry("i-0", "n-1")], now);
    dispatcher.set_evacuated([id::Hall::new("n-1")].into(), now);
    dispatcher.set_evacuated(collections::BTreeSet::new(), now);
    assert!(dispatcher.upstreams().all(|b| b.slow_start.is_cold(now)));
}

#[test]
fn an_upstream_that_cannot_be_reached_rests_and_is_tried_again() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &[entry("i-0", "n-1"), entry("i-1", "n-1")], now);
    let first = choose(&mut dispatcher, &route(&[]), 1, now).expect("both are idle");
    dispatcher.sent(&first.id, true, now);
    dispatcher.ended(&first, outcome::Outcome::NotSent, Duration::ZERO, now);
    let second = choose(&mut dispatcher, &route(&[]), 1, now).expect("one is sound");
    assert_ne!(first.id, second.id);
    let later = now + Duration::from_secs(10);
    let third = choose(&mut dispatcher, &route(&[]), 1, later).expect("both are sound");
    assert_eq!(first.id, third.id);
}

#[test]
fn an_upstream_whose_only_try_broke_is_not_taken_for_silent() {
    let now = Instant::now();
    for outcome in [outcome::Outcome::Broken, outcome::Outcome::Abandoned] {
        let mut dispatcher = dispatcher("n");
        set(&mut dispatcher, &[entry("i-0", "n-1"), entry("i-1", "n-1")], now);
        let first = choose(&mut dispatcher, &route(&[]), 1, now).expect("both are idle");
        dispatcher.sent(&first.id, true, now);
        dispatcher.ended(&first, outcome, Duration::ZERO, now);
        let later = now + Duration::from_secs(60);
        let again = choose(&mut dispatcher, &route(&[]), 1, later).expect("both are sound");
        // A broken try makes it dearer for a while, by less than what a second upstream costs.
        assert_eq!(first.id, again.id, "{outcome:?}");
    }
}

#[test]
fn an_upstream_that_falls_silent_gets_no_more_while_another_answers() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &[entry("i-0", "n-1"), entry("i-1", "n-1")], now);
    let silent = choose(&mut dispatcher, &route(&[]), 1, now).expect("both are idle");
    dispatcher.sent(&silent.id, true, now);
    let later = now + Duration::from_secs(5);
    let other = choose(&mut dispatcher, &route(&[]), 1, later).expect("one is sound");
    assert_ne!(silent.id, other.id);
}

#[test]
fn a_replaced_upstream_is_never_asked_again() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    let only = [entry("i-0", "n-1")];
    set(&mut dispatcher, &only, now);
    dispatcher.sent(&only[0].id, true, now);
    dispatcher.ended(&only[0], outcome::Outcome::Replaced, Duration::ZERO, now);
    set(&mut dispatcher, &only, now);
    let refused = choose(&mut dispatcher, &route(&[]), 1, now);
    let exclusions = refusal::Exclusions { known: 1, leaving: 1, ..refusal::Exclusions::default() };
    assert_eq!(refused, Err(refusal::Refusal::NoUpstream(exclusions)));
}

#[test]
fn budget_retries_stay_below_the_fleet_s_ratio() {
    let began = Instant::now();
    let allowance =
        retry_budget::Allowance { window: Duration::from_secs(10), ratio: 0.2, slack: 8.0 / 8.0 };
    let mut sum = 0;
    for _ in 0..8 {
        let mut budget = retry_budget::Budget::default();
        for step in 0..100 {
            let now = began + Duration::from_millis(50) * step;
            budget.first_try(allowance, now);
            sum += u32::from(budget.retry(allowance, now));
        }
    }
    assert!((1..=8 * 100 / 5 + 8).contains(&sum), "{sum}");
}

#[test]
fn an_idle_region_keeps_what_its_slots_carry() {
    let capacity = |region: &str, slots| share::Capacity { region: id::Region::new(region), slots };
    let capacities = [capacity("a", 12.0), capacity("b", 48.0), capacity("c", 60.0)];
    let share =
        |split: &steer::common::split::Split, region: &str| split.share(&id::Region::new(region));
    let small = share::target(&id::Region::new("a"), &capacities);
    assert_eq!(share(&small, "a"), 300_000);
    // The rest goes where there is slack: 8 of 28 to b, 20 of 28 to c.
    assert!(share(&small, "b").abs_diff(200_000) <= 2 && share(&small, "c").abs_diff(500_000) <= 2);
    let large = share::target(&id::Region::new("c"), &capacities);
    assert_eq!(share(&large, "c"), 1_000_000);
    assert!(share::target(&id::Region::new("a"), &[capacity("a", 0.0)]).is_empty());
}

quickcheck! {
    fn a_rotation_keeps_every_share_within_its_lead(weights: Vec<u8>, wants: Vec<u8>) -> bool {
        let weights: Vec<(usize, f64)> =
            weights.iter().take(5).enumerate().map(|(k, w)| (k, f64::from(*w))).collect();
        let total: f64 = weights.iter().map(|(_, w)| w).sum();
        let lead = 5.0;
        let mut rotation = round_robin::RoundRobin::default();
        let mut taken = vec![0.0; weights.len()];
        for (turn, want) in wants.iter().enumerate() {
            let wanted: Vec<usize> = weights.iter().filter(|(_, w)| *w > 0.0).map(|(k, _)| *k)
                .filter(|k| k % 2 == usize::from(*want) % 2).collect();
            let Some(key) = rotation.prefer(&weights, &wanted, lead) else { return total <= 0.0 };
            taken[key] += 1.0;
            let turns = turn as f64 + 1.0;
            let is_bounded = weights.iter().all(|(k, w)| {
                taken[*k] - turns * w / total <= lead + 1.0
            });
            if !is_bounded || weights[key].1 <= 0.0 {
                return false;
            }
        }
        true
    }

    fn all_nodes_agree_on_the_owner_of_a_cold_upstream(names: Vec<u16>, upstream: u16) -> bool {
        let nodes: Vec<id::Node> = names.iter().map(|n| id::Node::new(&n.to_string())).collect();
        let upstream = id::Upstream::new(&upstream.to_string());
        let forward = slow_start_owner::owner(&upstream, nodes.iter());
        let backward = slow_start_owner::owner(&upstream, nodes.iter().rev());
        forward == backward && forward.is_some() != nodes.is_empty()
    }
}

#[test]
fn entries_that_lapse_while_their_source_is_away_are_used_until_they_should_be_back() {
    let began = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), began);
    dispatcher.source_failed(began);
    let back = began + Duration::from_secs(1);
    set(&mut dispatcher, &many()[..5], back);
    assert_eq!(dispatcher.upstreams().count(), 6);
    set(&mut dispatcher, &[], back);
    for key in 0..20 {
        choose(&mut dispatcher, &route(&[]), key, back).expect("they may be alive");
    }
    dispatcher.tick(back + Duration::from_secs(2));
    let refused = choose(&mut dispatcher, &route(&[]), 1, back + Duration::from_secs(2));
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))));
}

#[test]
fn a_lapsed_entry_that_is_told_again_stays() {
    let began = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), began);
    dispatcher.source_failed(began);
    set(&mut dispatcher, &[], began);
    let told: Vec<_> = many().into_iter().map(sync::Arc::new).collect();
    assert!(dispatcher.differs(&told));
    set(&mut dispatcher, &many(), began + Duration::from_secs(1));
    dispatcher.tick(began + Duration::from_secs(4));
    assert_eq!(dispatcher.upstreams().count(), 6);
}

#[test]
fn drain_an_entry_that_goes_in_quiet_times_is_left_alone_at_once() {
    let began = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), began);
    set(&mut dispatcher, &many()[..5], began);
    assert_eq!(dispatcher.upstreams().count(), 5);
    dispatcher.source_failed(began);
    set(&mut dispatcher, &many()[..4], began + Duration::from_secs(4));
    assert_eq!(dispatcher.upstreams().count(), 4);
}

#[test]
fn drain_a_leaving_upstream_is_not_kept_when_its_entry_lapses() {
    let began = Instant::now();
    let mut dispatcher = dispatcher("n");
    let mut leaving = entry("i-0", "n-1");
    leaving.state = discovery::State::Draining;
    set(&mut dispatcher, &[leaving], began);
    dispatcher.source_failed(began);
    set(&mut dispatcher, &[], began);
    assert_eq!(dispatcher.upstreams().count(), 0);
}

#[test]
fn most_entries_that_go_at_once_are_taken_for_lapsed_for_half_of_the_bound() {
    let began = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many(), began);
    set(&mut dispatcher, &[], began);
    assert_eq!(dispatcher.upstreams().count(), 6);
    dispatcher.tick(began + bounds::Bounds::default().drain / 2);
    assert_eq!(dispatcher.upstreams().count(), 0);
}

#[test]
fn an_object_waits_for_the_upstream_that_knows_it_rather_than_run_cold_elsewhere() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &many()[..2], now);
    let knows = choose(&mut dispatcher, &route(&[]), 7, now).expect("both are idle");
    let mut chosen_at = |requests: u32| {
        let load = vec![(peer_load::Key::of(&knows.id), requests)];
        dispatcher.set_peer_load(id::Node::new("m"), load, now);
        choose(&mut dispatcher, &route(&[]), 7, now).expect("one is idle").id.clone()
    };
    // Four slots: with five requests before it, it waits for less than a cold run takes longer.
    assert_eq!(chosen_at(5), knows.id);
    // With six it would wait too long, and the second has nothing to do.
    assert_ne!(chosen_at(6), knows.id);
}

#[test]
fn a_refusal_tells_what_decided_it() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    let mut leaving = entry("i-0", "n-1");
    leaving.state = discovery::State::Draining;
    let far = entry("i-2", "s-1");
    set(&mut dispatcher, &[leaving, entry("i-1", "n-2"), far], now);
    dispatcher.set_evacuated([id::Hall::new("n-2")].into(), now);
    let refused = choose(&mut dispatcher, &route(&["north"]), 1, now).expect_err("none is left");
    assert_eq!(refused.to_string(), "known=3 outside=1 leaving=1 evacuated=1 cold=0 tried=0");
    dispatcher.set_evacuated(collections::BTreeSet::new(), now);
    let load = vec![(peer_load::Key::of(&id::Upstream::new("i-1")), 400)];
    dispatcher.set_peer_load(id::Node::new("m"), load, now);
    let later = now + Duration::from_millis(35);
    let refused = choose(&mut dispatcher, &route(&["north"]), 1, later).expect_err("it is full");
    let text = refused.to_string();
    assert!(text.starts_with("upstream=i-1 wait_ms="), "{text}");
    assert!(text.ends_with(" left_ms=2000 load_age_ms=35"), "{text}");
}

#[test]
fn failback_a_cold_upstream_belongs_to_a_node_of_its_region_if_there_is_one() {
    let names = |names: &[&str]| names.iter().map(|n| id::Node::new(n)).collect::<Vec<_>>();
    let (north, south) = (id::Region::new("north"), id::Region::new("south"));
    let listed: collections::BTreeMap<_, _> =
        [(north.clone(), names(&["n-1", "n-2"])), (south.clone(), names(&["s-1"]))].into();
    let owners = slow_start_owner::Owners { near: names(&["n-1", "n-2"]), listed };
    for index in 0..50 {
        let upstream = id::Upstream::new(&format!("i-{index}"));
        let owner = |region| owners.of(&upstream, region, &north);
        assert!(owner(&north).is_some_and(|node| node.as_str().starts_with("n-")));
        assert_eq!(owner(&south), None);
        // Nobody stands in west, so all nodes agree on one of theirs.
        assert!(owner(&id::Region::new("west")).is_some());
    }
}

#[test]
fn a_request_that_waiting_alone_would_make_late_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &[entry("i-0", "n-1")], now);
    let mut wanted = route(&[]);
    let mut ask_at = |requests: u32, target: Duration| {
        let load = vec![(peer_load::Key::of(&id::Upstream::new("i-0")), requests)];
        dispatcher.set_peer_load(id::Node::new("m"), load, now);
        wanted.target_latency = target;
        choose(&mut dispatcher, &wanted, 1, now)
    };
    // Work of 250 ms on four slots: with seven requests before it, it waits for as long again.
    let target = Duration::from_millis(400);
    assert!(ask_at(6, target).is_ok());
    match ask_at(7, target) {
        Err(refusal::Refusal::Overloaded { retry_after, .. }) => {
            assert!(retry_after <= Duration::from_millis(250), "{retry_after:?}");
        }
        other => panic!("{other:?}"),
    }
    // An answer that is late without any wait is worth waiting for.
    assert!(ask_at(7, Duration::from_millis(200)).is_ok());
    // So is one that waiting does not make late.
    assert!(ask_at(7, Duration::from_millis(900)).is_ok());
}

/// A node is held to the bound on leaving upstreams once `contact` has passed since the last failure, so from
/// then on it uses no upstream whose entry has vanished.
#[test]
fn drain_no_upstream_without_an_entry_is_used_when_contact_is_over() {
    let bounds = bounds::Bounds::default();
    let failed = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &[entry("i-0", "n-1")], failed);
    dispatcher.source_failed(failed);
    set(&mut dispatcher, &[], failed + bounds.contact / 2);
    let over = failed + bounds.contact;
    dispatcher.tick(over);
    let refused = choose(&mut dispatcher, &route(&[]), 1, over);
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))), "{refused:?}");
}

/// The bound on leaving upstreams also holds between two ticks, and the way of the change counts toward it.
#[test]
fn drain_an_upstream_without_an_entry_is_used_for_less_than_the_bound() {
    /// Time that a change takes to a node, in calm times.
    const WAY: Duration = Duration::from_millis(500);
    let bounds = bounds::Bounds::default();
    let failed = Instant::now();
    let mut dispatcher = dispatcher("n");
    set(&mut dispatcher, &[entry("i-0", "n-1")], failed);
    dispatcher.source_failed(failed);
    set(&mut dispatcher, &[], failed);
    let over = failed + bounds.drain.saturating_sub(WAY);
    let refused = choose(&mut dispatcher, &route(&[]), 1, over);
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))), "{refused:?}");
}

#[test]
fn an_upstream_that_starts_again_under_its_name_has_nothing_of_before() {
    let now = Instant::now();
    let mut dispatcher = dispatcher("n");
    let first = discovery::Entry { born: 1, ..entry("i-0", "n-1") };
    let again = discovery::Entry { born: 2, ..first.clone() };
    set(&mut dispatcher, std::slice::from_ref(&first), now);
    dispatcher.sent(&first.id, true, now);
    dispatcher.sent(&first.id, true, now);
    dispatcher.ended(&first, outcome::Outcome::NotSent, Duration::ZERO, now);
    assert!(dispatcher.upstreams().all(|u| u.health.is_ejected(now)));
    set(&mut dispatcher, std::slice::from_ref(&again), now);
    assert!(dispatcher.in_flight().is_empty());
    assert!(dispatcher.upstreams().all(|u| !u.health.is_ejected(now)));
    // What was in flight there ends afterwards, and is not taken for a request of the new one.
    dispatcher.sent(&again.id, true, now);
    dispatcher.ended(&first, outcome::Outcome::NotSent, Duration::ZERO, now);
    assert_eq!(dispatcher.in_flight().len(), 1);
    assert!(dispatcher.upstreams().all(|u| !u.health.is_ejected(now)));
    dispatcher.ended(&again, answered(), Duration::from_millis(1), now);
    assert!(dispatcher.in_flight().is_empty());
}
