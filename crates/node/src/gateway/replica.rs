//! This node's copy of what the store holds, from the store itself or from other nodes.
//!
//! Owns the typed facts by their keys and merges them by the store's revisions, so that copies merge in
//! any order and nothing older replaces what is newer. Relies on [`fact`] to decode an item. An item's
//! bytes stay beside its fact for extracts only: other nodes get them as the store gave them, with digests in place of
//! the keys of organisations.

use std::collections;
use std::sync;

use model::discovery;
use model::fingerprint;
use model::id;
use model::routing;
use platform::fact;
use platform::store::item;
use wire::gateway::extract;

use crate::gateway::kept_ruling;
use crate::gateway::member;

/// Removed keys that are remembered; a node that is further behind gets a whole copy.
///
/// Not measured; it bounds memory while a fleet's entries come and go.
const MOST_REMOVED: usize = 4_096;

/// One key's state.
#[derive(Clone, Debug)]
struct Entry {
    /// As the store gave it, but for keys of organisations; only extracts read its bytes.
    item: item::Item,
    fact: Known,
}

/// A fact in force.
#[derive(Clone, Debug)]
enum Known {
    Evacuated(id::Hall),
    Upstream(sync::Arc<discovery::Entry>),
    Node(Node),
    Ruling(kept_ruling::Entry),
    /// The configuration, which is kept apart, or nothing that a gateway uses.
    Nothing,
}

/// A node of this system that registered in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Its name, by its key.
    pub name: id::Node,
    /// What it wrote about itself; none when that cannot be read.
    pub member: Option<member::Member>,
    /// The lease of its entry; 0 when that is not known.
    pub lease: u64,
}

/// An item that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Its key.
    pub key: String,
    /// Its revision.
    pub revision: u64,
    /// What is wrong.
    pub message: String,
}

impl Fault {
    fn new(item: &item::Item, message: String) -> Self {
        Self { key: item.key.clone(), revision: item.revision, message }
    }
}

/// What a merge changed.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Whether upstreams were added, removed or changed.
    pub upstreams: bool,
    /// Whether evacuations began or ended.
    pub evacuations: bool,
    /// Whether entries of nodes were added, removed or changed.
    pub nodes: bool,
    /// Whether rulings were added, removed or changed.
    pub rulings: bool,
    /// Whether there is a newer configuration.
    pub routing: bool,
    /// Items that could not be read. A configuration or an evacuation that such an item replaces stays in force, an
    /// upstream does not; a node stays registered without what it wrote.
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

    /// Returns what has changed after `after`; everything when that is no longer known.
    #[must_use]
    pub fn extract(&self, after: u64) -> extract::Extract {
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
                        lease: 0,
                    }
                });
            items.extend(removed);
        }
        extract::Extract { page: item::Page { items, more: false, at: self.at, era: 0 }, is_whole }
    }

    /// Merges what another node sent.
    pub fn merge_extract(&mut self, extract: extract::Extract) -> Changes {
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

    /// Merges a whole copy: whatever it lacks, and is not newer, was removed.
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
        // A whole copy does not list what was removed before it.
        self.floor = self.floor.max(page.at);
        let at = page.at;
        for item in page.items {
            self.take(item, &mut changes);
        }
        self.is_complete = true;
        self.at = self.at.max(at);
        changes
    }

    fn take(&mut self, mut item: item::Item, changes: &mut Changes) {
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
        let fact = fact::read(&item.key, &item.value);
        fact::redact(&item.key, &mut item.value);
        let known = match fact {
            Ok(fact) => self.adopt(fact, &item, changes),
            Err(error) => {
                changes.faults.push(Fault::new(&item, error.to_string()));
                self.standing_despite(&item.key, changes)
            }
        };
        self.entries.insert(item.key.clone(), Entry { item, fact: known });
    }

    /// Returns what an item says that cannot be read: what its key said before, but for upstreams.
    ///
    /// An entry that cannot be read is another writer's, and names no upstream to use.
    fn standing_despite(&self, key: &str, changes: &mut Changes) -> Known {
        match self.entries.get(key).map(|before| &before.fact) {
            Some(Known::Upstream(_)) => {
                changes.upstreams = true;
                Known::Nothing
            }
            Some(before) => before.clone(),
            None => Known::Nothing,
        }
    }

    fn adopt(&mut self, fact: fact::Fact, item: &item::Item, changes: &mut Changes) -> Known {
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
            fact::Fact::Node(name) => register(name, item, changes),
            fact::Fact::Ruling(scope) => keep(scope, item, changes),
            fact::Fact::Other => Known::Nothing,
        }
    }

    fn remove(&mut self, key: &str, revision: u64, changes: &mut Changes) {
        if let Some(entry) = self.entries.remove(key) {
            match entry.fact {
                Known::Evacuated(_) => changes.evacuations = true,
                Known::Upstream(_) => changes.upstreams = true,
                Known::Node(_) => changes.nodes = true,
                Known::Ruling(_) => changes.rulings = true,
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

/// Decodes what a node wrote about itself.
fn register(name: id::Node, item: &item::Item, changes: &mut Changes) -> Known {
    changes.nodes = true;
    let member = match serde_json::from_slice(&item.value) {
        Ok(member) => Some(member),
        Err(error) => {
            changes.faults.push(Fault::new(item, error.to_string()));
            None
        }
    };
    Known::Node(Node { name, member, lease: item.lease })
}

/// Decodes a ruling that a node wrote.
fn keep(scope: fingerprint::Scope, item: &item::Item, changes: &mut Changes) -> Known {
    match serde_json::from_slice(&item.value) {
        Ok(kept) => {
            changes.rulings = true;
            Known::Ruling(kept_ruling::Entry { scope, revision: item.revision, kept })
        }
        Err(error) => {
            changes.faults.push(Fault::new(item, error.to_string()));
            Known::Nothing
        }
    }
}
