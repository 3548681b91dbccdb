//! Upstream limits: which report is valid, which requests are admitted, and where the others go.

use std::sync;
use std::time::{Duration, Instant};

use model::{id, limit, routing};
use steer::dispatch::dispatcher::Dispatcher;
use steer::dispatch::peer_load;
use steer::dispatch::refusal::Refusal;
use steer::dispatch::upstream_limit::{Report, announcement};

use crate::setup;

fn rate(per_second: f64) -> limit::Rate {
    limit::Rate::new(per_second).expect("a rate")
}

fn limit_of(dispatcher: &Dispatcher, upstream: &str) -> Option<f64> {
    let observed = dispatcher.limits().observation(key(upstream))?;
    observed.limit.map(limit::Rate::per_second)
}

fn key(upstream: &str) -> peer_load::Key {
    peer_load::Key::of(&id::Upstream::new(upstream))
}

/// Creates another node's report of a limit that an upstream set `age` ago.
fn reported(upstream: &str, limit: Option<f64>, age: Duration) -> Report {
    let announcement =
        announcement::Announcement { upstream: key(upstream), limit: limit.map(rate), age };
    Report { announcements: vec![announcement], usages: Vec::new() }
}

#[test]
fn latest_response_applies_from_whichever_node_it_comes() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entry = setup::entry("i-0", "n-1");
    setup::set(&mut dispatcher, std::slice::from_ref(&entry), now);
    let other = id::Node::new("other");
    let at = |millis| now + Duration::from_millis(millis);
    dispatcher.observe_limit(&entry, limit::Field::Limit(rate(5.0)), at(100));
    // The report is older than the known response.
    dispatcher.receive_limits(
        &other,
        &reported("i-0", Some(9.0), Duration::from_millis(80)),
        at(150),
    );
    assert_eq!(limit_of(&dispatcher, "i-0"), Some(5.0));
    dispatcher.receive_limits(
        &other,
        &reported("i-0", Some(3.0), Duration::from_millis(20)),
        at(150),
    );
    assert_eq!(limit_of(&dispatcher, "i-0"), Some(3.0));
    dispatcher.observe_limit(&entry, limit::Field::Absent, at(200));
    // The limit was removed in the meantime; an older report does not restore it.
    dispatcher.receive_limits(
        &other,
        &reported("i-0", Some(3.0), Duration::from_millis(90)),
        at(250),
    );
    assert_eq!(limit_of(&dispatcher, "i-0"), None);
}

#[test]
fn a_restarted_upstream_has_no_limit() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let previous = setup::entry("i-0", "n-1");
    setup::set(&mut dispatcher, std::slice::from_ref(&previous), now);
    dispatcher.observe_limit(&previous, limit::Field::Limit(rate(0.0)), now);
    let restarted = model::discovery::Entry { born: 7, ..previous.clone() };
    let later = now + Duration::from_millis(50);
    setup::set(&mut dispatcher, std::slice::from_ref(&restarted), later);
    assert_eq!(limit_of(&dispatcher, "i-0"), None);
    // A late response or report concerning the previous process does not apply to the new one.
    dispatcher.observe_limit(&previous, limit::Field::Limit(rate(0.0)), later);
    let report = reported("i-0", Some(0.0), Duration::from_millis(60));
    dispatcher.receive_limits(&id::Node::new("other"), &report, later);
    assert_eq!(limit_of(&dispatcher, "i-0"), None);
    for key in 0..20 {
        assert!(setup::choose(&mut dispatcher, &setup::route(&[]), key, later).is_ok());
    }
}

/// Requests that exceed the limits of a region must not flood another region beyond the operator's
/// shift limit.
#[test]
fn requests_over_regional_limits_are_refused_beyond_the_cap() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entries = setup::six_upstreams();
    setup::set(&mut dispatcher, &entries, now);
    let route = setup::route(&[]);
    // Sets the split between regions before any limit exists.
    assert!(setup::choose(&mut dispatcher, &route, 0, now).is_ok());
    let own = entries.iter().filter(|entry| entry.hall.as_str().starts_with('n'));
    for entry in own {
        dispatcher.observe_limit(entry, limit::Field::Limit(rate(0.0)), now);
    }
    let (mut left, mut refused) = (0, 0);
    for key in 0..400 {
        match setup::choose(&mut dispatcher, &route, key, now) {
            Ok(entry) if !entry.hall.as_str().starts_with('n') => left += 1,
            Ok(_) => {}
            Err(Refusal::Limited { retry_after, upstreams }) => {
                assert!(!upstreams.is_empty() && !retry_after.is_zero());
                refused += 1;
            }
            Err(other) => panic!("{other}"),
        }
    }
    let cap = model::bounds::Bounds::default().greatest_shift;
    assert!(f64::from(left) <= 400.0 * cap + 3.0, "{left} left their region");
    assert!(refused > 200, "{refused} were refused");
}

/// Limits reduce a region's capacity, so its share moves to the other regions within the operator's
/// shift limit.
#[test]
fn limits_reduce_the_capacity_of_a_region() {
    let start = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entries = setup::six_upstreams();
    setup::set(&mut dispatcher, &entries, start);
    let route = setup::route(&[]);
    assert!(setup::choose(&mut dispatcher, &route, 0, start).is_ok());
    let own_share = |dispatcher: &Dispatcher| {
        let (_, split) = dispatcher.splits().next().expect("a split");
        split.share(&id::Region::new("north"))
    };
    let before = own_share(&dispatcher);
    for entry in entries.iter().filter(|entry| entry.hall.as_str().starts_with('n')) {
        dispatcher.observe_limit(entry, limit::Field::Limit(rate(1.0)), start);
    }
    for tick in 1..=400 {
        dispatcher.tick(start + Duration::from_millis(250 * tick));
    }
    let after = own_share(&dispatcher);
    assert!(after < before / 2, "{after} of {before} stay");
}

/// If two routes share a limited service, the urgent one is served first and the other one gets the
/// rest.
#[test]
fn urgent_requests_take_precedence_if_a_limit_is_exhausted() {
    let start = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entry = setup::entry("i-0", "n-1");
    setup::set(&mut dispatcher, std::slice::from_ref(&entry), start);
    let route = |name: &str, priority| model::route::Route {
        name: id::Route::new(name),
        prefix: format!("/{name}/"),
        priority,
        ..setup::route(&[])
    };
    let (urgent, other) = (route("urgent", 0), route("other", 5));
    let routes = vec![urgent.clone(), other.clone()];
    let limits = routing::CallerLimits::default();
    let routing = routing::Routing::new(1, routes, std::collections::BTreeMap::new(), limits);
    dispatcher.configure(sync::Arc::new(routing));
    dispatcher.observe_limit(&entry, limit::Field::Limit(rate(10.0)), start);
    // Each route sends eight requests per second for twenty seconds.
    let (mut of_urgent, mut of_other) = (0, 0);
    for turn in 0..160_u64 {
        let now = start + Duration::from_millis(turn * 125);
        let is_served = |dispatcher: &mut Dispatcher, route| {
            setup::choose(dispatcher, route, turn, now).is_ok()
        };
        of_urgent += u32::from(is_served(&mut dispatcher, &urgent));
        of_other += u32::from(is_served(&mut dispatcher, &other));
    }
    assert!(of_urgent >= 140, "{of_urgent} urgent ones of 160");
    assert!(of_other <= 70, "{of_other} of the others");
    assert!(of_urgent + of_other <= 215, "{}", of_urgent + of_other);
    assert!(of_urgent + of_other >= 170, "{}", of_urgent + of_other);
}
