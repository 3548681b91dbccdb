//! The ledger of one upstream: whose its slots are, and which are taken.

use std::collections;
use std::time::Instant;

use model::member;

use crate::ownership::loan;
use crate::ownership::rights;

/// Whose slot a request holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Source {
    /// One that this node has by right.
    Own,
    /// One that another node lent.
    Loan(member::Key),
}

/// Slots of one upstream as this node may use them.
#[derive(Clone, Debug)]
pub struct Ledger {
    /// Slots the upstream has.
    pub slots: u32,
    /// This node's rights by itself.
    pub rights: rights::Rights,
    running: u32,
    cooling: Vec<(Instant, Source)>,
    borrowed: collections::BTreeMap<member::Key, loan::Borrowed>,
    lent: collections::BTreeMap<member::Key, loan::Lent>,
}

impl Ledger {
    /// Makes the ledger of an upstream that nobody uses yet.
    #[must_use]
    pub fn new(slots: u32, rights: rights::Rights) -> Self {
        Self {
            slots,
            rights,
            running: 0,
            cooling: Vec::new(),
            borrowed: collections::BTreeMap::new(),
            lent: collections::BTreeMap::new(),
        }
    }

    /// Returns how many requests may run now, by right and by loan.
    #[must_use]
    pub fn capacity(&self, now: Instant) -> u32 {
        let own = self.rights.usable.saturating_sub(self.lent_slots(now));
        own + self.borrowed_slots(now)
    }

    /// Returns the slots that hold a request, or may still hold one that was abandoned.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.running + self.borrowed.values().map(|b| b.running).sum::<u32>()
    }

    /// Returns whose slot a request with this deadline could take.
    #[must_use]
    pub fn room(&self, now: Instant, deadline: Instant) -> Option<Source> {
        let own = self.rights.usable.saturating_sub(self.lent_slots(now));
        if self.running < own {
            return Some(Source::Own);
        }
        let loan = self.borrowed.iter().find(|(_, b)| b.has_room(now, deadline));
        loan.map(|(lender, _)| Source::Loan(lender.clone()))
    }

    /// Takes a slot of `source`.
    pub fn start(&mut self, source: &Source) {
        match source {
            Source::Own => self.running += 1,
            Source::Loan(lender) => {
                if let Some(borrowed) = self.borrowed.get_mut(lender) {
                    borrowed.running += 1;
                }
            }
        }
    }

    /// Gives a slot back whose request has ended at the upstream.
    pub fn finish(&mut self, source: &Source) {
        match source {
            Source::Own => self.running = self.running.saturating_sub(1),
            Source::Loan(lender) => {
                if let Some(borrowed) = self.borrowed.get_mut(lender) {
                    borrowed.running = borrowed.running.saturating_sub(1);
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
        self.lent.retain(|_, lent| lent.expire(now));
        self.borrowed.retain(|_, borrowed| borrowed.expire(now));
        !cooled.is_empty()
    }

    /// Lends all that is free to `home` until `until`; returns the slots lent.
    pub fn lend(&mut self, home: &member::Key, now: Instant, until: Instant) -> u32 {
        let others = self.lent.iter().filter(|(key, _)| *key != home);
        let others: u32 = others.map(|(_, lent)| lent.slots(now)).sum();
        let free = self.rights.usable.saturating_sub(self.running + others);
        if free > 0 {
            self.lent.entry(home.clone()).or_default().promise(free, until);
        }
        free
    }

    /// Takes back from `home` all but `held` slots, by its own word.
    pub fn take_back(&mut self, home: &member::Key, held: u32) {
        if let Some(lent) = self.lent.get_mut(home) {
            lent.limit(held);
        }
    }

    /// Notes a loan from `lender`, asked for at `asked`, which is before its promise began.
    pub fn borrow(&mut self, lender: &member::Key, slots: u32, asked: Instant, terms: loan::Terms) {
        self.borrowed.entry(lender.clone()).or_default().renew(slots, asked, terms);
    }

    /// Starts nothing more on loans; what runs on them goes on.
    pub fn end_loans(&mut self) {
        for borrowed in self.borrowed.values_mut() {
            borrowed.end();
        }
    }

    /// Returns, for each lender, the slots of its loan that are in use.
    pub fn held(&self) -> impl Iterator<Item = (&member::Key, u32)> {
        self.borrowed.iter().map(|(lender, borrowed)| (lender, borrowed.running))
    }

    /// Returns the slots promised to others.
    #[must_use]
    pub fn lent_slots(&self, now: Instant) -> u32 {
        self.lent.values().map(|l| l.slots(now)).sum()
    }

    /// Returns the slots that others promised.
    #[must_use]
    pub fn borrowed_slots(&self, now: Instant) -> u32 {
        self.borrowed.values().map(|b| b.slots(now)).sum()
    }

    /// Returns whether what this node uses or has lent fits its share of the newest epoch.
    #[must_use]
    pub fn is_settled(&self, now: Instant) -> bool {
        self.running + self.lent_slots(now) <= self.rights.share
    }

    /// Returns whether nothing is in use, lent or borrowed.
    #[must_use]
    pub fn is_idle(&self) -> bool {
        self.in_flight() == 0 && self.lent.is_empty() && self.borrowed.is_empty()
    }
}
