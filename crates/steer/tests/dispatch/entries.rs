//! Service discovery entries: upstreams that leave, lapse, are replaced or restart.

use std::sync;
use std::time::{Duration, Instant};

use model::{bounds, discovery, id};
use steer::dispatch::{outcome, refusal};

use crate::setup;

#[test]
fn evac_and_drain_exclude_an_upstream_immediately() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let mut entries = setup::six_upstreams();
    entries[1].state = discovery::State::Draining;
    setup::set(&mut dispatcher, &entries, now);
    dispatcher.set_evacuated([id::Hall::new("n-1")].into(), now);
    for key in 0..setup::MANY_REQUESTS as u64 {
        let chosen = setup::choose(&mut dispatcher, &setup::route(&[]), key, now)
            .expect("two regions are left");
        assert!(!chosen.hall.as_str().starts_with('n'), "{chosen:?}");
    }
}

#[test]
fn a_replaced_upstream_gets_no_more_requests() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let only = [setup::entry("i-0", "n-1")];
    setup::set(&mut dispatcher, &only, now);
    dispatcher.sent(&only[0].id, true, now);
    dispatcher.ended(&only[0], outcome::Outcome::Replaced, Duration::ZERO, now);
    setup::set(&mut dispatcher, &only, now);
    let refused = setup::choose(&mut dispatcher, &setup::route(&[]), 1, now);
    let exclusions = refusal::Exclusions { known: 1, leaving: 1, ..refusal::Exclusions::default() };
    assert_eq!(refused, Err(refusal::Refusal::NoUpstream(exclusions)));
}

#[test]
fn entries_lapsed_during_source_failure_are_used_temporarily() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), began);
    dispatcher.source_failed(began);
    let back = began + Duration::from_secs(1);
    setup::set(&mut dispatcher, &setup::six_upstreams()[..5], back);
    assert_eq!(dispatcher.upstreams().count(), 6);
    setup::set(&mut dispatcher, &[], back);
    for key in 0..20 {
        setup::choose(&mut dispatcher, &setup::route(&[]), key, back)
            .expect("lapsed upstreams are used");
    }
    dispatcher.tick(back + Duration::from_secs(2));
    let refused =
        setup::choose(&mut dispatcher, &setup::route(&[]), 1, back + Duration::from_secs(2));
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))));
}

#[test]
fn a_lapsed_entry_that_is_listed_again_is_kept() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), began);
    dispatcher.source_failed(began);
    setup::set(&mut dispatcher, &[], began);
    let listed: Vec<_> = setup::six_upstreams().into_iter().map(sync::Arc::new).collect();
    assert!(dispatcher.differs(&listed));
    setup::set(&mut dispatcher, &setup::six_upstreams(), began + Duration::from_secs(1));
    dispatcher.tick(began + Duration::from_secs(4));
    assert_eq!(dispatcher.upstreams().count(), 6);
}

#[test]
fn drain_entry_removed_by_working_source_drops_immediately() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), began);
    setup::set(&mut dispatcher, &setup::six_upstreams()[..5], began);
    assert_eq!(dispatcher.upstreams().count(), 5);
    dispatcher.source_failed(began);
    setup::set(&mut dispatcher, &setup::six_upstreams()[..4], began + Duration::from_secs(4));
    assert_eq!(dispatcher.upstreams().count(), 4);
}

#[test]
fn drain_leaving_upstream_is_dropped_with_lapsed_entry() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let mut leaving = setup::entry("i-0", "n-1");
    leaving.state = discovery::State::Draining;
    setup::set(&mut dispatcher, &[leaving], began);
    dispatcher.source_failed(began);
    setup::set(&mut dispatcher, &[], began);
    assert_eq!(dispatcher.upstreams().count(), 0);
}

#[test]
fn entries_removed_together_lapse_for_half_the_bound() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::six_upstreams(), began);
    setup::set(&mut dispatcher, &[], began);
    assert_eq!(dispatcher.upstreams().count(), 6);
    dispatcher.tick(began + bounds::Bounds::default().drain / 2);
    assert_eq!(dispatcher.upstreams().count(), 0);
}

/// The bound on leaving upstreams applies to a node once `bounds.contact` has passed since its last
/// failed call to the source of entries. From then on it must not use an upstream without an entry.
#[test]
fn drain_upstream_without_entry_is_unused_after_contact() {
    let bounds = bounds::Bounds::default();
    let failed = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1")], failed);
    dispatcher.source_failed(failed);
    setup::set(&mut dispatcher, &[], failed + bounds.contact / 2);
    let over = failed + bounds.contact;
    dispatcher.tick(over);
    let refused = setup::choose(&mut dispatcher, &setup::route(&[]), 1, over);
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))), "{refused:?}");
}

/// The bound on leaving upstreams also applies between two ticks and includes the time that a
/// change takes to reach the node.
#[test]
fn drain_upstream_without_entry_is_dropped_before_bound() {
    /// Time that a change normally takes to reach a node.
    const PROPAGATION_TIME: Duration = Duration::from_millis(500);
    let bounds = bounds::Bounds::default();
    let failed = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1")], failed);
    dispatcher.source_failed(failed);
    setup::set(&mut dispatcher, &[], failed);
    let over = failed + bounds.drain.saturating_sub(PROPAGATION_TIME);
    let refused = setup::choose(&mut dispatcher, &setup::route(&[]), 1, over);
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))), "{refused:?}");
}

#[test]
fn restarted_upstream_with_same_name_starts_without_state() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let original = discovery::Entry { born: 1, ..setup::entry("i-0", "n-1") };
    let restarted = discovery::Entry { born: 2, ..original.clone() };
    setup::set(&mut dispatcher, std::slice::from_ref(&original), now);
    dispatcher.sent(&original.id, true, now);
    dispatcher.sent(&original.id, true, now);
    dispatcher.ended(&original, outcome::Outcome::NotSent, Duration::ZERO, now);
    assert!(dispatcher.upstreams().all(|u| u.health.is_ejected(now)));
    setup::set(&mut dispatcher, std::slice::from_ref(&restarted), now);
    assert!(dispatcher.in_flight().is_empty());
    assert!(dispatcher.upstreams().all(|u| !u.health.is_ejected(now)));
    // A request of the previous process that ends now does not count as one of the new process.
    dispatcher.sent(&restarted.id, true, now);
    dispatcher.ended(&original, outcome::Outcome::NotSent, Duration::ZERO, now);
    assert_eq!(dispatcher.in_flight().len(), 1);
    assert!(dispatcher.upstreams().all(|u| !u.health.is_ejected(now)));
    dispatcher.ended(&restarted, setup::answered(), Duration::from_millis(1), now);
    assert!(dispatcher.in_flight().is_empty());
}
