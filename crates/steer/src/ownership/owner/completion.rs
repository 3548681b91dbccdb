//! Completion: what a request's end says of its upstream, and when its slot is free again.
//!
//! Owns the grace after a cancellation. Relies on the ledger, on slow start and on the upstream's
//! health, which it feeds.

use std::time::{Duration, Instant};

use super::{Owner, Running};
use crate::ownership::action;
use crate::ownership::request;

/// Time for which a slot stays taken after its request was abandoned, so that the upstream has
/// noticed the closed connection.
///
/// Not measured.
pub const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// Weight of a new answer in a service's mean answer time. Not measured; about the last 50 answers
/// count, over all upstreams.
const SERVICE_LATENCY_WEIGHT: f64 = 0.02;

impl Owner {
    /// Records that a request ended, and starts those that waited for its slot.
    pub fn complete(
        &mut self,
        id: request::Id,
        outcome: request::Outcome,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let Some(running) = self.running.remove(&id) else { return };
        let service = running.slot.upstream.service.clone();
        self.record_outcome(running, outcome, now);
        self.start_waiting(&service, now, out);
    }

    /// Removes a request whose caller gave up before it learned of its slot.
    ///
    /// It may have been given one in the meantime; nothing was sent there, so it is free at once.
    pub fn withdraw(&mut self, id: request::Id, now: Instant, out: &mut Vec<action::Action>) {
        for served in self.services.values_mut() {
            served.queue.remove(id);
        }
        self.complete(id, request::Outcome::Shed, now, out);
    }

    fn record_outcome(&mut self, running: Running, outcome: request::Outcome, now: Instant) {
        let Running { slot, since, deadline } = running;
        let Some(served) = self.services.get_mut(&slot.upstream.service) else { return };
        let Some(upstream) = self.upstreams.get_mut(&slot.upstream) else { return };
        // The upstream stops at the deadline by itself.
        let cancelled_by = (now + CANCEL_GRACE).min(deadline + CANCEL_GRACE);
        match outcome {
            request::Outcome::Answered => {
                let latency = now.saturating_duration_since(since);
                upstream.ledger.finish(&slot.source);
                upstream.slow_start.answered(latency, served.latency, upstream.ledger.slots);
                upstream.health.succeeded();
                served.latency.record(latency, SERVICE_LATENCY_WEIGHT);
            }
            request::Outcome::Shed => upstream.ledger.finish(&slot.source),
            request::Outcome::Unreachable => {
                upstream.ledger.finish(&slot.source);
                upstream.health.failed(now);
            }
            request::Outcome::Broken => {
                upstream.health.failed(now);
                upstream.ledger.abandon(slot.source, cancelled_by);
            }
            request::Outcome::Abandoned => upstream.ledger.abandon(slot.source, cancelled_by),
        }
    }
}
