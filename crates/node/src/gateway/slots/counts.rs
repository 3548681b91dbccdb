//! Figures of slots, as text in the Prometheus format; nothing is written before the first ask.

use std::cell;
use std::collections;
use std::fmt::Write as _;
use std::time::Duration;

use steer::dispatch::urgency::Urgency;

use crate::gateway::metrics::Counter;
use crate::gateway::state;

/// Maximum number of urgencies that are shown separately, so that the number of series stays bounded.
const MOST_URGENCIES: usize = 16;

/// Number of waits, and their sum.
#[derive(Clone, Copy, Debug, Default)]
struct Waits {
    count: u64,
    sum: Duration,
}

/// Figures of the asks of this node.
#[derive(Debug, Default)]
pub(super) struct Counts {
    /// Asks for slots.
    pub asked: Counter,
    /// Asks that were granted.
    pub granted: Counter,
    /// Asks that were queued.
    pub queued: Counter,
    /// Asks that were refused.
    pub refused: Counter,
    /// Asks that were declined.
    pub declined: Counter,
    /// Asks without an answer in time.
    pub timed_out: Counter,
    /// Asks of other nodes that were forwarded.
    pub forwarded: Counter,
    held: cell::Cell<u64>,
    waits: cell::RefCell<collections::BTreeMap<Urgency, Waits>>,
}

impl Counts {
    /// Records that a slot is held from now on, after this wait.
    pub(super) fn record_held(&self, urgency: Urgency, waited: Duration) {
        self.held.set(self.held.get() + 1);
        let mut waits = self.waits.borrow_mut();
        if waits.len() < MOST_URGENCIES || waits.contains_key(&urgency) {
            let waits = waits.entry(urgency).or_default();
            waits.count += 1;
            waits.sum += waited;
        }
    }

    /// Records that a slot is no longer held.
    pub(super) fn record_held_end(&self) {
        self.held.set(self.held.get().saturating_sub(1));
    }
}

/// Returns the figures of asks of this node and of the slots that it owns; empty before the first ask.
#[must_use]
pub fn metrics_text(state: &state::State) -> String {
    let slots = &state.slots;
    let counts = &slots.counts;
    let ledger = slots.ledger.borrow();
    let owned = ledger.counts();
    drop(ledger);
    let mut text = String::new();
    if counts.asked.get() + counts.forwarded.get() + owned.asked == 0 {
        return text;
    }
    let counters = [
        ("asked", counts.asked.get()),
        ("granted", counts.granted.get()),
        ("queued", counts.queued.get()),
        ("refused", counts.refused.get()),
        ("declined", counts.declined.get()),
        ("timed_out", counts.timed_out.get()),
        ("forwarded", counts.forwarded.get()),
        ("owner_asked", owned.asked),
        ("owner_granted", owned.granted),
        ("owner_queued", owned.queued),
        ("owner_refused", owned.refused),
        ("owner_displaced", owned.displaced),
        ("owner_lapsed", owned.lapsed),
    ];
    // Writing to a string cannot fail, so the results are ignored.
    for (name, count) in counters {
        let _ = writeln!(text, "# TYPE yokespoke_slots_{name}_total counter");
        let _ = writeln!(text, "yokespoke_slots_{name}_total {count}");
    }
    let _ = writeln!(text, "# TYPE yokespoke_slots_held gauge");
    let _ = writeln!(text, "yokespoke_slots_held {}", counts.held.get());
    let _ = writeln!(text, "# TYPE yokespoke_slots_queue_length gauge");
    for (urgency, of_urgency) in owned.by_urgency.iter().take(MOST_URGENCIES) {
        let (labels, length) = (labels(*urgency), of_urgency.queued);
        let _ = writeln!(text, "yokespoke_slots_queue_length{{{labels}}} {length}");
    }
    let _ = writeln!(text, "# TYPE yokespoke_slots_wait_seconds summary");
    for (urgency, waits) in &*counts.waits.borrow() {
        let (labels, sum) = (labels(*urgency), waits.sum.as_secs_f64());
        let _ = writeln!(text, "yokespoke_slots_wait_seconds_sum{{{labels}}} {sum}");
        let _ = writeln!(text, "yokespoke_slots_wait_seconds_count{{{labels}}} {}", waits.count);
    }
    text
}

fn labels(urgency: Urgency) -> String {
    let Urgency { organisation, route } = urgency;
    format!("organisation_priority=\"{organisation}\",route_priority=\"{route}\"")
}
