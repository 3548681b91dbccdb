//! Entries of a copy of the store: each key's item with the fact that it says.

use std::sync;

use model::discovery;
use model::fingerprint;
use model::id;
use model::rollout;
use platform::fact;
use platform::store::item;
use platform::upstream;
use steer::dispatch::fleet::store_restore;

use crate::gateway::kept_ruling;
use crate::gateway::member;
use crate::gateway::replica::changes::{Changes, Fault};

/// One key's state.
#[derive(Clone, Debug)]
pub struct Entry {
    /// As the store gave it, but for keys of organisations; only extracts read its bytes.
    pub item: item::Item,
    /// What it says.
    pub fact: Known,
}

/// A fact in force.
#[derive(Clone, Debug)]
pub enum Known {
    /// Nothing more is to be sent to the upstreams of a hall.
    Evacuated(id::Hall),
    /// A running upstream.
    Upstream(sync::Arc<discovery::Entry>),
    /// A node of this system.
    Node(Node),
    /// Whether requests are held back.
    Ruling(kept_ruling::Entry),
    /// The configuration, which is kept apart, of this version.
    Configuration(u64),
    /// An order to roll out a version.
    RolloutOrder(rollout::Order),
    /// The recorded stage of a roll-out.
    RolloutRecord(rollout::Record),
    /// The number of the fleet, which is kept apart.
    Fleet,
    /// Nothing that a gateway uses.
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
    /// The era in which the store held the entry.
    pub era: u64,
}

impl Entry {
    /// Returns what it says of its own age.
    pub fn content(&self) -> store_restore::Content {
        match &self.fact {
            Known::Upstream(upstream) => of_upstream(upstream, &self.item),
            Known::Configuration(version) => store_restore::Content::Configuration(*version),
            Known::Evacuated(_)
            | Known::Node(_)
            | Known::Ruling(_)
            | Known::RolloutOrder(_)
            | Known::RolloutRecord(_)
            | Known::Fleet
            | Known::Nothing => store_restore::Content::Undated,
        }
    }
}

/// Returns what an item that says `fact` says of its own age.
pub fn content(fact: &fact::Fact, item: &item::Item) -> store_restore::Content {
    match fact {
        fact::Fact::Upstream(upstream) => of_upstream(upstream, item),
        fact::Fact::Routing(routing) => store_restore::Content::Configuration(routing.version),
        _ => store_restore::Content::Undated,
    }
}

fn of_upstream(entry: &discovery::Entry, item: &item::Item) -> store_restore::Content {
    let calls = upstream::calls(&item.value);
    let leaves = entry.state == discovery::State::Draining;
    store_restore::Content::Upstream {
        written: store_restore::Written { born: entry.born, calls },
        leaves,
    }
}

/// Decodes what a node wrote about itself.
pub fn register(name: id::Node, item: &item::Item, changes: &mut Changes) -> Known {
    changes.nodes = true;
    let member = match serde_json::from_slice(&item.value) {
        Ok(member) => Some(member),
        Err(error) => {
            changes.faults.push(Fault::new(item, error.to_string()));
            None
        }
    };
    Known::Node(Node { name, member, lease: item.lease, era: item.era })
}

/// Decodes a ruling that a node wrote.
pub fn keep(scope: fingerprint::Scope, item: &item::Item, changes: &mut Changes) -> Known {
    match serde_json::from_slice(&item.value) {
        Ok(kept) => {
            changes.rulings = true;
            let position = item.position();
            Known::Ruling(kept_ruling::Entry { scope, position, kept })
        }
        Err(error) => {
            changes.faults.push(Fault::new(item, error.to_string()));
            Known::Nothing
        }
    }
}
