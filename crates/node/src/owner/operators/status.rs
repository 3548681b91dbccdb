//! The standing of resources and operations, as operators see it.

use model::id;
use model::resource;
use model::revision;
use serde::{Deserialize, Serialize};

use crate::owner::view;

/// A resource with its standing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// The revision that last changed it.
    pub revision: revision::Revision,
    /// Whether that revision is in force on every live node.
    pub in_force: bool,
    /// The live nodes that have an older one.
    pub lagging: Vec<id::Node>,
    /// The declaration.
    pub resource: resource::Resource,
}

/// What became of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Operation {
    /// The operation's id.
    pub operation: String,
    /// The revision that it made.
    pub revision: revision::Revision,
    /// Whether that revision is in force on every live node.
    pub in_force: bool,
    /// The live nodes that have an older one.
    pub lagging: Vec<id::Node>,
}

impl Item {
    /// Makes the item of a resource that `view` holds.
    #[must_use]
    pub fn new(
        view: &view::View,
        revision: revision::Revision,
        resource: resource::Resource,
    ) -> Self {
        let lagging = view.lagging.clone();
        Self { revision, in_force: lagging.is_empty(), lagging, resource }
    }
}

impl Operation {
    /// Finds an operation in what `view` holds.
    #[must_use]
    pub fn find(view: &view::View, operation: &str) -> Option<Self> {
        let revision = view.config.snapshot.operation(operation)?;
        let lagging = view.lagging.clone();
        let in_force = lagging.is_empty();
        Some(Self { operation: operation.to_owned(), revision, in_force, lagging })
    }
}
