//! This node's copy of what the store holds, from the store itself or from other nodes.
//!
//! Owns the typed facts by their keys and merges them by the store's positions, so that copies merge in
//! any order and nothing older replaces what is newer. A store that was restored from a copy begins another era: until what it lost has been
//! written again, [`store_restore`] decides by what the values say of themselves. Relies on [`fact`] to decode an item. An item's
//! bytes stay beside its fact for extracts only: other nodes get them as the store gave them, with digests in place of
//! the keys of organisations.

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

/// Removed keys that are remembered; a node that is further behind gets a whole copy.
///
/// Not measured; it bounds memory while a fleet's entries come and go.
const MOST_REMOVED: usize = 4_096;

/// This node's copy of what the store holds.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    entries: collections::BTreeMap<String, Entry>,
    /// Keys that were removed in this era, by the revisions at which they were, with what their values said of their age.
    removed: collections::BTreeMap<(u64, String), store_restore::Content>,
    /// Keys that were removed in earlier eras, and may stand in the store once more.
    removed_before: collections::BTreeMap<String, store_restore::Content>,
    /// What the store holds of this era and what does not stand, since something newer was known.
    outdated: collections::BTreeMap<String, item::Item>,
    routing: Option<sync::Arc<routing::Routing>>,
    /// The number of the fleet; it outlasts its item, which the store may lose.
    fleet: Option<id::Fleet>,
    at: position::Position,
    /// Which changes of this era this copy knows one by one.
    history: history::History,
    is_complete: bool,
    is_in_doubt: bool,
}

impl Replica {
    /// Returns the store's position up to which this copy is complete.
    #[must_use]
    pub fn at(&self) -> position::Position {
        self.at
    }

    /// Returns the era that is in doubt: the store was restored from a copy, and what it lost may not be written again yet.
    #[must_use]
    pub fn doubtful_era(&self) -> Option<u64> {
        self.is_in_doubt.then_some(self.at.era)
    }

    /// Returns whether a whole copy was ever merged.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the newest configuration.
    #[must_use]
    pub fn routing(&self) -> Option<&sync::Arc<routing::Routing>> {
        self.routing.as_ref()
    }

    /// Returns the number of the fleet, once it is known.
    #[must_use]
    pub fn fleet(&self) -> Option<id::Fleet> {
        self.fleet
    }

    /// Returns whether the store lacks the number of the fleet, as far as this copy says.
    #[must_use]
    pub fn lacks_fleet(&self) -> bool {
        let item = self.entries.get(fact::FLEET).map(|entry| &entry.item);
        self.is_complete && item.is_none_or(|item| item.era < self.at.era)
    }

    /// Returns all upstreams.
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

    /// Returns the evacuated halls.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Hall> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Evacuated(hall) => Some(hall),
            _ => None,
        })
    }

    /// Returns the nodes of this system that are registered in the store.
    pub fn nodes(&self) -> impl Iterator<Item = &Node> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Node(node) => Some(node),
            _ => None,
        })
    }

    /// Returns the rulings that the store keeps.
    pub fn rulings(&self) -> impl Iterator<Item = &kept_ruling::Entry> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Ruling(ruling) => Some(ruling),
            _ => None,
        })
    }

    /// Returns the orders to roll out a version.
    pub fn rollout_orders(&self) -> impl Iterator<Item = &rollout::Order> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::RolloutOrder(order) => Some(order),
            _ => None,
        })
    }

    /// Returns the recorded stages of roll-outs.
    pub fn rollout_records(&self) -> impl Iterator<Item = &rollout::Record> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::RolloutRecord(record) => Some(record),
            _ => None,
        })
    }

    /// Returns the revision of the recorded stage of a service's roll-out; 0 when there is none.
    #[must_use]
    pub fn rollout_revision(&self, service: &id::Service) -> u64 {
        let entry = self.entries.get(&fact::rollout_record_key(service));
        entry.map_or(0, |entry| entry.item.revision)
    }

    /// Merges changes up to the page's position.
    ///
    /// Changes of another era say nothing: an earlier one is over, and of a later one everything has to be read first.
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

    /// Merges a whole copy: whatever it lacks, and is not newer, was removed.
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
        // Items of an earlier era are what another node has in doubt; the store does not hold them.
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
        // Else what the store no longer holds would come into force with the end of the doubt.
        self.outdated.retain(|key, item| item.revision > page.at || present.contains(key.as_str()));
        let at = page.position();
        // A whole copy does not list what came and went since this one.
        self.history.skip(self.at.revision, page.at);
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
        // The copy is complete up to its position: what it lacks of that time was removed since.
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

    /// Puts an item into force.
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

    /// Returns what an item says that cannot be read: what its key said before, but for upstreams.
    ///
    /// An entry that cannot be read is another writer's, and names no upstream to use.
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

    /// Drops a key; returns what its value said of its age, if it was known.
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

/// Returns an item without secrets.
fn redacted(mut item: item::Item) -> item::Item {
    fact::redact(&item.key, &mut item.value);
    item
}
