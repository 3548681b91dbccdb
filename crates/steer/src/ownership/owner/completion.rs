//! Completion: releases the slot of a finished request and updates the state of its upstream.
//!
//! The outcome is recorded in the upstream's ledger, slow start and health.

use std::time::{Duration, Instant};

use super::{Owner, Running};
use crate::ownership::action;
use crate::ownership::request;

/// Time for which a slot stays occupied after its request was abandoned, so that the upstream can
/// notice the closed connection.
pub const CANCEL_GRACE: Duration = Duration::from_millis(250);

/// Weight of a new sample in a service's mean latency: averages about the last 50 answers of all
/// upstreams.
const SERVICE_LATENCY_WEIGHT: f64 = 0.02;

impl Owner {
    /// Records the outcome of a request and starts queued requests in the slots that are free.
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
    /// The request may have been started in the meantime. Nothing was sent to the upstream, so its
    /// slot is released at once.
    pub fn withdraw(&mut self, id: request::Id, now: Instant, out: &mut Vec<action::Action>) {
        for served in self.services.values_mut() {
            served.queue.remove(id);
        }
        self.complete(id, request::Outcome::Shed, now, out);
    }

    fn record_outcome(&mut self, running: Running, outcome: request::Outcome, now: Instant) {
        let Running { slot, started, deadline } = running;
        // The upstream of a removed service keeps its ledger until no slot is in use.
        let Some(upstream) = self.upstreams.get_mut(&slot.upstream) else { return };
        let served = self.services.get_mut(&slot.upstream.service);
        // The upstream stops working on a request at its deadline.
        let cancelled_by = (now + CANCEL_GRACE).min(deadline + CANCEL_GRACE);
        match outcome {
            request::Outcome::Answered => {
                upstream.ledger.finish(&slot.source);
                upstream.health.record_success();
                if let Some(served) = served {
                    let latency = now.saturating_duration_since(started);
                    let slots = upstream.ledger.slots;
                    upstream.slow_start.record_answer(latency, served.latency, slots);
                    served.latency.record(latency, SERVICE_LATENCY_WEIGHT);
                }
            }
            request::Outcome::Shed => upstream.ledger.finish(&slot.source),
            request::Outcome::Unreachable => {
                upstream.ledger.finish(&slot.source);
                upstream.health.record_failure(now);
            }
            request::Outcome::Broken => {
                upstream.health.record_failure(now);
                upstream.ledger.abandon(slot.source, cancelled_by);
            }
            request::Outcome::Abandoned => upstream.ledger.abandon(slot.source, cancelled_by),
        }
    }
}
