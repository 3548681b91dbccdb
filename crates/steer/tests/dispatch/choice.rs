//! Choice: which upstream an object meets, and when a request is refused.

use std::collections;
use std::time::{Duration, Instant};

use model::{discovery, id};
use steer::dispatch::{peer_load, refusal, retry_budget};

use crate::setup;

#[test]
fn one_object_meets_one_upstream() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::many(), now);
    for key in 0..20 {
        let first =
            setup::choose(&mut dispatcher, &setup::route(&[]), key, now).expect("all are idle");
        let again =
            setup::choose(&mut dispatcher, &setup::route(&[]), key, now).expect("all are idle");
        assert_eq!(first.id, again.id);
    }
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
            budget.record_first_attempt(allowance, now);
            sum += u32::from(budget.take_retry(allowance, now));
        }
    }
    assert!((1..=8 * 100 / 5 + 8).contains(&sum), "{sum}");
}

#[test]
fn an_object_waits_for_the_upstream_that_knows_it_rather_than_run_cold_elsewhere() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::many()[..2], now);
    let knows = setup::choose(&mut dispatcher, &setup::route(&[]), 7, now).expect("both are idle");
    let mut chosen_at = |requests: u32| {
        let load = vec![(peer_load::Key::of(&knows.id), requests)];
        dispatcher.set_peer_load(id::Node::new("m"), load, now);
        setup::choose(&mut dispatcher, &setup::route(&[]), 7, now).expect("one is idle").id.clone()
    };
    // Four slots: with five requests before it, it waits for less than a cold run takes longer.
    assert_eq!(chosen_at(5), knows.id);
    // With six it would wait too long, and the second has nothing to do.
    assert_ne!(chosen_at(6), knows.id);
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
    let mut wanted = setup::route(&[]);
    let mut ask_at = |requests: u32, target: Duration| {
        let load = vec![(peer_load::Key::of(&id::Upstream::new("i-0")), requests)];
        dispatcher.set_peer_load(id::Node::new("m"), load, now);
        wanted.target_latency = target;
        setup::choose(&mut dispatcher, &wanted, 1, now)
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
