//! This node's copy of what the store holds, from the store itself or from other nodes.
//!
//! Every item carries the store's revision, so that copies merge in any order and nothing goes back.

use std::collections;
use std::sync;

use model::discovery;
use model::id;
use model::routing;
use platform::fact;
use platform::store::item;
use serde::{Deserialize, Serialize};

/// Most removed keys that are remembered.
const MOST_REMOVED: usize = 4_096;

/// What one node tells another of its copy.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Extract {
    /// Items; all of them, or those after a revision with removed ones among them.
    pub page: item::Page,
    /// Whether these are all items, so that any other is gone.
    pub is_whole: bool,
}

/// One key's state.
#[derive(Clone, Debug)]
struct Entry {
    item: item::Item,
    fact: Known,
}

/// What an item tells, as kept.
#[derive(Clone, Debug)]
enum Known {
    Evacuated(id::Hall),
    Upstream(sync::Arc<discovery::Entry>),
    Node,
    Nothing,
}

/// An item that could not be understood.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// What is wrong.
    pub message: String,
}

/// What a merge changed.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Whether upstreams came, went or changed.
    pub upstreams: bool,
    /// Whether evacuations came or went.
    pub evacuations: bool,
    /// Whether other nodes' entries came or went.
    pub nodes: bool,
    /// Whether a newer configuration came.
    pub routing: bool,
    /// Items that could not be understood; what they replace stays in force.
    pub faults: Vec<Fault>,
}

/// This node's copy of what the store holds.
#[derive(Clone, Debug, Default)]
pub struct Replica {
    entries: collections::BTreeMap<String, Entry>,
    removed: collections::BTreeSet<(u64, String)>,
    routing: Option<sync::Arc<routing::Routing>>,
    at: u64,
    floor: u64,
    is_complete: bool,
}

impl Replica {
    /// Returns the store's revision up to which this copy is complete.
    #[must_use]
    pub fn at(&self) -> u64 {
        self.at
    }

    /// Returns whether a whole copy was ever had.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Returns the newest configuration.
    #[must_use]
    pub fn routing(&self) -> Option<&sync::Arc<routing::Routing>> {
        self.routing.as_ref()
    }

    /// Returns all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = &sync::Arc<discovery::Entry>> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Upstream(upstream) => Some(upstream),
            _ => None,
        })
    }

    /// Returns the evacuated halls.
    pub fn evacuated(&self) -> impl Iterator<Item = &id::Hall> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Evacuated(hall) => Some(hall),
            _ => None,
        })
    }

    /// Returns the values that nodes of this system wrote about themselves, by their keys.
    pub fn nodes(&self) -> impl Iterator<Item = (&str, &[u8])> {
        self.entries.values().filter_map(|entry| match &entry.fact {
            Known::Node => Some((entry.item.key.as_str(), entry.item.value.as_slice())),
            _ => None,
        })
    }

    /// Returns what has changed after `after`; everything when that is no longer known.
    #[must_use]
    pub fn extract(&self, after: u64) -> Extract {
        let is_whole = after < self.floor || after == 0;
        let items = self.entries.values().map(|e| &e.item);
        let mut items: Vec<item::Item> =
            items.filter(|i| is_whole || i.revision > after).cloned().collect();
        if !is_whole {
            let removed =
                self.removed.range((after + 1, String::new())..).map(|(revision, key)| {
                    item::Item {
                        key: key.clone(),
                        value: Vec::new(),
                        revision: *revision,
                        is_removed: true,
                    }
                });
            items.extend(removed);
        }
        Extract { page: item::Page { items, more: false, at: self.at }, is_whole }
    }

    /// Merges what another node told.
    pub fn merge_extract(&mut self, extract: Extract) -> Changes {
        match extract.is_whole {
            true => self.replace(extract.page),
            false => self.merge(extract.page),
        }
    }

    /// Merges changes up to the page's revision.
    pub fn merge(&mut self, page: item::Page) -> Changes {
        let mut changes = Changes::default();
        for item in page.items {
            self.take(item, &mut changes);
        }
        self.at = self.at.max(page.at);
        changes
    }

    /// Merges a whole copy: whatever it lacks, and is not newer, is gone.
    pub fn replace(&mut self, page: item::Page) -> Changes {
        let mut changes = Changes::default();
        let present: collections::BTreeSet<&str> =
            page.items.iter().map(|item| item.key.as_str()).collect();
        let is_gone =
            |e: &&Entry| e.item.revision <= page.at && !present.contains(e.item.key.as_str());
        let gone: Vec<String> =
            self.entries.values().filter(is_gone).map(|e| e.item.key.clone()).collect();
        for key in gone {
            self.remove(&key, page.at, &mut changes);
        }
        // What was removed before is not told by a whole copy.
        self.floor = self.floor.max(page.at);
        let at = page.at;
        for item in page.items {
            self.take(item, &mut changes);
        }
        self.is_complete = true;
        self.at = self.at.max(at);
        changes
    }

    fn take(&mut self, item: item::Item, changes: &mut Changes) {
        if self.entries.get(&item.key).is_some_and(|known| known.item.revision >= item.revision) {
            return;
        }
        // The copy is complete up to its revision: what it lacks of that time was removed since.
        let is_obsolete = self.is_complete && item.revision <= self.at;
        if is_obsolete && !self.entries.contains_key(&item.key) {
            return;
        }
        if item.is_removed {
            self.remove(&item.key, item.revision, changes);
            return;
        }
        let known = match fact::read(&item.key, &item.value) {
            Ok(fact) => self.learn(fact, changes),
            Err(message) => {
                let (key, revision) = (item.key.clone(), item.revision);
                changes.faults.push(Fault { key, revision, message });
                match self.entries.get(&item.key) {
                    Some(before) => before.fact.clone(),
                    None => Known::Nothing,
                }
            }
        };
        self.entries.insert(item.key.clone(), Entry { item, fact: known });
    }

    fn learn(&mut self, fact: fact::Fact, changes: &mut Changes) -> Known {
        match fact {
            fact::Fact::Routing(routing) => {
                let is_newer = self.routing.as_ref().is_none_or(|r| r.version < routing.version);
                if is_newer {
                    self.routing = Some(sync::Arc::new(routing));
                    changes.routing = true;
                }
                Known::Nothing
            }
            fact::Fact::Evacuated(hall) => {
                changes.evacuations = true;
                Known::Evacuated(hall)
            }
            fact::Fact::Upstream(upstream) => {
                changes.upstreams = true;
                Known::Upstream(sync::Arc::new(upstream))
            }
            fact::Fact::Node(_) => {
                changes.nodes = true;
                Known::Node
            }
            fact::Fact::Other => Known::Nothing,
        }
    }

    fn remove(&mut self, key: &str, revision: u64, changes: &mut Changes) {
        if let Some(entry) = self.entries.remove(key) {
            match entry.fact {
                Known::Evacuated(_) => changes.evacuations = true,
                Known::Upstream(_) => changes.upstreams = true,
                Known::Node => changes.nodes = true,
                Known::Nothing => {}
            }
        }
        self.removed.insert((revision, key.to_owned()));
        while self.removed.len() > MOST_REMOVED {
            if let Some((revision, _)) = self.removed.pop_first() {
                self.floor = self.floor.max(revision);
            }
        }
    }
}
