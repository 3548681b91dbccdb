//! Unit tests of the rules by which requests are held back.

use std::time::{Duration, Instant};

use model::fingerprint::Fingerprint;
use steer::dispatch::quarantine::Quarantine;
use steer::dispatch::quarantine::report::Source;
use steer::dispatch::quarantine::sighting::{Crash, Service, Sighting};
use steer::dispatch::quarantine::significance;

use crate::fleet::{fingerprint, start_of};

/// Number of upstreams of the service.
const UPSTREAMS: u32 = 20;

/// Wall-clock time at which each test starts, in milliseconds since the Unix epoch.
const UNIX_MILLIS: u64 = 1_800_000_000_000;

/// Time between a send and the crash, in milliseconds.
const RUN_MILLIS: u64 = 60;

/// One node and the start of its clock.
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

    /// Records a crash of `upstream` at `millis` under a request sent [`RUN_MILLIS`] before.
    fn crash(&mut self, request: Fingerprint, upstream: usize, millis: u64) {
        self.crash_after(request, upstream, millis - RUN_MILLIS, millis);
    }

    /// Records a crash of `upstream` at `millis` under a request sent at `sent`.
    fn crash_after(&mut self, request: Fingerprint, upstream: usize, sent: u64, millis: u64) {
        let crash = Crash {
            start: start_of(upstream, 1),
            service: Service(1),
            upstreams: UPSTREAMS,
            at: self.at(millis),
        };
        let sighting = Sighting { fingerprint: request, crash, sent: self.at(sent) };
        let now = self.at(millis);
        self.quarantine.record_crash(sighting, Source::Own, UNIX_MILLIS + millis, now);
    }

    fn evaluate(&mut self, millis: u64) -> usize {
        self.quarantine.evaluate(UNIX_MILLIS + millis, self.at(millis)).len()
    }

    fn is_held(&mut self, request: Fingerprint, millis: u64) -> bool {
        let now = self.at(millis);
        self.quarantine.check(&request, now).is_some()
    }
}

fn poison() -> Fingerprint {
    fingerprint("/deadly", 1)
}

#[test]
fn three_consecutive_crashes_hold_a_request_back() {
    let mut node = Node::new();
    for upstream in 0..2 {
        node.crash(poison(), upstream, 100 + 100 * upstream as u64);
    }
    assert_eq!(node.evaluate(1_000), 0);
    assert!(!node.is_held(poison(), 1_000));
    node.crash(poison(), 2, 1_100);
    assert_eq!(node.evaluate(1_200), 0, "other nodes may still report requests in flight");
    assert_eq!(node.evaluate(1_300), 1);
    assert!(node.is_held(poison(), 1_300));
    let hold = node.quarantine.check(&poison(), node.at(2_000)).expect("held");
    assert!(hold.retry_after > Duration::from_secs(60), "it cannot succeed soon");
    assert!(
        !node.is_held(fingerprint("/deadly", 2), 1_300),
        "the same request from another caller is a different one"
    );
    assert!(!node.is_held(fingerprint("/other", 1), 1_300));
}

/// Guards against merging two crashes of an upstream that restarts under the same ID and crashes
/// again before discovery lists the new start.
#[test]
fn a_second_crash_before_the_restart_is_listed_counts_separately() {
    let mut node = Node::new();
    for round in 0..2 {
        for upstream in 0..2 {
            node.crash(poison(), upstream, 100 + 3_000 * round + 200 * upstream as u64);
        }
    }
    assert_eq!(node.evaluate(4_000), 1);
}

#[test]
fn simultaneous_crashes_count_once() {
    let mut node = Node::new();
    // In flight at all upstreams of a hall, like a request that many clients poll.
    for upstream in 0..10 {
        node.crash(poison(), upstream, 1_000);
    }
    // One more crash after the next send.
    node.crash(poison(), 11, 1_500);
    assert_eq!(node.evaluate(2_000), 0);
}

#[test]
fn a_request_that_ran_to_its_end_is_cleared() {
    let mut node = Node::new();
    for upstream in 0..2 {
        node.crash(poison(), upstream, 100 + 200 * upstream as u64);
    }
    let now = node.at(500);
    node.quarantine.record_success(&poison(), Source::Own, UNIX_MILLIS, now);
    node.crash(poison(), 3, 700);
    assert_eq!(node.evaluate(1_000), 0);
}

