//! Loans: slots of one upstream that a node promises another not to use for a time.
//!
//! In quiet times every ranked node grants its share to the owner, which then has all slots and
//! counts them exactly. A lease ends by itself, by both clocks: the holder counts from when it
//! asked, the grantor from when it answered, which is later. So an owner that is paused or cut off
//! cannot use the share of a node that carries on without it.

use std::time::{Duration, Instant};

/// How long a lease is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time in which work may start on it.
    pub term: Duration,
    /// Time after that in which such work must have ended.
    pub tail: Duration,
}

/// Slots that another node promised not to use.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Requests that hold a slot of this lease.
    pub running: u32,
    slots: u32,
    asked: Option<Instant>,
    starts_until: Option<Instant>,
    ends_by: Option<Instant>,
}

impl Held {
    /// Notes a promise; one that was asked for earlier than the last is passed over.
    pub fn renew(&mut self, slots: u32, asked: Instant, terms: Terms) {
        if self.asked.is_some_and(|before| asked < before) {
            return;
        }
        self.slots = slots;
        self.asked = Some(asked);
        self.starts_until = Some(asked + terms.term);
        self.ends_by = Some(asked + terms.term + terms.tail);
    }

    /// Returns whether a request with this deadline may start.
    #[must_use]
    pub fn has_room(&self, now: Instant, deadline: Instant) -> bool {
        let in_time = self.ends_by.is_some_and(|end| deadline <= end);
        in_time && self.running < self.slots(now)
    }

    /// Returns the slots on which work may start.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        match self.starts_until {
            Some(until) if now < until => self.slots,
            _ => 0,
        }
    }

    /// Ends the lease for new work.
    pub fn end(&mut self) {
        self.starts_until = None;
    }

    /// Returns whether the lease still matters.
    #[must_use]
    pub fn expire(&self, now: Instant) -> bool {
        self.running > 0 || self.slots(now) > 0
    }
}

/// Slots that this node promised not to use, by one holder.
#[derive(Clone, Debug, Default)]
pub struct Granted {
    promises: Vec<Promise>,
}

#[derive(Clone, Copy, Debug)]
struct Promise {
    slots: u32,
    until: Instant,
}

impl Granted {
    /// Adds a promise. Earlier ones stay until their own end when they are greater.
    pub fn promise(&mut self, slots: u32, until: Instant) {
        self.promises.retain(|p| p.slots > slots || p.until > until);
        self.promises.push(Promise { slots, until });
    }

    /// Lowers every promise to at most `held`.
    pub fn limit(&mut self, held: u32) {
        for promise in &mut self.promises {
            promise.slots = promise.slots.min(held);
        }
    }

    /// Returns the slots that are promised now.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        let current = self.promises.iter().filter(|p| now < p.until);
        current.map(|p| p.slots).max().unwrap_or(0)
    }

    /// Forgets promises that ended; returns whether one is left.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.promises.retain(|p| now < p.until && p.slots > 0);
        !self.promises.is_empty()
    }
}
