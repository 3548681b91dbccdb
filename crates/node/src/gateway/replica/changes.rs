//! Changes: what a merge changed in a copy of the store, and which items could not be read.

use std::collections;

use model::id;
use platform::store::item;

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
    pub(super) fn new(item: &item::Item, message: String) -> Self {
        Self { key: item.key.clone(), revision: item.revision, message }
    }
}

/// What a merge changed.
#[derive(Clone, Debug, Default)]
pub struct Changes {
    /// Upstreams that were added, removed or changed.
    pub upstreams: collections::BTreeSet<id::Upstream>,
    /// Whether evacuations began or ended.
    pub evacuations: bool,
    /// Whether entries of nodes were added, removed or changed.
    pub nodes: bool,
    /// Whether rulings were added, removed or changed.
    pub rulings: bool,
    /// Whether orders to roll out a version, or recorded stages, were added, removed or changed.
    pub rollouts: bool,
    /// Whether there is a newer configuration.
    pub routing: bool,
    /// Items that could not be read. A configuration or an evacuation that such an item replaces stays in force, an
    /// upstream does not; a node stays registered without what it wrote.
    pub faults: Vec<Fault>,
}
