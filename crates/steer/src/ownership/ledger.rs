//! The ledger of one upstream: whose its slots are, and which are taken.

use std::collections;
use std::time::Instant;

use model::member;

use crate::ownership::allotment;
use crate::ownership::lease;

/// Whose slot a request holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// One that this node has by right.
    Own,
    /// One that another node granted.
    Lease(member::Key),
}

/// Slots of one upstream as this node may use them.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Slots the upstream has.
    pub slots: u32,
    /// This node's allotment by itself.
    pub allotment: allotment::Allotment,
    running: u32,
    cooling: Vec<(Instant, Source)>,
    held: collections::BTreeMap<member::Key, lease::Held>,
    granted: collections::BTreeMap<member::Key, lease::Granted>,
}

impl Ledger {
    /// Makes the ledger of an upstream that nobody uses yet.
    #[must_use]
    pub fn new(slots: u32, allotment: allotment::Allotment) -> Self {
        Self {
            slots,
            allotment,
            running: 0,
            cooling: Vec::new(),
            held: collections::BTreeMap::new(),
            granted: collections::BTreeMap::new(),
        }
    }

    /// Returns how many requests may run now, by right and by lease.
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

    /// Returns whose slot a request with this deadline could take.
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
        self.cooling.push((until, source));
    }

    /// Forgets what has passed; returns whether a slot came free.
    pub fn expire(&mut self, now: Instant) -> bool {
        let cooled: Vec<Source> = self
            .cooling
            .extract_if(.., |(until, _)| *until <= now)
            .map(|(_, source)| source)
            .collect();
        for source in &cooled {
            self.finish(source);
        }
        self.granted.retain(|_, granted| granted.expire(now));
        self.held.retain(|_, held| held.expire(now));
        !cooled.is_empty()
    }

    /// Grants all that is free to `owner` until `until`; returns the slots granted.
    pub fn grant(&mut self, owner: &member::Key, now: Instant, until: Instant) -> u32 {
        let others = self.granted.iter().filter(|(key, _)| *key != owner);
        let others: u32 = others.map(|(_, granted)| granted.slots(now)).sum();
        let free = self.allotment.usable.saturating_sub(self.running + others);
        if free > 0 {
            self.granted.entry(owner.clone()).or_default().promise(free, until);
        }
        free
    }

    /// Takes back from `owner` all but `held` slots, by its own word.
    pub fn reclaim(&mut self, owner: &member::Key, held: u32) {
        if let Some(granted) = self.granted.get_mut(owner) {
            granted.limit(held);
        }
    }

    /// Notes a lease from `grantor`, asked for at `asked`, which is before its promise began.
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

    /// Returns the slots promised to others.
    #[must_use]
    pub fn granted_slots(&self, now: Instant) -> u32 {
        self.granted.values().map(|l| l.slots(now)).sum()
    }

    /// Returns the slots that others promised.
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
