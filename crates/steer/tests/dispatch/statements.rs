//! Statements of upstreams about themselves: how long they are valid and how they affect dispatch.

use std::time::{Duration, Instant};

use model::{discovery, id, leaving, rest, statement};
use steer::dispatch::dispatcher::Dispatcher;
use steer::dispatch::incarnation::Incarnation;
use steer::dispatch::leaving::Announcement;
use steer::dispatch::refusal::Refusal;

use crate::setup;

const LEAVING: statement::Statement = statement::Statement {
    load: None,
    limit: model::limit::Field::Absent,
    leaving: leaving::Field::Leaving,
    rest: rest::Field::Absent,
};

fn rest_for(seconds: u64) -> statement::Statement {
    let rest = rest::Field::Rest(Duration::from_secs(seconds));
    statement::Statement { rest, ..statement::Statement::default() }
}

fn is_chosen(dispatcher: &mut Dispatcher, now: Instant) -> bool {
    setup::choose(dispatcher, &setup::route(&[]), 1, now).is_ok()
}

fn entry_born(born: u64) -> discovery::Entry {
    discovery::Entry { born, ..setup::entry("i-0", "n-1") }
}

#[test]
fn returning_process_is_still_leaving_unlike_a_new_one() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[entry_born(1)], now);
    assert!(is_chosen(&mut dispatcher, now));
    assert!(dispatcher.observe(&entry_born(1), &LEAVING, now).leaves);
    assert!(!dispatcher.observe(&entry_born(1), &LEAVING, now).leaves, "already known");
    assert!(!is_chosen(&mut dispatcher, now));
    setup::set(&mut dispatcher, &[], now);
    let back = now + Duration::from_secs(30);
    dispatcher.tick(back);
    setup::set(&mut dispatcher, &[entry_born(1)], back);
    assert!(!is_chosen(&mut dispatcher, back), "the same process");
    setup::set(&mut dispatcher, &[entry_born(2)], back);
    assert!(is_chosen(&mut dispatcher, back), "a new process");
    dispatcher.observe(&entry_born(1), &LEAVING, back);
    assert!(
        is_chosen(&mut dispatcher, back),
        "a late response of the previous process has no effect"
    );
}

#[test]
fn announcement_applies_to_upstream_discovered_later() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let reported = [Announcement {
        incarnation: Incarnation { upstream: id::Upstream::new("i-0"), born: 1 },
        age: Duration::from_millis(40),
    }];
    assert_eq!(dispatcher.receive_leavings(&id::Node::new("other"), &reported, now).len(), 1);
    assert_eq!(dispatcher.receive_leavings(&id::Node::new("third"), &reported, now).len(), 0);
    setup::set(&mut dispatcher, &[entry_born(1)], now);
    assert!(!is_chosen(&mut dispatcher, now));
    assert_eq!(
        dispatcher.leavings_mut().report(now),
        [],
        "a node does not repeat what others announced"
    );
}

#[test]
fn a_node_reports_its_own_observations_three_times() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[entry_born(1)], now);
    dispatcher.observe(&entry_born(1), &LEAVING, now);
    let reported = (0..10).filter(|_| !dispatcher.leavings_mut().report(now).is_empty()).count();
    assert_eq!(reported, 3);
}

#[test]
fn rest_ends_with_time_or_process_never_earlier() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[entry_born(1)], now);
    assert_eq!(
        dispatcher.observe(&entry_born(1), &rest_for(3), now).rest,
        Some(Duration::from_secs(3))
    );
    assert_eq!(dispatcher.observe(&entry_born(1), &rest_for(1), at(100)).rest, None);
    dispatcher.observe(&entry_born(1), &statement::Statement::default(), at(200));
    assert!(!is_chosen(&mut dispatcher, at(2_999)));
    setup::set(&mut dispatcher, &[], at(1_000));
    setup::set(&mut dispatcher, &[entry_born(1)], at(1_000));
    assert!(!is_chosen(&mut dispatcher, at(2_999)), "the rest outlasts a missing entry");
    setup::set(&mut dispatcher, &[entry_born(2)], at(1_100));
    assert!(is_chosen(&mut dispatcher, at(1_100)), "a new process");
    dispatcher.observe(&entry_born(2), &rest_for(2), at(1_200));
    assert!(!is_chosen(&mut dispatcher, at(3_100)));
    assert!(is_chosen(&mut dispatcher, at(3_200)), "the rest is over");
}

#[test]
fn retry_delays_are_spread_after_the_earliest_rest() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entries = [setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")];
    setup::set(&mut dispatcher, &entries, now);
    dispatcher.observe(&entries[0], &rest_for(3), now);
    dispatcher.observe(&entries[1], &rest_for(2), now);
    let route = setup::route(&[]);
    let reported: Vec<Duration> = (0..5)
        .map(|_| match setup::choose(&mut dispatcher, &route, 1, now) {
            Err(Refusal::Resting { retry_after, .. }) => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    let expected = Duration::from_secs(2)..Duration::from_millis(2_500);
    assert!(reported.iter().all(|reported| expected.contains(reported)), "{reported:?}");
    let is_spread = |(index, a): (usize, &Duration)| {
        reported[..index].iter().all(|b| a.abs_diff(*b) >= Duration::from_millis(40))
    };
    assert!(reported.iter().enumerate().all(is_spread), "{reported:?}");
}

#[test]
fn resting_or_leaving_is_neither_working_nor_failed() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entries = [setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")];
    setup::set(&mut dispatcher, &entries, now);
    let service = entries[0].service.clone();
    assert_eq!(dispatcher.count_working(&service, now), 2);
    dispatcher.observe(&entries[0], &rest_for(3), now);
    assert_eq!(dispatcher.count_working(&service, now), 1);
    dispatcher.observe(&entries[1], &LEAVING, now);
    assert_eq!(dispatcher.count_working(&service, now), 0);
    for upstream in dispatcher.upstreams() {
        assert!(!upstream.health.is_ejected(now));
        assert!(upstream.health.failure_rate(now) <= 0.0);
    }
}
