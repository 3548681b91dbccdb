//! Grants, order, refusal, displacement and expiry.

use std::time::Instant;

use steer::dispatch::slots::ledger::{Ledger, Room};
use steer::dispatch::slots::message::{Ask, Id, Reply};

use crate::setup::{self, MS, UPSTREAM};

/// Guards against more requests at an upstream than it can take, and against an idle slot for the
/// duration of a release and a grant.
#[test]
fn one_request_above_the_slots_is_granted() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(5, 0), now), [(5, Reply::Queued)]);
    assert_eq!(ledger.held(UPSTREAM), 4);
    assert_eq!(ledger.queued().collect::<Vec<_>>(), [(UPSTREAM, 1)]);
    assert_eq!(setup::release(&mut ledger, 2, now), [(5, Reply::Granted)]);
    assert_eq!(ledger.held(UPSTREAM), 4);
}

/// Guards against counting requests of gateways that use no slots as room.
#[test]
fn requests_without_a_slot_take_room() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let room = Room { slots: 3, others: 3 };
    let first = ledger.ask(&setup::node(0), &setup::ask(1, 0), Some(room), now);
    assert_eq!(setup::by_id(&first), [(1, Reply::Granted)]);
    let second = ledger.ask(&setup::node(0), &setup::ask(2, 0), Some(room), now);
    assert_eq!(setup::by_id(&second), [(2, Reply::Queued)]);
    // The next report shows that two of them ended.
    let room = Room { slots: 3, others: 1 };
    let answers = ledger.tick(|_| true, |_| Some(room), now + MS);
    assert_eq!(setup::by_id(&answers), [(2, Reply::Granted)]);
}

#[test]
fn an_upstream_that_takes_no_requests_grants_none() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let answers = ledger.ask(&setup::node(0), &setup::ask(1, 0), None, now);
    assert_eq!(setup::by_id(&answers), [(1, Reply::Declined)]);
    setup::fill(&mut ledger, now);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(5, 0), now), [(5, Reply::Queued)]);
    // The upstream announces that it is leaving.
    let answers = ledger.release(&setup::node(0), Id(1), |_| None, now);
    assert!(answers.is_empty());
    let answers = ledger.tick(|_| true, |_| None, now);
    assert_eq!(setup::by_id(&answers), [(5, Reply::Declined)]);
}

/// Guards against urgent requests that wait behind all others, as at the upstreams themselves.
#[test]
fn the_most_urgent_ask_is_granted_first() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    for (id, priority) in [(5, 2), (6, 1), (7, 0), (8, 1)] {
        let replies = setup::replies(&mut ledger, &setup::ask(id, priority), now);
        assert_eq!(replies, [(id, Reply::Queued)]);
    }
    let next = (1..=4).map(|id| setup::release(&mut ledger, id, now)[0].0);
    assert_eq!(next.collect::<Vec<_>>(), [7, 6, 8, 5]);
}

/// Guards against an organisation that takes all slots by asking most often.
#[test]
fn organisations_of_one_urgency_take_turns() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    for (id, organisation) in [(5, 1), (6, 1), (7, 1), (8, 2), (9, 3), (10, 2)] {
        let ask = Ask { organisation, ..setup::ask(id, 0) };
        assert_eq!(setup::replies(&mut ledger, &ask, now), [(id, Reply::Queued)]);
    }
    let released = [1, 2, 3, 4, 5, 8];
    let next = released.map(|id| setup::release(&mut ledger, id, now)[0].0);
    assert_eq!(next, [5, 8, 9, 6, 10, 7]);
}

/// Guards against asks that wait although they cannot be served in time.
#[test]
fn an_ask_that_would_wait_too_long_is_refused_immediately() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    // The upstream starts it after two of three parts of 100 ms.
    let patient = Ask { max_wait: 70 * MS, ..setup::ask(5, 0) };
    assert_eq!(setup::replies(&mut ledger, &patient, now), [(5, Reply::Queued)]);
    let refused = |id| Ask { max_wait: 70 * MS, ..setup::ask(id, 0) };
    let retry_after = 100 * MS;
    let expected = (6, Reply::Refused { retry_after, position: 1 });
    assert_eq!(setup::replies(&mut ledger, &refused(6), now), [expected]);
    let late = Ask { time_left: 199 * MS, ..setup::ask(7, 0) };
    let expected = (7, Reply::Refused { retry_after, position: 1 });
    assert_eq!(setup::replies(&mut ledger, &late, now), [expected]);
    assert_eq!(ledger.counts().refused, 2);
}

/// Guards against asks that keep waiting behind better ones until their maximum wait has passed.
#[test]
fn asks_behind_a_better_one_are_refused_once_their_wait_is_far_too_long() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    let patient = Ask { max_wait: 70 * MS, ..setup::ask(5, 1) };
    assert_eq!(setup::replies(&mut ledger, &patient, now), [(5, Reply::Queued)]);
    // 100 ms instead of 67 ms are less than half more than it may wait.
    assert_eq!(setup::replies(&mut ledger, &setup::ask(6, 0), now), [(6, Reply::Queued)]);
    // 133 ms are not.
    let replies = setup::replies(&mut ledger, &setup::ask(7, 0), now);
    let displaced = Reply::Refused { retry_after: 100 * MS, position: 2 };
    assert_eq!(replies, [(7, Reply::Queued), (5, displaced)]);
    assert_eq!(ledger.counts().displaced, 1);
}

