//! Admission: whether a request takes a slot at once, waits, or is refused.
//!
//! Owns the choice of the upstream. Relies on [`owned::Upstream`](crate::ownership::owned::Upstream)
//! for room and cost, and on [`queueing`](super::queueing) for requests that may wait.

use std::time::Instant;

use model::upstream;
use model::verdict;

use super::{Owner, Running, Slot, refuse};
use crate::ownership::action;
use crate::ownership::latency;
use crate::ownership::ledger;
use crate::ownership::request;

impl Owner {
    /// Decides on a request that wants a slot.
    ///
    /// It starts at once when an upstream has room and none waits before it. Otherwise it waits if
    /// it may; if not, it is refused so that its entry asks another owner.
    pub fn offer(&mut self, offer: request::Offer, now: Instant, out: &mut Vec<action::Action>) {
        let Some(served) = self.services.get_mut(&offer.service) else {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::NotHome), out);
        };
        served.rates.count(&offer.place);
        if offer.deadline <= now {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::Deadline), out);
        }
        let is_first = self.queue_len(&offer.service) == 0;
        match self.choose(&offer, now) {
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

    /// Returns a slot at the upstream of least cost that has room; the first by name wins a tie.
    pub(super) fn choose(&self, offer: &request::Offer, now: Instant) -> Option<Slot> {
        let baseline =
            self.services.get(&offer.service).map_or(latency::Mean::default(), |s| s.latency);
        let mut best: Option<(f64, &upstream::Key, ledger::Source)> = None;
        for (key, upstream) in self.upstreams_of(&offer.service) {
            if offer.avoid.contains(&key.upstream) {
                continue;
            }
            let Some(source) = upstream.room(now, offer.deadline) else { continue };
            let cost = upstream.cost(now, baseline);
            if best.as_ref().is_none_or(|(least, _, _)| cost < *least) {
                best = Some((cost, key, source));
            }
        }
        best.map(|(_, key, source)| Slot { upstream: key.clone(), source })
    }

    /// Takes the slot and sends the request to its upstream.
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
        let running = Running { slot, since: now, deadline: offer.deadline };
        self.running.insert(offer.id, running);
    }
}
