//! Slow start: which node sends to a cold upstream, and at what rate.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::slow_start_owner;

use crate::setup;

#[test]
fn failback_cold_upstream_has_one_owner_without_overload() {
    let began = Instant::now();
    let nodes: Vec<id::Node> = (0..8).map(|n| id::Node::new(&format!("n-{n}"))).collect();
    let mut cold = setup::entry("i-0", "n-1");
    cold.cold_left = Duration::from_secs(3);
    let mut sent = 0;
    for node in &nodes {
        let mut dispatcher = setup::dispatcher(node.as_str());
        dispatcher.configure(setup::rules(10.0));
        let owners =
            slow_start_owner::Owners { near: nodes.clone(), ..slow_start_owner::Owners::default() };
        dispatcher.set_nodes(owners, nodes.len(), began);
        setup::set(&mut dispatcher, std::slice::from_ref(&cold), began);
        for step in 0..1_000 {
            let now = began + Duration::from_millis(1) * step;
            if let Ok(chosen) =
                setup::choose(&mut dispatcher, &setup::route(&[]), u64::from(step), now)
            {
                dispatcher.sent(&chosen.id, true, now);
                dispatcher.ended(&chosen, setup::answered(), Duration::from_millis(1), now);
                sent += 1;
            }
        }
    }
    // The upstream handles ten per second; three quarters of that are used, with a burst of two.
    assert!((1..=10).contains(&sent), "{sent}");
}

#[test]
fn failback_hall_upstreams_are_cold_after_evacuation_ends() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    dispatcher.configure(setup::rules(10.0));
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1")], now);
    dispatcher.set_evacuated([id::Hall::new("n-1")].into(), now);
    dispatcher.set_evacuated(collections::BTreeSet::new(), now);
    assert!(dispatcher.upstreams().all(|u| u.slow_start.is_cold(now)));
}

#[test]
fn failback_cold_upstream_prefers_owner_in_its_region() {
    let names = |names: &[&str]| names.iter().map(|n| id::Node::new(n)).collect::<Vec<_>>();
    let (north, south) = (id::Region::new("north"), id::Region::new("south"));
    let listed: collections::BTreeMap<_, _> =
        [(north.clone(), names(&["n-1", "n-2"])), (south.clone(), names(&["s-1"]))].into();
    let owners = slow_start_owner::Owners { near: names(&["n-1", "n-2"]), listed: listed.into() };
    for index in 0..50 {
        let upstream = id::Upstream::new(&format!("i-{index}"));
        let owner = |region| owners.of(&upstream, region, &north);
        assert!(owner(&north).is_some_and(|node| node.as_str().starts_with("n-")));
        assert_eq!(owner(&south), None);
        // No node is listed in west, so the nodes of all regions share its upstreams.
        assert!(owner(&id::Region::new("west")).is_some());
    }
}
