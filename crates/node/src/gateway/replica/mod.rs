//! Replica: this node's copy of the store's contents, read from the store or from other nodes.
//!
//! Stores the decoded facts by key and merges them by the store's positions, so that the order of merges does not
//! matter and an older value never replaces a newer one. A store that was restored from a backup starts a new era;
//! until the lost values are written again, [`store_restore`] compares values by their content. [`fact`] decodes an
//! item. The bytes of an item are kept for extracts only, with the keys of organisations replaced by digests.

pub mod changes;
mod entry;
mod era;
mod extract;
mod history;

use std::collections;
use std::sync;

use model::discovery;
use model::id;
use model::rollout;
use model::routing;
use platform::fact;
use platform::malformed;
use platform::store::{item, position};
use steer::dispatch::fleet::store_restore;

use crate::gateway::kept_ruling;

pub use crate::gateway::replica::changes::{Changes, Fault};
pub use crate::gateway::replica::entry::Node;
use crate::gateway::replica::entry::{Entry, Known};

/// Maximum number of removed keys that are remembered; a node that is further behind gets a whole copy.
const MOST_REMOVED: usize = 4_096;

/// Era of a store that was never restored from a backup.
const FIRST_ERA: u64 = 0;

/// This node's copy of the store's contents.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    entries: collections::BTreeMap<String, Entry>,
    /// Keys removed in this era, by the revision of their removal, with the age of their last values.
    removed: collections::BTreeMap<(u64, String), store_restore::Content>,
    /// Keys removed in earlier eras, which the restored store may contain again.
    removed_before: collections::BTreeMap<String, store_restore::Content>,
    /// Items of this era that are not in force, because a newer value was known before the restore.
    outdated: collections::BTreeMap<String, item::Item>,
    routing: Option<sync::Arc<routing::Routing>>,
    /// Number of the fleet, kept even if the store loses the item.
    fleet: Option<id::Fleet>,
    at: position::Position,
    /// Range of revisions for which every change is known.
    history: history::History,
    is_complete: bool,
    is_in_doubt: bool,
}

impl Replica {
    /// Returns the position of the store up to which this copy is complete.
    #[must_use]
    pub fn at(&self) -> position::Position {
        self.at
    }

    /// Returns the current era if the store was restored and the lost values may not be written again yet.
    #[must_use]
    pub fn doubtful_era(&self) -> Option<u64> {
        self.is_in_doubt.then_some(self.at.era)
    }

    /// Returns whether a whole copy was merged at least once.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the newest configuration.
    #[must_use]
    pub fn routing(&self) -> Option<&sync::Arc<routing::Routing>> {
        self.routing.as_ref()
    }

    /// Returns the number of the fleet, if known.
    #[must_use]
    pub fn fleet(&self) -> Option<id::Fleet> {
        self.fleet
    }

    /// Returns whether the fleet number is missing from the store, according to this copy.
    #[must_use]
    pub fn lacks_fleet(&self) -> bool {
        let item = self.entries.get(fact::FLEET).map(|entry| &entry.item);
        self.is_complete && item.is_none_or(|item| item.era < self.at.era)
    }

