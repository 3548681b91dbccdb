//! The ledger of one upstream: exact counts of the slots that this node may use, and of those in use.
//!
//! The slots are this node's own [`allotment`], less those it has granted, plus the [`lease`]s it holds.

use std::collections;
use std::time::Instant;

use model::member;

use crate::ownership::allotment;
use crate::ownership::lease;

/// Where the slot of a request comes from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// This node's own allotment.
    Own,
    /// A lease granted by this node.
    Lease(member::Key),
}

/// The slots of one upstream that this node may use, has granted or has in use.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Number of slots that the upstream declares.
    pub slots: u32,
    /// The slots that this node may use without a lease.
    pub allotment: allotment::Allotment,
    running: u32,
    abandoned: Vec<(Instant, Source)>,
    held: collections::BTreeMap<member::Key, lease::Held>,
    granted: collections::BTreeMap<member::Key, lease::Granted>,
}

impl Ledger {
    /// Creates a ledger without leases and requests.
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

    /// Returns the slots that may be used at `now`, of the allotment and of leases.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let own = self.allotment.usable.saturating_sub(self.granted_slots(now));
        own + self.held_slots(now)
    }

    /// Returns the slots in use, including those of abandoned requests that may still be running.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running + self.held.values().map(|lease| lease.running).sum::<u32>()
    }

    /// Returns a free slot for a request with this deadline, preferably of the own allotment.
    #[must_use]
    pub fn free_slot(&self, now: Instant, deadline: Instant) -> Option<Source> {
        let own = self.allotment.usable.saturating_sub(self.granted_slots(now));
        if self.running < own {
            return Some(Source::Own);
        }
        let lease = self.held.iter().find(|(_, lease)| lease.has_free_slot(now, deadline));
        lease.map(|(grantor, _)| Source::Lease(grantor.clone()))
    }

    /// Occupies a slot of `source`.
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

    /// Releases a slot whose request has ended at the upstream.
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

    /// Schedules the release of a slot at `until`, by when an abandoned request must have ended at the
    /// upstream.
    pub fn abandon(&mut self, source: Source, until: Instant) {
        self.abandoned.push((until, source));
    }

    /// Releases the slots of abandoned requests that must have ended, and removes expired leases.
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

    /// Grants all free slots of the allotment to `owner` until `until`; returns their number.
    pub fn grant(&mut self, owner: &member::Key, now: Instant, until: Instant) -> u32 {
        let others = self.granted.iter().filter(|(key, _)| *key != owner);
        let others: u32 = others.map(|(_, granted)| granted.slots(now)).sum();
        let free = self.allotment.usable.saturating_sub(self.running + others);
        if free > 0 {
            self.granted.entry(owner.clone()).or_default().add(free, until);
        }
        free
    }

    /// Reduces the grants to `owner` to the `held` slots that it reports as in use.
    pub fn reclaim(&mut self, owner: &member::Key, held: u32) {
        if let Some(granted) = self.granted.get_mut(owner) {
            granted.limit(held);
        }
    }

    /// Records a lease of `grantor` that was requested at `asked`, before the grantor's term began.
    pub fn hold_lease(
        &mut self,
        grantor: &member::Key,
        slots: u32,
        asked: Instant,
        terms: lease::Terms,
    ) {
        self.held.entry(grantor.clone()).or_default().renew(slots, asked, terms);
    }

    /// Ends the held leases for new requests; running requests keep their slots.
    pub fn end_held_leases(&mut self) {
        for held in self.held.values_mut() {
            held.end();
        }
    }

    /// Returns the slots in use of each held lease, by grantor.
    pub fn running_on_leases(&self) -> impl Iterator<Item = (&member::Key, u32)> {
        self.held.iter().map(|(grantor, held)| (grantor, held.running))
    }

    /// Returns the number of slots granted to other nodes.
    #[must_use]
    pub fn granted_slots(&self, now: Instant) -> u32 {
        self.granted.values().map(|granted| granted.slots(now)).sum()
    }

    /// Returns the number of slots granted by other nodes.
    #[must_use]
    pub fn held_slots(&self, now: Instant) -> u32 {
        self.held.values().map(|lease| lease.slots(now)).sum()
    }

    /// Returns whether the slots used and granted are within this node's share of the newest epoch.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.running + self.granted_slots(now) <= self.allotment.share
    }

    /// Returns whether no slot is in use, granted or held.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.granted.is_empty() && self.held.is_empty()
    }
}
