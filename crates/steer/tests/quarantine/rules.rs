//! Single rules of the quarantine.

use std::time::{Duration, Instant};

use model::fingerprint::Fingerprint;
use steer::dispatch::quarantine::Quarantine;
use steer::dispatch::quarantine::report::Source;
use steer::dispatch::quarantine::sighting::{Crash, Service, Sighting};
use steer::dispatch::quarantine::significance;

use crate::fleet::{fingerprint, start_of};

/// Upstreams of the service.
const UPSTREAMS: u32 = 20;

/// Time of day of the tests.
const MILLIS: u64 = 1_800_000_000_000;

/// Time from a send to the crash.
const RUN: u64 = 60;

/// One node, and the time that its events have.
struct Node {
    quarantine: Quarantine,
    began: Instant,
}

impl Node {
    fn new() -> Self {
        let began = Instant::now() + Duration::from_secs(100_000);
        Self { quarantine: Quarantine::new(began), began }
    }

    fn at(&self, millis: u64) -> Instant {
        self.began + Duration::from_millis(millis)
    }

    /// Records that `upstream` crashed at `millis` under a request that was sent to it shortly before.
    fn crash(&mut self, request: Fingerprint, upstream: usize, millis: u64) {
        self.crash_of(request, upstream, millis - RUN, millis);
    }

    fn crash_of(&mut self, request: Fingerprint, upstream: usize, sent: u64, millis: u64) {
        let crash = Crash {
            start: start_of(upstream, 1),
            service: Service(1),
            upstreams: UPSTREAMS,
            at: self.at(millis),
        };
        let sighting = Sighting { fingerprint: request, crash, sent: self.at(sent) };
        let now = self.at(millis);
        self.quarantine.crashed(sighting, Source::Own, MILLIS + millis, now);
    }

    fn judge(&mut self, millis: u64) -> usize {
        self.quarantine.judge(MILLIS + millis, self.at(millis)).len()
    }

    fn is_held(&mut self, request: Fingerprint, millis: u64) -> bool {
        let now = self.at(millis);
        self.quarantine.check(&request, now).is_some()
    }
}

fn deadly() -> Fingerprint {
    fingerprint("/deadly", 1)
}

#[test]
fn three_crashes_one_after_the_other_hold_a_request_back() {
    let mut node = Node::new();
    for upstream in 0..2 {
        node.crash(deadly(), upstream, 100 + 100 * upstream as u64);
    }
    assert_eq!(node.judge(1_000), 0);
    assert!(!node.is_held(deadly(), 1_000));
    node.crash(deadly(), 2, 1_100);
    assert_eq!(node.judge(1_200), 0, "others may still tell what was in flight there");
    assert_eq!(node.judge(1_300), 1);
    assert!(node.is_held(deadly(), 1_300));
    let hold = node.quarantine.check(&deadly(), node.at(2_000)).expect("held");
    assert!(hold.retry_after > Duration::from_secs(60), "it cannot succeed soon");
    assert!(!node.is_held(fingerprint("/deadly", 2), 1_300), "another caller's is another request");
    assert!(!node.is_held(fingerprint("/other", 1), 1_300));
}

/// Upstreams that are back under their names end again before discovery lists their new starts.
#[test]
fn an_upstream_that_ends_again_before_it_is_listed_anew_counts_again() {
    let mut node = Node::new();
    for round in 0..2 {
        for upstream in 0..2 {
            node.crash(deadly(), upstream, 100 + 3_000 * round + 200 * upstream as u64);
        }
    }
    assert_eq!(node.judge(4_000), 1);
}

#[test]
fn upstreams_that_end_together_count_once() {
    let mut node = Node::new();
    // In flight at all upstreams of a hall, as one that many callers' clients poll may be.
    for upstream in 0..10 {
        node.crash(deadly(), upstream, 1_000);
    }
    // Its next sends meet one more crash.
    node.crash(deadly(), 11, 1_500);
    assert_eq!(node.judge(2_000), 0);
}

#[test]
fn a_request_that_ran_to_its_end_is_no_suspect() {
    let mut node = Node::new();
    for upstream in 0..2 {
        node.crash(deadly(), upstream, 100 + 200 * upstream as u64);
    }
    let now = node.at(500);
    node.quarantine.succeeded(&deadly(), Source::Own, MILLIS, now);
    node.crash(deadly(), 3, 700);
    assert_eq!(node.judge(1_000), 0);
}

