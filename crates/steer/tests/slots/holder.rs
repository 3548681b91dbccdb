//! The asking side, and where an ask goes.

use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::slots::holder::{Held, Holder, Release};
use steer::dispatch::slots::message::Id;
use steer::dispatch::slots::{Owner, Step, step};

use crate::setup::{self, MS};

/// Guards against each request waiting for an owner that does not answer.
#[test]
fn an_owner_that_does_not_answer_is_not_asked_for_a_second() {
    let now = Instant::now();
    let mut holder = Holder::default();
    let owner = setup::node(1);
    for _ in 0..2 {
        holder.record_timeout(&owner, now);
        assert!(holder.may_ask(&owner, now));
    }
    holder.record_timeout(&owner, now);
    assert!(!holder.may_ask(&owner, now + 999 * MS));
    assert!(holder.may_ask(&setup::node(2), now));
    assert!(holder.may_ask(&owner, now + Duration::from_secs(1)));
    // It is asked again, and paused at once if it still does not answer.
    holder.record_timeout(&owner, now + Duration::from_secs(1));
    assert!(!holder.may_ask(&owner, now + 1_001 * MS));
    holder.record_answer(&owner);
    assert!(holder.may_ask(&owner, now + 1_002 * MS));
}

/// Guards against single lost datagrams adding up over time.
#[test]
fn timeouts_count_in_a_row_only() {
    let now = Instant::now();
    let mut holder = Holder::default();
    for _ in 0..9 {
        holder.record_timeout(&setup::node(1), now);
        holder.record_timeout(&setup::node(1), now);
        holder.record_answer(&setup::node(1));
    }
    holder.record_timeout(&setup::node(1), now);
    assert!(holder.may_ask(&setup::node(1), now));
}

#[test]
fn identifiers_differ() {
    let mut holder = Holder::new(u64::MAX - 1);
    let ids = [holder.next_id(), holder.next_id(), holder.next_id()];
    assert!(ids[0] != ids[1] && ids[1] != ids[2] && ids[0] != ids[2]);
}

/// Guards against a request whose slot an earlier owner granted being taken for one of the present
/// owner's, which would then grant too many.
#[test]
fn held_requests_are_counted_by_the_node_that_granted_them() {
    let mut held = Held::default();
    held.record_held(&setup::node(1));
    held.record_held(&setup::node(1));
    held.record_held(&setup::node(2));
    assert_eq!((held.of(&setup::node(1)), held.of(&setup::node(2))), (2, 1));
    assert_eq!(held.of_latest(), 1);
    held.record_released(&setup::node(2));
    held.record_released(&setup::node(2));
    assert_eq!((held.of(&setup::node(2)), held.of(&setup::node(1))), (0, 2));
}

/// Guards against two nodes that disagree on the owner passing an ask around.
#[test]
fn an_ask_is_forwarded_once() {
    let region = id::Region::new("north");
    assert_eq!(step(Some(Owner::This), false), Step::Serve);
    assert_eq!(step(Some(Owner::This), true), Step::Serve);
    let node = setup::node(1);
    assert_eq!(step(Some(Owner::Node(node.clone())), false), Step::SendToNode(node.clone()));
    assert_eq!(step(Some(Owner::Node(node)), true), Step::Decline);
    let far = Owner::Region(region.clone());
    assert_eq!(step(Some(far.clone()), false), Step::SendToRegion(region));
    assert_eq!(step(Some(far), true), Step::Decline);
    assert_eq!(step(None, false), Step::Decline);
}

/// Guards against a lost release taking a slot until its lease ends, and against a table without a bound.
#[test]
fn releases_are_repeated_once() {
    let now = Instant::now();
    let mut holder = Holder::default();
    let release = |id| Release { to: setup::node(1), id: Id(id), upstream: setup::UPSTREAM };
    holder.record_release(release(1), now);
    holder.record_release(release(2), now + 50 * MS);
    assert_eq!(holder.due_releases(now + 99 * MS), []);
    assert_eq!(holder.due_releases(now + 100 * MS), [release(1)]);
    assert_eq!(holder.due_releases(now + 149 * MS), []);
    assert_eq!(holder.due_releases(now + 300 * MS), [release(2)]);
    assert_eq!(holder.due_releases(now + 300 * MS), []);
    for id in 0..5_000 {
        holder.record_release(release(id), now);
    }
    assert_eq!(holder.due_releases(now + 100 * MS).len(), 1_024);
}
