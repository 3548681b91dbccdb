//! The ledger of one upstream: which slots this node may use, and which are taken.
//!
//! Owns the exact counts. Relies on [`allotment`] for the slots of this node itself and on [`lease`] for
//! those that it holds or has granted. Nothing is started here beyond the sum of both.

use std::collections;
use std::time::Instant;

use model::member;

use crate::ownership::allotment;
use crate::ownership::lease;

/// Where the slot of a request is from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This node's own allotment.
    Own,
    /// A lease of this grantor.
    Lease(member::Key),
}

/// Slots of one upstream as this node may use them.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Slots the upstream has.
    pub slots: u32,
    /// The slots that this node may use by itself.
    pub allotment: allotment::Allotment,
    running: u32,
    abandoned: Vec<(Instant, Source)>,
    held: collections::BTreeMap<member::Key, lease::Held>,
    granted: collections::BTreeMap<member::Key, lease::Granted>,
}

impl Ledger {
    /// Makes the ledger of an upstream that is not used yet.
    #[must_use]
    pub fn new(slots: u32, allotment: allotment::Allotment) -> Self {
        Self {
            slots,
            allotment,
            running: 0,
            abandoned: Vec::new(),
            held: collections::BTreeMap::new(),
            granted: collections::BTreeMap::new(),
        }
    }

    /// Returns how many requests may run now, on the allotment and on leases.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let own = self.allotment.usable.saturating_sub(self.granted_slots(now));
        own + self.held_slots(now)
    }

    /// Returns the slots that hold a request, or may still hold one that was abandoned.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running + self.held.values().map(|b| b.running).sum::<u32>()
    }

    /// Returns the slot that a request with this deadline could take.
    #[must_use]
    pub fn room(&self, now: Instant, deadline: Instant) -> Option<Source> {
        let own = self.allotment.usable.saturating_sub(self.granted_slots(now));
        if self.running < own {
            return Some(Source::Own);
        }
        let lease = self.held.iter().find(|(_, b)| b.has_room(now, deadline));
        lease.map(|(grantor, _)| Source::Lease(grantor.clone()))
    }

    /// Takes a slot of `source`.
    pub fn start(&mut self, source: &Source) {
        match source {
            Source::Own => self.running += 1,
            Source::Lease(grantor) => {
                if let Some(held) = self.held.get_mut(grantor) {
                    held.running += 1;
                }
            }
        }
    }

    /// Gives a slot back whose request has ended at the upstream.
    pub fn finish(&mut self, source: &Source) {
        match source {
            Source::Own => self.running = self.running.saturating_sub(1),
            Source::Lease(grantor) => {
                if let Some(held) = self.held.get_mut(grantor) {
                    held.running = held.running.saturating_sub(1);
                }
            }
        }
    }

    /// Gives a slot back at `until`, when an abandoned request must have ended at the upstream.
    pub fn abandon(&mut self, source: Source, until: Instant) {
        self.abandoned.push((until, source));
    }

    /// Frees the slots of abandoned requests that have ended, and forgets leases that are over.
    pub fn expire(&mut self, now: Instant) {
        let ended: Vec<Source> = self
            .abandoned
            .extract_if(.., |(until, _)| *until <= now)
            .map(|(_, source)| source)
            .collect();
        for source in &ended {
            self.finish(source);
        }
        self.granted.retain(|_, granted| granted.expire(now));
        self.held.retain(|_, held| held.is_live(now));
    }

    /// Grants all that is free to `owner` until `until`; returns the slots granted.
    pub fn grant(&mut self, owner: &member::Key, now: Instant, until: Instant) -> u32 {
        let others = self.granted.iter().filter(|(key, _)| *key != owner);
        let others: u32 = others.map(|(_, granted)| granted.slots(now)).sum();
        let free = self.allotment.usable.saturating_sub(self.running + others);
        if free > 0 {
            self.granted.entry(owner.clone()).or_default().add(free, until);
        }
        free
    }

    /// Ends the grants to `owner` but for the `held` slots that it reports to be in use.
    pub fn reclaim(&mut self, owner: &member::Key, held: u32) {
        if let Some(granted) = self.granted.get_mut(owner) {
            granted.limit(held);
        }
    }

    /// Holds a lease of `grantor`, asked for at `asked`, which is before its grant began.
    pub fn hold_lease(
        &mut self,
        grantor: &member::Key,
        slots: u32,
        asked: Instant,
        terms: lease::Terms,
    ) {
        self.held.entry(grantor.clone()).or_default().renew(slots, asked, terms);
    }

    /// Starts nothing more on leases; what runs on them goes on.
    pub fn end_held_leases(&mut self) {
        for held in self.held.values_mut() {
            held.end();
        }
    }

    /// Returns, for each grantor, the slots of its lease that are in use.
    pub fn running_on_leases(&self) -> impl Iterator<Item = (&member::Key, u32)> {
        self.held.iter().map(|(grantor, held)| (grantor, held.running))
    }

    /// Returns the slots granted to others.
    #[must_use]
    pub fn granted_slots(&self, now: Instant) -> u32 {
        self.granted.values().map(|l| l.slots(now)).sum()
    }

    /// Returns the slots that others granted.
    #[must_use]
    pub fn held_slots(&self, now: Instant) -> u32 {
        self.held.values().map(|b| b.slots(now)).sum()
    }

    /// Returns whether what this node uses or has granted fits its share of the newest epoch.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.running + self.granted_slots(now) <= self.allotment.share
    }

    /// Returns whether nothing is in use, granted or held.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.granted.is_empty() && self.held.is_empty()
    }
}
