//! What nodes send to upstreams while they cannot believe their copies of the store.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::{head, id, routing};
use steer::dispatch::fleet::freshness::Status;
use steer::dispatch::{cold_check, dispatcher, slow_start_owner};

use crate::setup;

/// Cold rate of the service, in requests per second; with the default bounds a cold upstream bears 20.
const COLD_RATE: f64 = 10.0;

/// Most requests that a cold upstream bears within a second.
const MOST: usize = 20;

/// What the owner of a cold upstream may send of those.
const OWNERS_PART: usize = 9;

/// Nodes by region.
fn nodes() -> collections::BTreeMap<id::Region, Vec<id::Node>> {
    let names = |prefix: &str, count| {
        (0..count).map(|n| id::Node::new(&format!("{prefix}-{n}"))).collect::<Vec<_>>()
    };
    [(id::Region::new("north"), names("n", 5)), (id::Region::new("south"), names("s", 4))].into()
}

fn rules(path: Option<&str>) -> sync::Arc<routing::Routing> {
    let rules = routing::ServiceRules {
        health_check_path: path.map(str::to_owned),
        max_connections: None,
        cold_start: Duration::from_secs(3),
        cold_rate: Some(COLD_RATE),
        shed: Vec::new(),
    };
    let services = [(id::Service::new("desk"), rules)].into();
    sync::Arc::new(routing::Routing::new(1, Vec::new(), services, routing::CallerLimits::default()))
}

/// Returns the dispatcher of a node of north that does not believe its copy.
fn doubting(node: &id::Node, path: Option<&str>, now: Instant) -> dispatcher::Dispatcher {
    let mut dispatcher = setup::dispatcher(node.as_str());
    dispatcher.configure(rules(path));
    let mut listed = nodes();
    listed.values_mut().for_each(|nodes| nodes.retain(|other| other != node));
    let owners = slow_start_owner::Owners { near: vec![node.clone()], listed: listed.into() };
    dispatcher.set_nodes(owners, 9, now);
    let entries: Vec<_> = (0..3).map(|n| setup::entry(&format!("i-{n}"), "n-1")).collect();
    setup::set(&mut dispatcher, &entries, now);
    dispatcher.set_copy_status(Status::Unconfirmed);
    dispatcher
}

/// Sends as much as `dispatcher` allows within a second, and returns how much each upstream gets.
fn send_all(
    dispatcher: &mut dispatcher::Dispatcher,
    began: Instant,
) -> collections::BTreeMap<id::Upstream, usize> {
    let mut sent = collections::BTreeMap::new();
    for step in 0..1_000 {
        let now = began + Duration::from_millis(1) * step;
        let chosen = setup::choose(dispatcher, &setup::route(&[]), u64::from(step), now);
        if let Ok(chosen) = chosen {
            dispatcher.sent(&chosen.id, true, now);
            dispatcher.ended(&chosen, setup::answered(), Duration::from_millis(1), now);
            *sent.entry(chosen.id.clone()).or_default() += 1;
        }
    }
    sent
}

/// Guards against nodes that start together and each send as to a warm upstream.
#[test]
fn failback_shares_of_all_nodes_leave_room_for_the_owner() {
    let began = Instant::now();
    let mut total: collections::BTreeMap<id::Upstream, usize> = collections::BTreeMap::new();
    let mut senders = 0;
    for node in nodes().values().flatten() {
        let sent = send_all(&mut doubting(node, None, began), began);
        senders += usize::from(!sent.is_empty());
        for (upstream, count) in sent {
            *total.entry(upstream).or_default() += count;
        }
    }
    assert_eq!(total.len(), 3, "every upstream is used");
    assert!(total.values().all(|total| *total <= MOST - OWNERS_PART), "{total:?}");
    assert!(senders >= 6, "{senders} of 9 nodes may send");
}

/// Guards against refusals by a node that could learn from the upstream that it is warm.
#[test]
fn an_upstream_that_says_it_is_warm_has_no_limit() {
    let now = Instant::now();
    let node = id::Node::new("n-0");
    let mut dispatcher = doubting(&node, Some("/health"), now);
    let chosen = setup::choose(&mut dispatcher, &setup::route(&[]), 7, now).expect("it is asked");
    let step = dispatcher.begin_cold_check(&chosen, now);
    let cold_check::Step::Check(target) = step else { panic!("{step:?}") };
    assert_eq!((target.upstream.clone(), target.path.as_str()), (chosen.id.clone(), "/health"));
    assert_eq!(dispatcher.begin_cold_check(&chosen, now), cold_check::Step::Await);
    dispatcher.end_cold_check(&chosen.id, cold_check::Verdict::Warm, now, now);
    assert_eq!(dispatcher.begin_cold_check(&chosen, now), cold_check::Step::Send);
    let later = now + Duration::from_millis(100);
    let step = dispatcher.begin_cold_check(&chosen, later);
    assert!(matches!(step, cold_check::Step::SendAndCheck(_)), "{step:?}");
    let stale = later + Duration::from_millis(300);
    let step = dispatcher.begin_cold_check(&chosen, stale);
    assert!(matches!(step, cold_check::Step::Check(_)), "{step:?}");
}

/// Guards against an upstream that says that it is cold and gets more than its share.
#[test]
fn failback_an_upstream_that_says_it_is_cold_gets_the_share() {
    let now = Instant::now();
    let node = id::Node::new("n-0");
    let mut dispatcher = doubting(&node, Some("/health"), now);
    for upstream in ["i-0", "i-1", "i-2"].map(id::Upstream::new) {
        dispatcher.end_cold_check(&upstream, cold_check::Verdict::NotWarm, now, now);
    }
    let mut limited = doubting(&node, None, now);
    let told = (0..200).filter(|key| {
        let now = now + Duration::from_millis(1);
        let chosen = setup::choose(&mut dispatcher, &setup::route(&[]), *key, now);
        chosen.is_ok_and(|chosen| dispatcher.sent(&chosen.id, true, now) >= 1.0)
    });
    let told = told.count();
    let untold = (0..200).filter(|key| {
        let now = now + Duration::from_millis(1);
        let chosen = setup::choose(&mut limited, &setup::route(&[]), *key, now);
        chosen.is_ok_and(|chosen| limited.sent(&chosen.id, true, now) >= 1.0)
    });
    assert_eq!(told, untold.count());
    assert!(told <= 6, "{told}");
}

/// Guards against an upstream that counts as warm because another one answers at its address.
#[test]
fn only_the_upstream_itself_says_that_it_is_warm() {
    let upstream = id::Upstream::new("i-0");
    let verdict = |status, name, cold| {
        cold_check::Verdict::of(&upstream, &head::Health { status, upstream: name, cold })
    };
    let cold = head::Cold::For(Duration::from_secs(1));
    assert_eq!(verdict(200, Some("i-0"), head::Cold::No), cold_check::Verdict::Warm);
    assert_eq!(verdict(200, Some("i-0"), cold), cold_check::Verdict::NotWarm);
    assert_eq!(verdict(200, Some("i-0"), head::Cold::Unknown), cold_check::Verdict::NotWarm);
    assert_eq!(verdict(503, Some("i-0"), head::Cold::No), cold_check::Verdict::NotWarm);
    assert_eq!(verdict(200, Some("i-1"), head::Cold::No), cold_check::Verdict::NotWarm);
    assert_eq!(verdict(200, None, head::Cold::No), cold_check::Verdict::NotWarm);
}