/// Guards against asks that stay queued for ever where no slot becomes free.
#[test]
fn an_ask_is_refused_at_its_maximum_wait() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    let ask = Ask { max_wait: 70 * MS, ..setup::ask(5, 1) };
    assert_eq!(setup::replies(&mut ledger, &ask, now), [(5, Reply::Queued)]);
    assert_eq!(ledger.next_event(), Some(now + 70 * MS));
    assert!(ledger.tick(|_| true, |_| Some(setup::three_slots()), now + 69 * MS).is_empty());
    let answers = ledger.tick(|_| true, |_| Some(setup::three_slots()), now + 70 * MS);
    let refused = Reply::Refused { retry_after: 100 * MS, position: 0 };
    assert_eq!(setup::by_id(&answers), [(5, refused)]);
    assert_eq!(ledger.queued().count(), 0);
}

/// Guards against a queue without a bound where maximum waits are long, and against its bound keeping
/// out urgent asks.
#[test]
fn a_full_queue_keeps_the_better_asks() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    let ask = |id, priority| Ask {
        max_wait: 60_000 * MS,
        time_left: 60_000 * MS,
        ..setup::ask(id, priority)
    };
    for id in 5..69 {
        assert_eq!(setup::replies(&mut ledger, &ask(id, 1), now), [(id, Reply::Queued)]);
    }
    let replies = setup::replies(&mut ledger, &ask(69, 1), now);
    assert!(matches!(replies[..], [(69, Reply::Refused { position: 64, .. })]), "{replies:?}");
    let replies = setup::replies(&mut ledger, &ask(70, 0), now);
    let is_displaced =
        matches!(replies[..], [(70, Reply::Queued), (68, Reply::Refused { position: 64, .. })]);
    assert!(is_displaced, "{replies:?}");
}

/// Guards against a withdrawn ask being granted, and against its place staying taken.
#[test]
fn a_withdrawn_ask_is_not_granted() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(5, 0), now), [(5, Reply::Queued)]);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(6, 0), now), [(6, Reply::Queued)]);
    assert_eq!(setup::release(&mut ledger, 5, now), []);
    assert_eq!(setup::release(&mut ledger, 1, now), [(6, Reply::Granted)]);
    // Neither a repeated release nor one of another node's ask with the same id ends a grant.
    assert_eq!(setup::release(&mut ledger, 1, now), []);
    let room = |_| Some(setup::three_slots());
    assert!(ledger.release(&setup::node(1), Id(6), room, now).is_empty());
    assert_eq!(ledger.held(UPSTREAM), 4);
    assert!(ledger.knows(&setup::node(0), Id(6)) && !ledger.knows(&setup::node(0), Id(1)));
}

/// Guards against a datagram that arrives twice taking two slots.
#[test]
fn a_repeated_ask_is_answered_as_the_first_one() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(4, 0), now), [(4, Reply::Granted)]);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(5, 0), now), [(5, Reply::Queued)]);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(5, 0), now), [(5, Reply::Queued)]);
    assert_eq!((ledger.held(UPSTREAM), ledger.queued().count()), (4, 1));
    assert_eq!(setup::release(&mut ledger, 1, now), [(5, Reply::Granted)]);
}

/// Guards against the least urgent asks getting nothing while urgent ones alone exceed the capacity.
///
/// Without the rule, none of them is granted.
#[test]
fn an_urgency_that_is_starved_takes_its_turn() {
    let mut now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    let mut held: Vec<u64> = (1..=4).collect();
    let mut served = [0_u32, 0];
    let mut next_id = 10;
    for _ in 0..600 {
        // Two urgent asks and a patient one come for each slot that becomes free.
        for priority in [0, 1, 0] {
            let ask = Ask {
                max_wait: 150 * MS,
                ..setup::ask(next_id * 2 + u64::from(priority), priority)
            };
            let _ = setup::replies(&mut ledger, &ask, now);
            next_id += 1;
        }
        now += 30 * MS;
        let room = |_| Some(setup::three_slots());
        let _ = ledger.tick(|_| true, room, now);
        let ended = held.remove(0);
        let answers = ledger.release(&setup::node(0), Id(ended), room, now);
        for id in setup::granted(&answers) {
            served[usize::from(id % 2 == 1)] += 1;
            held.push(id);
        }
    }
    // Rates: half as many patient asks arrive as urgent ones.
    let [urgent, patient] = served;
    assert!(patient * 2 >= urgent / 5, "{urgent} urgent and {patient} patient asks granted");
    assert!(urgent > patient * 2, "{urgent} urgent and {patient} patient asks granted");
}
