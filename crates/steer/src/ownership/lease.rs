//! Leases: slots of one upstream that a node grants to another for a limited time.
//!
//! Every ranked node grants its share to the owner in reply to heartbeats, so that the owner can use all
//! slots and counts them exactly. The grantor does not use the slots in the meantime. A lease expires on
//! both sides: the holder counts its term from the request, the grantor from the reply, which is later.
//! An owner that is paused or partitioned therefore cannot use slots that the grantor uses again.
//!
//! Heartbeats renew leases; docs/DECISIONS.md compares this with leases in the store.

use std::time::{Duration, Instant};

use model::member;

use crate::ownership::heartbeat;

/// The leases of one heartbeat reply.
#[derive(Clone, Copy, Debug)]
pub struct Grant<'a> {
    /// The node that granted them.
    pub grantor: &'a member::Key,
    /// The leases, one per upstream.
    pub leases: &'a [heartbeat::Lease],
    /// Time in which requests may start on them.
    pub term: Duration,
    /// When they were requested, which is before the grantor's term began.
    pub asked: Instant,
}

/// Time limits of a lease.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Terms {
    /// Time in which requests may start on it.
    pub term: Duration,
    /// Time after `term` by which those requests must have ended.
    pub tail: Duration,
}

/// A lease that another node granted to this one.
#[derive(Clone, Debug, Default)]
pub struct Held {
    /// Requests that occupy a slot of this lease.
    pub running: u32,
    slots: u32,
    asked: Option<Instant>,
    starts_until: Option<Instant>,
    ends_by: Option<Instant>,
}

impl Held {
    /// Renews the lease. A grant that was requested before the current one is ignored.
    pub fn renew(&mut self, slots: u32, asked: Instant, terms: Terms) {
        if self.asked.is_some_and(|before| asked < before) {
            return;
        }
        self.slots = slots;
        self.asked = Some(asked);
        self.starts_until = Some(asked + terms.term);
        self.ends_by = Some(asked + terms.term + terms.tail);
    }

    /// Returns whether a slot is free and a request with this deadline ends in time.
    #[must_use]
    pub fn has_free_slot(&self, now: Instant, deadline: Instant) -> bool {
        let in_time = self.ends_by.is_some_and(|end| deadline <= end);
        in_time && self.running < self.slots(now)
    }

    /// Returns the slots on which requests may start at `now`.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        match self.starts_until {
            Some(until) if now < until => self.slots,
            _ => 0,
        }
    }

    /// Ends the lease for new requests.
    pub fn end(&mut self) {
        self.starts_until = None;
    }

    /// Returns whether requests run on it or may start.
    #[must_use]
    pub fn is_live(&self, now: Instant) -> bool {
        self.running > 0 || self.slots(now) > 0
    }
}

/// The slots that this node granted to one holder and does not use itself.
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
    /// Adds a grant. Earlier grants stay in force if they have more slots or end later.
    pub fn add(&mut self, slots: u32, until: Instant) {
        self.grants.retain(|p| p.slots > slots || p.until > until);
        self.grants.push(Period { slots, until });
    }

    /// Limits every grant to `held` slots.
    pub fn limit(&mut self, held: u32) {
        for period in &mut self.grants {
            period.slots = period.slots.min(held);
        }
    }

    /// Returns the granted slots: the maximum over the grants in force at `now`.
    #[must_use]
    pub fn slots(&self, now: Instant) -> u32 {
        let current = self.grants.iter().filter(|p| now < p.until);
        current.map(|p| p.slots).max().unwrap_or(0)
    }

    /// Removes expired and empty grants; returns whether any is left.
    pub fn expire(&mut self, now: Instant) -> bool {
        self.grants.retain(|p| now < p.until && p.slots > 0);
        !self.grants.is_empty()
    }
}
