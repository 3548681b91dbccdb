//! Choice of an upstream: object affinity, waiting and refusals.

use std::collections;
use std::time::{Duration, Instant};

use model::{discovery, id};
use steer::dispatch::{peer_load, refusal, retry_budget};

use crate::setup;

#[test]
fn requests_for_one_object_go_to_the_same_upstream() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), now);
    for key in 0..20 {
        let first =
            setup::choose(&mut dispatcher, &setup::route(&[]), key, now).expect("all are idle");
        let again =
            setup::choose(&mut dispatcher, &setup::route(&[]), key, now).expect("all are idle");
        assert_eq!(first.id, again.id);
    }
}

#[test]
fn budget_retries_stay_below_the_fleet_wide_ratio() {
    let began = Instant::now();
    let allowance =
        retry_budget::Allowance { window: Duration::from_secs(10), ratio: 0.2, slack: 8.0 / 8.0 };
    let mut sum = 0;
    for _ in 0..8 {
        let mut budget = retry_budget::Budget::default();
        for step in 0..100 {
            let now = began + Duration::from_millis(50) * step;
            budget.record_first_attempt(allowance, now);
            sum += u32::from(budget.take_retry(allowance, now));
        }
    }
    assert!((1..=8 * 100 / 5 + 8).contains(&sum), "{sum}");
}

#[test]
fn request_waits_for_upstream_with_cached_object_if_faster() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams()[..2], now);
    let preferred =
        setup::choose(&mut dispatcher, &setup::route(&[]), 7, now).expect("both are idle");
    let mut chosen_at = |requests: u32| {
        let load = vec![(peer_load::Key::of(&preferred.id), requests)];
        dispatcher.set_peer_load(id::Node::new("m"), load, now);
        setup::choose(&mut dispatcher, &setup::route(&[]), 7, now).expect("one is idle").id.clone()
    };
    // Four slots: behind five requests, it waits less than an upstream without the object would
    // take longer.
    assert_eq!(chosen_at(5), preferred.id);
    // Behind six it would wait too long, and the second upstream is idle.
    assert_ne!(chosen_at(6), preferred.id);
}

#[test]
fn a_refusal_tells_what_decided_it() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let mut leaving = setup::entry("i-0", "n-1");
    leaving.state = discovery::State::Draining;
    let far = setup::entry("i-2", "s-1");
    setup::set(&mut dispatcher, &[leaving, setup::entry("i-1", "n-2"), far], now);
    dispatcher.set_evacuated([id::Hall::new("n-2")].into(), now);
    let refused = setup::choose(&mut dispatcher, &setup::route(&["north"]), 1, now)
        .expect_err("none is left");
    assert_eq!(
        refused.to_string(),
        "known=3 outside=1 leaving=1 evacuated=1 resting=0 cold=0 tried=0"
    );
    dispatcher.set_evacuated(collections::BTreeSet::new(), now);
    let load = vec![(peer_load::Key::of(&id::Upstream::new("i-1")), 400)];
    dispatcher.set_peer_load(id::Node::new("m"), load, now);
    let later = now + Duration::from_millis(35);
    let refused = setup::choose(&mut dispatcher, &setup::route(&["north"]), 1, later)
        .expect_err("it is full");
    let text = refused.to_string();
    assert!(text.starts_with("upstream=i-1 wait_ms="), "{text}");
    assert!(text.ends_with(" left_ms=2000 load_age_ms=35"), "{text}");
}

#[test]
fn a_request_that_waiting_alone_would_make_late_is_refused_at_once() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1")], now);
    let mut route = setup::route(&[]);
    let mut ask_at = |requests: u32, target: Duration| {
        let load = vec![(peer_load::Key::of(&id::Upstream::new("i-0")), requests)];
        dispatcher.set_peer_load(id::Node::new("m"), load, now);
        route.target_latency = target;
        setup::choose(&mut dispatcher, &route, 1, now)
    };
    // 250 ms of work on four slots: behind seven requests, it waits another 250 ms.
    let target = Duration::from_millis(400);
    assert!(ask_at(6, target).is_ok());
    match ask_at(7, target) {
        Err(refusal::Refusal::Overloaded { retry_after, .. }) => {
            assert!(retry_after <= Duration::from_millis(250), "{retry_after:?}");
        }
        other => panic!("{other:?}"),
    }
    // The response would be late even without a wait, so a refusal would not help.
    assert!(ask_at(7, Duration::from_millis(200)).is_ok());
    // The wait does not make the response late.
    assert!(ask_at(7, Duration::from_millis(900)).is_ok());
}
