//! What upstreams say of themselves: what ends it, and who counts on them meanwhile.

use std::time::{Duration, Instant};

use model::{discovery, id, leaving, rest, statement};
use steer::dispatch::dispatcher::Dispatcher;
use steer::dispatch::incarnation::Incarnation;
use steer::dispatch::leaving::Announcement;
use steer::dispatch::refusal::Refusal;

use crate::setup;

const LEAVES: statement::Statement = statement::Statement {
    load: None,
    limit: model::limit::Field::Absent,
    leaving: leaving::Field::Leaving,
    rest: rest::Field::Absent,
};

fn rests(seconds: u64) -> statement::Statement {
    let rest = rest::Field::Rest(Duration::from_secs(seconds));
    statement::Statement { rest, ..statement::Statement::default() }
}

fn is_chosen(dispatcher: &mut Dispatcher, now: Instant) -> bool {
    setup::choose(dispatcher, &setup::route(&[]), 1, now).is_ok()
}

fn born(born: u64) -> discovery::Entry {
    discovery::Entry { born, ..setup::entry("i-0", "n-1") }
}

#[test]
fn an_entry_that_vanishes_and_is_back_still_leaves_and_a_new_process_does_not() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[born(1)], now);
    assert!(is_chosen(&mut dispatcher, now));
    assert!(dispatcher.observe(&born(1), &LEAVES, now).leaves);
    assert!(!dispatcher.observe(&born(1), &LEAVES, now).leaves, "known already");
    assert!(!is_chosen(&mut dispatcher, now));
    setup::set(&mut dispatcher, &[], now);
    let back = now + Duration::from_secs(30);
    dispatcher.tick(back);
    setup::set(&mut dispatcher, &[born(1)], back);
    assert!(!is_chosen(&mut dispatcher, back), "the same process");
    setup::set(&mut dispatcher, &[born(2)], back);
    assert!(is_chosen(&mut dispatcher, back), "another one");
    dispatcher.observe(&born(1), &LEAVES, back);
    assert!(is_chosen(&mut dispatcher, back), "a late answer of the former process ends nothing");
}

#[test]
fn a_node_that_learns_of_the_upstream_later_holds_to_what_others_told() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let told = [Announcement {
        incarnation: Incarnation { upstream: id::Upstream::new("i-0"), born: 1 },
        age: Duration::from_millis(40),
    }];
    assert_eq!(dispatcher.receive_leavings(&id::Node::new("other"), &told, now).len(), 1);
    assert_eq!(dispatcher.receive_leavings(&id::Node::new("third"), &told, now).len(), 0);
    setup::set(&mut dispatcher, &[born(1)], now);
    assert!(!is_chosen(&mut dispatcher, now));
    assert_eq!(dispatcher.leavings_mut().report(now), [], "who was told tells nobody");
}

#[test]
fn a_node_tells_what_it_heard_itself_a_few_times() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[born(1)], now);
    dispatcher.observe(&born(1), &LEAVES, now);
    let told = (0..10).filter(|_| !dispatcher.leavings_mut().report(now).is_empty()).count();
    assert_eq!(told, 3);
}

#[test]
fn a_rest_ends_by_its_time_or_with_the_process_and_is_never_shortened() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut dispatcher = setup::dispatcher("n");
    setup::set(&mut dispatcher, &[born(1)], now);
    assert_eq!(dispatcher.observe(&born(1), &rests(3), now).rest, Some(Duration::from_secs(3)));
    assert_eq!(dispatcher.observe(&born(1), &rests(1), at(100)).rest, None);
    dispatcher.observe(&born(1), &statement::Statement::default(), at(200));
    assert!(!is_chosen(&mut dispatcher, at(2_999)));
    setup::set(&mut dispatcher, &[], at(1_000));
    setup::set(&mut dispatcher, &[born(1)], at(1_000));
    assert!(!is_chosen(&mut dispatcher, at(2_999)), "an entry that was gone changes nothing");
    setup::set(&mut dispatcher, &[born(2)], at(1_100));
    assert!(is_chosen(&mut dispatcher, at(1_100)), "another process");
    dispatcher.observe(&born(2), &rests(2), at(1_200));
    assert!(!is_chosen(&mut dispatcher, at(3_100)));
    assert!(is_chosen(&mut dispatcher, at(3_200)), "it has rested");
}

#[test]
fn where_all_rest_callers_are_told_the_earliest_end_apart_from_each_other() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entries = [setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")];
    setup::set(&mut dispatcher, &entries, now);
    dispatcher.observe(&entries[0], &rests(3), now);
    dispatcher.observe(&entries[1], &rests(2), now);
    let route = setup::route(&[]);
    let told: Vec<Duration> = (0..5)
        .map(|_| match setup::choose(&mut dispatcher, &route, 1, now) {
            Err(Refusal::Resting { retry_after, .. }) => retry_after,
            other => panic!("{other:?}"),
        })
        .collect();
    let fits = Duration::from_secs(2)..Duration::from_millis(2_500);
    assert!(told.iter().all(|told| fits.contains(told)), "{told:?}");
    let apart = |(index, a): (usize, &Duration)| {
        told[..index].iter().all(|b| a.abs_diff(*b) >= Duration::from_millis(40))
    };
    assert!(told.iter().enumerate().all(apart), "{told:?}");
}

#[test]
fn an_upstream_that_rests_or_leaves_is_no_room_and_no_fault() {
    let now = Instant::now();
    let mut dispatcher = setup::dispatcher("n");
    let entries = [setup::entry("i-0", "n-1"), setup::entry("i-1", "n-1")];
    setup::set(&mut dispatcher, &entries, now);
    let service = entries[0].service.clone();
    assert_eq!(dispatcher.count_working(&service, now), 2);
    dispatcher.observe(&entries[0], &rests(3), now);
    assert_eq!(dispatcher.count_working(&service, now), 1);
    dispatcher.observe(&entries[1], &LEAVES, now);
    assert_eq!(dispatcher.count_working(&service, now), 0);
    for upstream in dispatcher.upstreams() {
        assert!(!upstream.health.is_ejected(now));
        assert!(upstream.health.failure_rate(now) <= 0.0);
    }
}
