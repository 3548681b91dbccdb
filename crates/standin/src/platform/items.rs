//! What the store holds: items under one counter of revisions, their history, and leases.
//!
//! It owns the rules of writes, watches and leases; [`crate::platform::store`] serves it. It relies
//! on the platform's form of an item, and the clock is passed in.

use std::collections;
use std::time::{Duration, Instant};

use ::platform::store::item;

/// An item, and the lease that it ends with.
#[derive(Clone, Debug)]
struct Stored {
    item: item::Item,
    lease: u64,
}

/// Why a write was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refused {
    /// A condition does not hold; the items are as they stand.
    Conflict(Vec<item::Item>),
    /// There is no such lease.
    NoLease,
}

/// What the store holds.
#[derive(Clone, Debug, Default)]
pub struct Items {
    stored: collections::BTreeMap<String, Stored>,
    history: Vec<item::Item>,
    leases: collections::BTreeMap<u64, (Duration, Instant)>,
    revision: u64,
    forgotten: u64,
    last_lease: u64,
    era: u64,
}

impl Items {
    /// Returns the newest revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns how often it was restored from a copy; 0 where it never did.
    #[must_use]
    pub fn era(&self) -> u64 {
        self.era
    }

    /// Goes back to a copy: what was written since is gone, and revisions and leases are given out again. No history is left.
    pub fn restore(&mut self, copy: &Self) {
        let era = self.era + 1;
        *self = Self { era, ..copy.clone() };
        self.forget();
    }

    /// Returns the items of a prefix.
    #[must_use]
    pub fn range(&self, prefix: &str) -> Vec<item::Item> {
        let matching = self.stored.values().filter(|s| s.item.key.starts_with(prefix));
        matching.map(|s| s.item.clone()).collect()
    }

    /// Returns the changes of a prefix after `after`; none when that history is gone.
    #[must_use]
    pub fn changes(&self, prefix: &str, after: u64) -> Option<Vec<item::Item>> {
        // Revisions beyond the newest are of an earlier era.
        if after < self.forgotten || after > self.revision {
            return None;
        }
        let changed = self.history.iter().filter(|i| i.revision > after);
        Some(changed.filter(|i| i.key.starts_with(prefix)).cloned().collect())
    }

    /// Forgets the history so far.
    pub fn forget(&mut self) {
        self.history.clear();
        self.forgotten = self.revision;
    }

    /// Writes all or nothing; returns the revision.
    ///
    /// # Errors
    ///
    /// Fails when a condition or a lease does not hold.
    pub fn write(&mut self, write: &item::Write) -> Result<u64, Refused> {
        let stands = |e: &item::Expected| {
            self.stored.get(&e.key).map_or(0, |s| s.item.revision) == e.revision
        };
        if !write.expected_rev.iter().all(stands) {
            let keys = write.expected_rev.iter().filter_map(|e| self.stored.get(&e.key));
            return Err(Refused::Conflict(keys.map(|s| s.item.clone()).collect()));
        }
        if write.put.iter().any(|p| p.lease != 0 && !self.leases.contains_key(&p.lease)) {
            return Err(Refused::NoLease);
        }
        self.revision += 1;
        for put in &write.put {
            let item = item::Item {
                key: put.key.clone(),
                value: put.value.clone(),
                revision: self.revision,
                is_removed: false,
                lease: put.lease,
                era: 0,
            };
            self.history.push(item.clone());
            self.stored.insert(put.key.clone(), Stored { item, lease: put.lease });
        }
        for key in &write.remove {
            self.remove(key);
        }
        Ok(self.revision)
    }

    /// Grants a lease.
    pub fn lease(&mut self, time: Duration, now: Instant) -> u64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, (time, now + time));
        self.last_lease
    }

    /// Renews a lease; returns its duration, or none when it has ended.
    pub fn renew(&mut self, lease: u64, now: Instant) -> Option<Duration> {
        let (time, ends) = self.leases.get_mut(&lease)?;
        *ends = now + *time;
        Some(*time)
    }

    /// Ends a lease with its keys; returns whether there was one.
    pub fn end_lease(&mut self, lease: u64) -> bool {
        let existed = self.leases.remove(&lease).is_some();
        let keys = self.stored.iter().filter(|(_, s)| s.lease == lease && lease != 0);
        let keys: Vec<String> = keys.map(|(key, _)| key.clone()).collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in &keys {
            self.remove(key);
        }
        existed
    }

    /// Ends the leases that have expired.
    pub fn expire(&mut self, now: Instant) {
        let over = self.leases.iter().filter(|(_, (_, ends))| *ends <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            self.end_lease(lease);
        }
    }

    fn remove(&mut self, key: &str) {
        if self.stored.remove(key).is_some() {
            self.history.push(item::Item {
                key: key.to_owned(),
                value: Vec::new(),
                revision: self.revision,
                is_removed: true,
                lease: 0,
                era: 0,
            });
        }
    }
}
