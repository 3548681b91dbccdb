//! Admission control: starts, queues or refuses a request, and selects its upstream.
//!
//! [`owned::Upstream`](crate::ownership::owned::Upstream) supplies the free slots and the cost of each
//! upstream; [`queueing`](super::queueing) holds the requests that wait.

use std::time::Instant;

use model::upstream;
use model::verdict;

use super::{Owner, Running, Slot, refuse};
use crate::ownership::action;
use crate::ownership::latency;
use crate::ownership::ledger;
use crate::ownership::request;

impl Owner {
    /// Admits, queues or refuses a request.
    ///
    /// The request starts at once if an upstream has a free slot and the queue is empty. Otherwise it
    /// is queued if it may wait, and refused if not, so that the node that received it from the caller
    /// tries another owner.
    pub fn offer(&mut self, offer: request::Offer, now: Instant, out: &mut Vec<action::Action>) {
        let Some(served) = self.services.get_mut(&offer.service) else {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::NotHome), out);
        };
        served.rates.count(&offer.place);
        if offer.deadline <= now {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::Deadline), out);
        }
        let is_first = self.queue_len(&offer.service) == 0;
        match self.select_slot(&offer, now) {
            Some(slot) if is_first => self.start(&offer, slot, now, out),
            _ if offer.may_wait => self.enqueue(offer, now, out),
            _ => {
                let reason = match self.capacity(&offer.service, now) {
                    0 => verdict::Reason::NotHome,
                    _ => verdict::Reason::Busy,
                };
                refuse(offer.id, verdict::Failure::not_run(reason), out);
            }
        }
    }

    /// Returns a slot at the upstream of least cost among those with a free slot; the first by name
    /// wins a tie.
    pub(super) fn select_slot(&self, offer: &request::Offer, now: Instant) -> Option<Slot> {
        let baseline =
            self.services.get(&offer.service).map_or(latency::Mean::default(), |s| s.latency);
        let mut best: Option<(f64, &upstream::Key, ledger::Source)> = None;
        for (key, upstream) in self.upstreams_of(&offer.service) {
            if offer.avoid.contains(&key.upstream) {
                continue;
            }
            let Some(source) = upstream.free_slot(now, offer.deadline) else { continue };
            let cost = upstream.cost(now, baseline);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, key, source));
            }
        }
        best.map(|(_, key, source)| Slot { upstream: key.clone(), source })
    }

    /// Occupies the slot and emits the action that sends the request to its upstream.
    pub(super) fn start(
        &mut self,
        offer: &request::Offer,
        slot: Slot,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let Some(upstream) = self.upstreams.get_mut(&slot.upstream) else { return };
        upstream.ledger.start(&slot.source);
        out.push(action::Action::Run {
            request: offer.id,
            upstream: slot.upstream.upstream.clone(),
            address: upstream.address,
        });
        let running = Running { slot, started: now, deadline: offer.deadline };
        self.running.insert(offer.id, running);
    }
}