#[test]
fn who_is_always_beside_it_waits_until_they_part() {
    let mut node = Node::new();
    let beside = fingerprint("/beside", 2);
    for upstream in 0..3 {
        let at = 100 + 200 * upstream as u64;
        node.crash(deadly(), upstream, at);
        node.crash(beside, upstream, at);
    }
    assert_eq!(node.judge(1_000), 0, "either may be the cause");
    assert!(node.quarantine.is_apart(&beside) && node.quarantine.is_apart(&deadly()));
    node.crash(deadly(), 7, 1_100);
    assert_eq!(node.judge(1_500), 0, "one crash more may be an accident");
    node.crash(deadly(), 8, 1_600);
    assert_eq!(node.judge(2_000), 1);
    assert!(node.is_held(deadly(), 2_000) && !node.is_held(beside, 2_000));
}

#[test]
fn in_a_time_of_many_crashes_three_are_an_accident() {
    let mut node = Node::new();
    for upstream in 0..16 {
        let other = fingerprint(&format!("/other/{upstream}"), 5);
        node.crash(other, upstream, 100 + 100 * upstream as u64);
    }
    let unlucky = fingerprint("/unlucky", 2);
    for (upstream, sent, at) in [(2, 150, 300), (6, 310, 700), (11, 710, 1_200)] {
        node.crash_of(unlucky, upstream, sent, at);
    }
    assert_eq!(node.judge(3_000), 0);
}

#[test]
fn the_same_of_several_callers_is_held_back_for_all_unless_it_ran_for_one() {
    let callers = || (1..=3).map(|caller| fingerprint("/deadly", caller));
    let mut node = Node::new();
    for (upstream, request) in callers().enumerate() {
        node.crash(request, upstream, 100 + 200 * upstream as u64);
    }
    assert_eq!(node.judge(1_000), 1);
    assert!(node.is_held(fingerprint("/deadly", 9), 1_000));

    let mut node = Node::new();
    for (upstream, request) in callers().enumerate() {
        node.crash(request, upstream, 100 + 200 * upstream as u64);
    }
    let now = node.at(600);
    node.quarantine.succeeded(&fingerprint("/deadly", 9), Source::Own, MILLIS, now);
    assert_eq!(node.judge(1_000), 0);
}

#[test]
fn one_that_is_quiet_for_long_is_tried_again_and_one_crash_is_enough_then() {
    let mut node = Node::new();
    for upstream in 0..3 {
        node.crash(deadly(), upstream, 100 + 200 * upstream as u64);
    }
    assert_eq!(node.judge(1_000), 1);
    let later = 700_000;
    node.quarantine.tick(node.at(later));
    assert!(!node.is_held(deadly(), later));
    node.crash(deadly(), 9, later + 100);
    assert!(node.is_held(deadly(), later + 101));
}

#[test]
fn what_an_operator_lifts_does_not_come_back_from_a_node_that_has_not_heard() {
    let mut node = Node::new();
    for upstream in 0..3 {
        node.crash(deadly(), upstream, 100 + 200 * upstream as u64);
    }
    node.judge(1_000);
    let (scope, ruling) = node.quarantine.held(node.at(1_000)).next().expect("held");
    let (scope, ruling) = (*scope, *ruling);
    let now = node.at(2_000);
    node.quarantine.lift(scope, MILLIS, now);
    assert!(!node.is_held(deadly(), 2_000));
    assert_eq!(node.quarantine.apply_ruling(scope, ruling, Source::Far, now), None);
    assert!(!node.is_held(deadly(), 2_000));
    // And it is told to that node.
    let told = node.quarantine.repeat(0, now).rulings;
    let mut other = Node::new();
    let now = other.at(2_000);
    other.quarantine.apply_ruling(scope, ruling, Source::Near, now);
    assert!(other.is_held(deadly(), 2_000));
    for (scope, ruling) in told {
        other.quarantine.apply_ruling(scope, ruling, Source::Near, now);
    }
    assert!(!other.is_held(deadly(), 2_000));
}

#[test]
fn what_is_remembered_and_told_is_bounded() {
    let mut node = Node::new();
    for number in 0..3_000_u64 {
        let request = fingerprint(&format!("/new/{number}"), 1);
        node.crash_of(request, usize::try_from(number).expect("few"), number, number + 1);
    }
    let now = node.at(10_000);
    let (near, far) = node.quarantine.take_reports(now);
    assert!(near.sightings.len() <= 120 && far.sightings.len() <= 120, "{}", near.sightings.len());
}

#[test]
fn the_chance_of_an_accident() {
    let is_about = |chance: f64, wanted: f64| (chance / wanted - 1.0).abs() < 0.01;
    // Some crash where one is expected: 1 - 1/e.
    assert!(is_about(significance::p_value(1, 1.0), 0.632));
    assert!(is_about(significance::p_value(3, 0.1), 1.547e-4));
    assert!(is_about(significance::p_value(4, 0.1), 3.847e-6));
    assert!(is_about(significance::p_value(3, 20.0), 1.0));
}