#[test]
fn requests_with_the_same_crashes_are_not_held_back_until_one_leads() {
    let mut node = Node::new();
    let innocent = fingerprint("/beside", 2);
    for upstream in 0..3 {
        let at = 100 + 200 * upstream as u64;
        node.crash(poison(), upstream, at);
        node.crash(innocent, upstream, at);
    }
    assert_eq!(node.evaluate(1_000), 0, "either request may be the cause");
    assert!(node.quarantine.is_isolated(&innocent) && node.quarantine.is_isolated(&poison()));
    node.crash(poison(), 7, 1_100);
    assert_eq!(node.evaluate(1_500), 0, "a lead of one crash may be a coincidence");
    node.crash(poison(), 8, 1_600);
    assert_eq!(node.evaluate(2_000), 1);
    assert!(node.is_held(poison(), 2_000) && !node.is_held(innocent, 2_000));
}

#[test]
fn three_crashes_are_not_significant_while_many_upstreams_crash() {
    let mut node = Node::new();
    for upstream in 0..16 {
        let other = fingerprint(&format!("/other/{upstream}"), 5);
        node.crash(other, upstream, 100 + 100 * upstream as u64);
    }
    let unlucky = fingerprint("/unlucky", 2);
    for (upstream, sent, at) in [(2, 150, 300), (6, 310, 700), (11, 710, 1_200)] {
        node.crash_after(unlucky, upstream, sent, at);
    }
    assert_eq!(node.evaluate(3_000), 0);
}

#[test]
fn a_content_is_held_back_for_all_callers_unless_it_ran_for_one() {
    let callers = || (1..=3).map(|caller| fingerprint("/deadly", caller));
    let mut node = Node::new();
    for (upstream, request) in callers().enumerate() {
        node.crash(request, upstream, 100 + 200 * upstream as u64);
    }
    assert_eq!(node.evaluate(1_000), 1);
    assert!(node.is_held(fingerprint("/deadly", 9), 1_000));

    let mut node = Node::new();
    for (upstream, request) in callers().enumerate() {
        node.crash(request, upstream, 100 + 200 * upstream as u64);
    }
    let now = node.at(600);
    node.quarantine.record_success(&fingerprint("/deadly", 9), Source::Own, UNIX_MILLIS, now);
    assert_eq!(node.evaluate(1_000), 0);
}

#[test]
fn one_crash_reinstates_an_expired_ruling() {
    let mut node = Node::new();
    for upstream in 0..3 {
        node.crash(poison(), upstream, 100 + 200 * upstream as u64);
    }
    assert_eq!(node.evaluate(1_000), 1);
    let later = 700_000;
    node.quarantine.tick(node.at(later));
    assert!(!node.is_held(poison(), later));
    node.crash(poison(), 9, later + 100);
    assert!(node.is_held(poison(), later + 101));
}

#[test]
fn a_release_is_not_reverted_by_the_older_ruling_of_another_node() {
    let mut node = Node::new();
    for upstream in 0..3 {
        node.crash(poison(), upstream, 100 + 200 * upstream as u64);
    }
    node.evaluate(1_000);
    let (scope, ruling) = node.quarantine.held(node.at(1_000)).next().expect("held");
    let (scope, ruling) = (*scope, *ruling);
    let now = node.at(2_000);
    node.quarantine.release(scope, UNIX_MILLIS, now);
    assert!(!node.is_held(poison(), 2_000));
    assert_eq!(node.quarantine.apply_ruling(scope, ruling, Source::Far, now), None);
    assert!(!node.is_held(poison(), 2_000));
    // The release is repeated to that node.
    let repeated = node.quarantine.repeat(0, now).rulings;
    let mut other = Node::new();
    let now = other.at(2_000);
    other.quarantine.apply_ruling(scope, ruling, Source::Near, now);
    assert!(other.is_held(poison(), 2_000));
    for (scope, ruling) in repeated {
        other.quarantine.apply_ruling(scope, ruling, Source::Near, now);
    }
    assert!(!other.is_held(poison(), 2_000));
}

#[test]
fn the_number_of_reported_sightings_is_limited() {
    let mut node = Node::new();
    for number in 0..3_000_u64 {
        let request = fingerprint(&format!("/new/{number}"), 1);
        node.crash_after(request, usize::try_from(number).expect("few"), number, number + 1);
    }
    let now = node.at(10_000);
    let (near, far) = node.quarantine.take_reports(now);
    assert!(near.sightings.len() <= 120 && far.sightings.len() <= 120, "{}", near.sightings.len());
}

#[test]
fn p_values_follow_the_erlang_distribution() {
    let is_about = |actual: f64, expected: f64| (actual / expected - 1.0).abs() < 0.01;
    // At least one crash when one is expected: 1 - 1/e.
    assert!(is_about(significance::p_value(1, 1.0), 0.632));
    assert!(is_about(significance::p_value(3, 0.1), 1.547e-4));
    assert!(is_about(significance::p_value(4, 0.1), 3.847e-6));
    assert!(is_about(significance::p_value(3, 20.0), 1.0));
}
