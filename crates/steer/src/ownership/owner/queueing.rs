//! Queueing: bounds the length of a service's queue and the time that a request waits in it.
//!
//! [`queue`] decides the order, which is fair between places.

use std::time::{Duration, Instant};

use model::id;
use model::verdict;

use super::{Owner, refuse};
use crate::ownership::action;
use crate::ownership::queue;
use crate::ownership::request;

/// Maximum queued requests per usable slot. Bounds memory only: most requests are refused earlier,
/// because of their expected wait.
const QUEUE_PER_SLOT: usize = 4;

impl Owner {
    /// Queues a request, or refuses it if its expected wait exceeds its deadline or the service's
    /// maximum wait, or if the queue is full.
    pub(super) fn enqueue(
        &mut self,
        offer: request::Offer,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let capacity = self.capacity(&offer.service, now);
        let Some(served) = self.services.get_mut(&offer.service) else { return };
        if capacity == 0 {
            return refuse(offer.id, verdict::Failure::not_run(verdict::Reason::NotHome), out);
        }
        let ahead = f64::from(u32::try_from(served.queue.len() + 1).unwrap_or(u32::MAX));
        let wait = ahead * served.latency.seconds_or_assumed() / f64::from(capacity);
        let wait = Duration::from_secs_f64(wait);
        let until = offer.deadline.min(now + served.spec.hold);
        let most = usize::try_from(capacity).unwrap_or(usize::MAX).saturating_mul(QUEUE_PER_SLOT);
        if now + wait > until || served.queue.len() >= most {
            let failure = verdict::Failure::not_run(verdict::Reason::Full).with_retry_after(wait);
            return refuse(offer.id, failure, out);
        }
        served.queue.push(queue::Waiting { offer, until });
    }

    /// Starts queued requests while there are free slots.
    pub(super) fn start_waiting(
        &mut self,
        service: &id::Service,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        loop {
            let Some(served) = self.services.get_mut(service) else { return };
            if served.queue.is_empty() {
                return;
            }
            let mut queue = std::mem::take(&mut served.queue);
            let next = queue.pop_for(|waiting| self.select_slot(&waiting.offer, now));
            if let Some(served) = self.services.get_mut(service) {
                served.queue = queue;
            }
            match next {
                Some((waiting, slot)) => self.start(&waiting.offer, slot, now, out),
                None => return,
            }
        }
    }

    /// Refuses queued requests whose wait is over, or all of them if no slot is usable here any more.
    pub(super) fn expire_queue(
        &mut self,
        service: &id::Service,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let capacity = self.capacity(service, now);
        let Some(served) = self.services.get_mut(service) else { return };
        let (ended, reason) = match capacity {
            0 => (served.queue.clear(), verdict::Reason::NotHome),
            _ => (served.queue.expire(now), verdict::Reason::Full),
        };
        for waiting in ended {
            let reason = match waiting.offer.deadline <= now {
                true => verdict::Reason::Deadline,
                false => reason,
            };
            let failure = verdict::Failure::not_run(reason).with_retry_after(served.spec.hold);
            refuse(waiting.offer.id, failure, out);
        }
    }
}
