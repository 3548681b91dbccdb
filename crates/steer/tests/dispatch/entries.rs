//! Entries of discovery: upstreams that leave, lapse, are replaced or start again.

use std::sync;
use std::time::{Duration, Instant};

use model::{bounds, discovery, id};
use steer::dispatch::{outcome, refusal};

use crate::setup;

#[test]
fn evac_and_drain_leave_an_upstream_alone_at_once() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let mut entries = setup::many();
    entries[1].state = discovery::State::Draining;
    setup::set(&mut dispatcher, &entries, now);
    dispatcher.set_evacuated([id::Hall::new("n-1")].into(), now);
    for key in 0..setup::MANY as u64 {
        let chosen = setup::choose(&mut dispatcher, &setup::route(&[]), key, now)
            .expect("two regions are left");
        assert!(!chosen.hall.as_str().starts_with('n'), "{chosen:?}");
    }
}

#[test]
fn a_replaced_upstream_is_never_asked_again() {
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
fn entries_that_lapse_while_their_source_is_away_are_used_until_they_should_be_back() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::many(), began);
    dispatcher.source_failed(began);
    let back = began + Duration::from_secs(1);
    setup::set(&mut dispatcher, &setup::many()[..5], back);
    assert_eq!(dispatcher.upstreams().count(), 6);
    setup::set(&mut dispatcher, &[], back);
    for key in 0..20 {
        setup::choose(&mut dispatcher, &setup::route(&[]), key, back).expect("they may be alive");
    }
    dispatcher.tick(back + Duration::from_secs(2));
    let refused =
        setup::choose(&mut dispatcher, &setup::route(&[]), 1, back + Duration::from_secs(2));
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))));
}

#[test]
fn a_lapsed_entry_that_is_told_again_stays() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::many(), began);
    dispatcher.source_failed(began);
    setup::set(&mut dispatcher, &[], began);
    let told: Vec<_> = setup::many().into_iter().map(sync::Arc::new).collect();
    assert!(dispatcher.differs(&told));
    setup::set(&mut dispatcher, &setup::many(), began + Duration::from_secs(1));
    dispatcher.tick(began + Duration::from_secs(4));
    assert_eq!(dispatcher.upstreams().count(), 6);
}

#[test]
fn drain_an_entry_that_goes_in_quiet_times_is_left_alone_at_once() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::many(), began);
    setup::set(&mut dispatcher, &setup::many()[..5], began);
    assert_eq!(dispatcher.upstreams().count(), 5);
    dispatcher.source_failed(began);
    setup::set(&mut dispatcher, &setup::many()[..4], began + Duration::from_secs(4));
    assert_eq!(dispatcher.upstreams().count(), 4);
}

#[test]
fn drain_a_leaving_upstream_is_not_kept_when_its_entry_lapses() {
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
fn most_entries_that_go_at_once_are_taken_for_lapsed_for_half_of_the_bound() {
    let began = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &setup::many(), began);
    setup::set(&mut dispatcher, &[], began);
    assert_eq!(dispatcher.upstreams().count(), 6);
    dispatcher.tick(began + bounds::Bounds::default().drain / 2);
    assert_eq!(dispatcher.upstreams().count(), 0);
}

/// A node is held to the bound on leaving upstreams once `contact` has passed since the last failure, so from
/// then on it uses no upstream whose entry has vanished.
#[test]
fn drain_no_upstream_without_an_entry_is_used_when_contact_is_over() {
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

/// The bound on leaving upstreams also holds between two ticks, and the way of the change counts toward it.

#[test]
fn drain_an_upstream_without_an_entry_is_used_for_less_than_the_bound() {
    /// Time that a change takes to a node, in calm times.
    const WAY: Duration = Duration::from_millis(500);
    let bounds = bounds::Bounds::default();
    let failed = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[setup::entry("i-0", "n-1")], failed);
    dispatcher.source_failed(failed);
    setup::set(&mut dispatcher, &[], failed);
    let over = failed + bounds.drain.saturating_sub(WAY);
    let refused = setup::choose(&mut dispatcher, &setup::route(&[]), 1, over);
    assert!(matches!(refused, Err(refusal::Refusal::NoUpstream(_))), "{refused:?}");
}

#[test]
fn an_upstream_that_starts_again_under_its_name_has_nothing_of_before() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let first = discovery::Entry { born: 1, ..setup::entry("i-0", "n-1") };
    let again = discovery::Entry { born: 2, ..first.clone() };
    setup::set(&mut dispatcher, std::slice::from_ref(&first), now);
    dispatcher.sent(&first.id, true, now);
    dispatcher.sent(&first.id, true, now);
    dispatcher.ended(&first, outcome::Outcome::NotSent, Duration::ZERO, now);
    assert!(dispatcher.upstreams().all(|u| u.health.is_ejected(now)));
    setup::set(&mut dispatcher, std::slice::from_ref(&again), now);
    assert!(dispatcher.in_flight().is_empty());
    assert!(dispatcher.upstreams().all(|u| !u.health.is_ejected(now)));
    // What was in flight there ends afterwards, and is not taken for a request of the new one.
    dispatcher.sent(&again.id, true, now);
    dispatcher.ended(&first, outcome::Outcome::NotSent, Duration::ZERO, now);
    assert_eq!(dispatcher.in_flight().len(), 1);
    assert!(dispatcher.upstreams().all(|u| !u.health.is_ejected(now)));
    dispatcher.ended(&again, setup::answered(), Duration::from_millis(1), now);
    assert!(dispatcher.in_flight().is_empty());
}
