//! Leases: slots of one upstream that a node grants to another for a time and does not use itself.
//!
//! While heartbeats pass, every ranked node grants its share to the owner, which then holds all slots and
//! counts them exactly. A lease ends by itself, by both clocks: the holder counts from when it asked,
//! the grantor from when it answered, which is later. So an owner that is paused or cut off cannot use
//! the share of a node that carries on without it.
//!
//! Owns both sides' time limits. Relies on heartbeats to renew them; docs/DECISIONS.md weighs it against
//! leases in the store.

use std::time::{Duration, Instant};

use model::member;

use crate::ownership::heartbeat;

/// The leases of one reply.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// The node that granted them.
    pub grantor: &'a member::Key,
    /// The leases.
    pub leases: &'a [heartbeat::Lease],
    /// Time in which work may start on them.
    pub term: Duration,
    /// When they were asked for, which is before the grantor began to count.
    pub asked: Instant,
}

/// How long a lease may be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time in which work may start on it.
    pub term: Duration,
    /// Time after that in which such work must have ended.
    pub tail: Duration,
}

/// Slots that another node granted to this one.
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
    /// Renews the lease; a grant that was asked for earlier than the last is ignored.
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

    /// Returns whether work runs on it or may start.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        self.running > 0 || self.slots(now) > 0
    }
}

/// Slots that this node granted to one holder, and does not use itself.
#[derive(Clone, Debug, Default)]
pub struct Granted {
    grants: Vec<Period>,
}

#[derive(Clone, Copy, Debug)]
struct Period {
    slots: u32,
    until: Instant,
}

impl Granted {
    /// Adds a grant. Earlier ones stay until their own end when they are greater.
    pub fn add(&mut self, slots: u32, until: Instant) {
        self.grants.retain(|p| p.slots > slots || p.until > until);
        self.grants.push(Period { slots, until });
    }

    /// Lowers every grant to at most `held` slots.
    pub fn limit(&mut self, held: u32) {
        for period in &mut self.grants {
            period.slots = period.slots.min(held);
        }
    }

    /// Returns the slots that are granted now.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        let current = self.grants.iter().filter(|p| now < p.until);
        current.map(|p| p.slots).max().unwrap_or(0)
    }

    /// Forgets grants that ended; returns whether one is left.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.grants.retain(|p| now < p.until && p.slots > 0);
        !self.grants.is_empty()
    }
}