    /// Iterates over all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &sync::Arc<discovery::Entry>> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Upstream(upstream) => Some(upstream),
            _ => None,
        })
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn upstream(&self, name: &id::Upstream) -> Option<&sync::Arc<discovery::Entry>> {
        match &self.entries.get(&fact::upstream_key(name))?.fact {
            Known::Upstream(upstream) => Some(upstream),
            _ => None,
        }
    }

    /// Iterates over the evacuated halls.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Hall> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Evacuated(hall) => Some(hall),
            _ => None,
        })
    }

    /// Iterates over the nodes registered in the store.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Node(node) => Some(node),
            _ => None,
        })
    }

    /// Iterates over the quarantine rulings in the store.
    pub fn rulings(&self) -> impl Iterator<Item = &kept_ruling::Entry> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Ruling(ruling) => Some(ruling),
            _ => None,
        })
    }

    /// Iterates over the orders to roll out a version.
    pub fn rollout_orders(&self) -> impl Iterator<Item = &rollout::Order> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::RolloutOrder(order) => Some(order),
            _ => None,
        })
    }

    /// Iterates over the recorded stages of roll-outs.
    pub fn rollout_records(&self) -> impl Iterator<Item = &rollout::Record> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::RolloutRecord(record) => Some(record),
            _ => None,
        })
    }

    /// Returns the revision of the recorded stage of a service's roll-out, or 0 if there is no record.
    #[must_use]
    pub fn rollout_revision(&self, service: &id::Service) -> u64 {
        let entry = self.entries.get(&fact::rollout_record_key(service));
        entry.map_or(0, |entry| entry.item.revision)
    }

    /// Merges the changes up to the page's position.
    ///
    /// Changes of another era are ignored: a new era requires a whole copy first.
    pub fn merge(&mut self, page: item::Page) -> Changes {
        let mut changes = Changes::default();
        match self.is_complete {
            true if page.era != self.at.era => return changes,
            true => {}
            false => self.at.era = page.era,
        }
        let at = page.position();
        for item in page.items {
            self.take(item, &mut changes);
        }
        self.at = self.at.max(at);
        changes
    }

    /// Merges a whole copy; known keys that it lacks and that are not newer were removed.
    pub fn replace(&mut self, page: item::Page) -> Changes {
        let mut changes = Changes::default();
        match self.is_complete {
            true if page.era < self.at.era => return changes,
            true if page.era == self.at.era => self.replace_in_era(page, &mut changes),
            _ => self.begin_era(page, &mut changes),
        }
        self.is_complete = true;
        changes
    }

    fn replace_in_era(&mut self, page: item::Page, changes: &mut Changes) {
        // Items of an earlier era come from another node that awaits them; the store does not contain them.
        let held = page.items.iter().filter(|item| item.era == page.era);
        let present: collections::BTreeSet<&str> = held.map(|item| item.key.as_str()).collect();
        let is_older = |item: &item::Item| match item.era == page.era {
            true => item.revision <= page.at,
            false => !self.is_in_doubt && item.key != fact::CONFIG,
        };
        let is_gone = |e: &&Entry| is_older(&e.item) && !present.contains(e.item.key.as_str());
        let gone: Vec<String> =
            self.entries.values().filter(is_gone).map(|e| e.item.key.clone()).collect();
        for key in gone {
            self.remove(&key, page.at, changes);
        }
        // Otherwise an item that the store no longer contains could come into force later.
        self.outdated.retain(|key, item| item.revision > page.at || present.contains(key.as_str()));
        let at = page.position();
        match self.at.era == FIRST_ERA && self.at.revision <= page.at {
            // The whole copy does not show keys that were added and removed since this copy's position.
            true => self.history.skip(self.at.revision, page.at),
            // Changes cannot express which items of a restored store are outdated, so other nodes need a whole copy.
            false => self.history.forget(page.at),
        }
        for item in page.items {
            match item.era == self.at.era {
                true => self.take(item, changes),
                false => self.take_doubtful(item, changes),
            }
        }
        self.at = self.at.max(at);
    }

    fn take(&mut self, item: item::Item, changes: &mut Changes) {
        let known = self.entries.get(&item.key);
        if known.is_some_and(|known| known.item.position() >= item.position()) {
            return;
        }
        let outdated = self.outdated.get(&item.key);
        if outdated.is_some_and(|outdated| outdated.position() >= item.position()) {
            return;
        }
        // The copy is complete up to its position: a missing key of that time was removed since.
        let is_obsolete = self.is_complete && item.position() <= self.at;
        if is_obsolete && known.is_none() {
            return;
        }
        if item.is_removed {
            self.remove(&item.key, item.revision, changes);
            return;
        }
        let fact = fact::read(&item.key, &item.value);
        self.put(item, fact, changes);
    }

    /// Stores an item with its decoded fact.
    fn put(
        &mut self,
        item: item::Item,
        fact: Result<fact::Fact, malformed::Malformed>,
        changes: &mut Changes,
    ) {
        let item = redacted(item);
        let known = match fact {
            Ok(fact) => self.adopt(fact, &item, changes),
            Err(error) => {
                changes.faults.push(Fault::new(&item, error.to_string()));
                self.standing_despite(&item.key, changes)
            }
        };
        self.removed_before.remove(&item.key);
        self.outdated.remove(&item.key);
        if item.era == self.at.era {
            self.history.write(item.revision, &item.key);
        }
        self.entries.insert(item.key.clone(), Entry { item, fact: known });
    }

    /// Returns the fact for a malformed item: the previous one, except for upstreams.
    ///
    /// A malformed upstream entry was written by another program and is not used.
    fn standing_despite(&self, key: &str, changes: &mut Changes) -> Known {
        match self.entries.get(key).map(|before| &before.fact) {
            Some(Known::Upstream(upstream)) => {
                changes.upstreams.insert(upstream.id.clone());
                Known::Nothing
            }
            Some(before) => before.clone(),
            None => Known::Nothing,
        }
    }

    fn adopt(&mut self, fact: fact::Fact, item: &item::Item, changes: &mut Changes) -> Known {
        match fact {
            fact::Fact::Routing(routing) => {
                let version = routing.version;
                let is_newer = self.routing.as_ref().is_none_or(|r| r.version < version);
                if is_newer {
                    self.routing = Some(sync::Arc::new(routing));
                    changes.routing = true;
                }
                Known::Configuration(version)
            }
            fact::Fact::Evacuated(hall) => {
                changes.evacuations = true;
                Known::Evacuated(hall)
            }
            fact::Fact::Upstream(upstream) => {
                changes.upstreams.insert(upstream.id.clone());
                Known::Upstream(sync::Arc::new(upstream))
            }
            fact::Fact::Node(name) => entry::register(name, item, changes),
            fact::Fact::Ruling(scope) => entry::keep(scope, item, changes),
            fact::Fact::RolloutOrder(order) => {
                changes.rollouts = true;
                // The store numbers the orders: each has the revision at which it was written.
                Known::RolloutOrder(rollout::Order { number: item.revision, ..order })
            }
            fact::Fact::RolloutRecord(record) => {
                changes.rollouts = true;
                Known::RolloutRecord(record)
            }
            fact::Fact::Fleet(number) => {
                self.fleet = Some(number);
                Known::Fleet
            }
            fact::Fact::Other => Known::Nothing,
        }
    }

    fn remove(&mut self, key: &str, revision: u64, changes: &mut Changes) {
        let content = self.forget(key, changes).unwrap_or(store_restore::Content::Undated);
        self.removed.insert((revision, key.to_owned()), content);
        while self.removed.len() > MOST_REMOVED {
            if let Some(((revision, _), _)) = self.removed.pop_first() {
                self.history.forget(revision);
            }
        }
    }

    /// Removes a key; returns the age of its value if the key was known.
    fn forget(&mut self, key: &str, changes: &mut Changes) -> Option<store_restore::Content> {
        self.outdated.remove(key);
        let entry = self.entries.remove(key)?;
        match &entry.fact {
            Known::Evacuated(_) => changes.evacuations = true,
            Known::Upstream(upstream) => _ = changes.upstreams.insert(upstream.id.clone()),
            Known::Node(_) => changes.nodes = true,
            Known::Ruling(_) => changes.rulings = true,
            Known::RolloutOrder(_) | Known::RolloutRecord(_) => changes.rollouts = true,
            Known::Configuration(_) | Known::Fleet | Known::Nothing => {}
        }
        Some(entry.content())
    }
}

/// Replaces the secrets of an item by digests.
fn redacted(mut item: item::Item) -> item::Item {
    fact::redact(&item.key, &mut item.value);
    item
}
