//! What the ledger does when something fails: the rows of the table "When something fails" of
//! docs/design/contended-upstreams.md that concern it. `steer/tests/load` replays the same failures
//! with dispatchers and load reports.

use std::time::Instant;

use steer::dispatch::slots::ledger::{Ledger, Room};
use steer::dispatch::slots::message::{Id, Reply};

use crate::setup::{self, MS, UPSTREAM};

/// Row "a slot owner dies": the next owner starts from the load reports, which show the requests that
/// the first one granted. Guards against it granting all slots again.
#[test]
fn owner_lost_the_next_one_grants_what_reports_leave() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let room = Room { slots: 3, others: 4 };
    let answers = ledger.ask(&setup::node(0), &setup::ask(9, 0), Some(room), now);
    assert_eq!(setup::by_id(&answers), [(9, Reply::Queued)]);
    let room = Room { slots: 3, others: 3 };
    let answers = ledger.tick(|_| true, |_| Some(room), now + 100 * MS);
    assert_eq!(setup::by_id(&answers), [(9, Reply::Granted)]);
    // Releases of what the first owner granted are of no account here.
    let answers = ledger.release(&setup::node(0), Id(1), |_| Some(room), now + 110 * MS);
    assert!(answers.is_empty());
    assert_eq!(ledger.held(UPSTREAM), 1);
}

/// Row "an owner is paused and resumes": the worst case, in which neither owner sees the requests of
/// the other one in reports. Guards against more than twice the slots and the one above them.
#[test]
fn owner_paused_two_owners_grant_at_most_twice() {
    let now = Instant::now();
    let (mut paused, mut next) = (Ledger::default(), Ledger::default());
    let mut granted = 0;
    for id in 0..40 {
        for ledger in [&mut paused, &mut next] {
            let answers =
                ledger.ask(&setup::node(0), &setup::ask(id, 0), Some(setup::three_slots()), now);
            granted += setup::granted(&answers).len();
        }
    }
    assert_eq!(granted, 2 * (3 + 1));
    // When it resumes, the reports show what the other one granted; it grants nothing until fewer
    // requests are left than the slots and one.
    let room = Room { slots: 3, others: 4 };
    for id in 0..3 {
        assert!(paused.release(&setup::node(0), Id(id), |_| Some(room), now).is_empty());
    }
    assert_eq!(paused.held(UPSTREAM), 1);
    let mut answers = paused.release(&setup::node(0), Id(3), |_| Some(room), now);
    assert!(answers.is_empty());
    let room = Room { slots: 3, others: 3 };
    answers.extend(paused.tick(|_| true, |_| Some(room), now));
    assert_eq!(setup::granted(&answers).len(), 1);
}

/// Row "an owner is paused and resumes": time passed while it could not tick. Guards against it
/// granting asks whose callers have been refused meanwhile.
#[test]
fn owner_paused_expired_asks_get_no_slot() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    assert_eq!(setup::replies(&mut ledger, &setup::ask(5, 0), now), [(5, Reply::Queued)]);
    // The releases that arrived meanwhile are read before the first tick.
    let resumed = now + 1_500 * MS;
    let room = |_| Some(setup::three_slots());
    let answers = ledger.release(&setup::node(0), Id(1), room, resumed);
    assert!(setup::granted(&answers).is_empty(), "{answers:?}");
    assert!(matches!(setup::by_id(&answers)[..], [(5, Reply::Refused { .. })]), "{answers:?}");
}

/// Row "an asking node dies": guards against its slots staying taken until their leases expire, and
/// against its queued asks taking slots.
#[test]
fn asking_node_dies_its_grants_end_when_it_counts_as_dead() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    let (dead, alive) = (setup::node(1), setup::node(2));
    let room = Some(setup::three_slots());
    for id in 1..=4 {
        let answers = ledger.ask(&dead, &setup::ask(id, 0), room, now);
        assert_eq!(setup::granted(&answers), [id]);
    }
    let _ = ledger.ask(&dead, &setup::ask(5, 0), room, now);
    let _ = ledger.ask(&alive, &setup::ask(5, 0), room, now);
    assert!(ledger.tick(|_| true, |_| room, now + 10 * MS).is_empty());
    let answers = ledger.tick(|node| *node != dead, |_| room, now + 20 * MS);
    let granted = answers.iter().filter(|answer| answer.reply == Reply::Granted);
    assert_eq!(granted.map(|answer| &answer.to).collect::<Vec<_>>(), [&alive]);
    assert_eq!(ledger.held(UPSTREAM), 1);
    assert_eq!(ledger.counts().lapsed, 4);
}

/// Row "a datagram is lost": guards against a lost release taking a slot for ever.
#[test]
fn release_lost_the_lease_ends_it() {
    let now = Instant::now();
    let mut ledger = Ledger::default();
    setup::fill(&mut ledger, now);
    let room = |_| Some(setup::three_slots());
    // The deadline is 3 s away, the margin 250 ms.
    let _ = ledger.tick(|_| true, room, now + 3_249 * MS);
    assert_eq!(ledger.held(UPSTREAM), 4);
    let _ = ledger.tick(|_| true, room, now + 3_250 * MS);
    assert_eq!(ledger.held(UPSTREAM), 0);
}
