//! Test fixtures: asks, and the replies to them.

use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::peer_load::Key;
use steer::dispatch::slots::ledger::{Ledger, Room};
use steer::dispatch::slots::message::{Answer, Ask, Id, Reply};
use steer::dispatch::urgency::Urgency;

/// The upstream of most tests.
pub const UPSTREAM: Key = Key(7);

pub const MS: Duration = Duration::from_millis(1);

pub fn node(number: u8) -> id::Node {
    id::Node::new(&format!("g-{number}"))
}

/// Returns an ask without an organisation that may wait for long.
pub fn ask(id: u64, route_priority: u32) -> Ask {
    Ask {
        id: Id(id),
        upstream: UPSTREAM,
        urgency: Urgency { organisation: 0, route: route_priority },
        organisation: 0,
        max_wait: 1_000 * MS,
        work: 100 * MS,
        time_left: 3_000 * MS,
    }
}

/// Returns the room of an upstream with three slots and no other requests.
pub fn three_slots() -> Room {
    Room { slots: 3, others: 0 }
}

/// Asks for node 0 and returns the replies to it and to other asks, by id.
pub fn replies(ledger: &mut Ledger, ask: &Ask, now: Instant) -> Vec<(u64, Reply)> {
    by_id(&ledger.ask(&node(0), ask, Some(three_slots()), now))
}

/// Releases a grant or an ask of node 0 and returns the replies to other asks, by id.
pub fn release(ledger: &mut Ledger, id: u64, now: Instant) -> Vec<(u64, Reply)> {
    by_id(&ledger.release(&node(0), Id(id), |_| Some(three_slots()), now))
}

pub fn by_id(answers: &[Answer]) -> Vec<(u64, Reply)> {
    answers.iter().map(|answer| (answer.id.0, answer.reply)).collect()
}

/// Returns the ids of the granted asks, in the order of the answers.
pub fn granted(answers: &[Answer]) -> Vec<u64> {
    let granted = answers.iter().filter(|answer| answer.reply == Reply::Granted);
    granted.map(|answer| answer.id.0).collect()
}

/// Grants all four requests that an upstream with three slots takes, with the ids from 1 to 4.
pub fn fill(ledger: &mut Ledger, now: Instant) {
    for id in 1..=4 {
        assert_eq!(replies(ledger, &ask(id, 0), now), [(id, Reply::Granted)]);
    }
}
