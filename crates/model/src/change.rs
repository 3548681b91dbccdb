//! Configuration changes that operators submit.
//!
//! A change is atomic: [`crate::acceptance`] applies all of its steps or none.

use serde::{Deserialize, Serialize};

use crate::resource;
use crate::revision;

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// Creates or replaces a resource.
    Put {
        /// The new declaration.
        resource: resource::Resource,
    },
    /// Deletes a resource.
    Delete {
        /// Kind of the resource.
        kind: resource::Kind,
        /// Name of the resource.
        name: String,
    },
}

/// A list of steps that is applied atomically.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Id that the operator gives the change; identifies it in a query when the response was lost.
    pub operation: String,
    /// Revision that the change is based on; the change is refused if it is not the current one.
    /// Not checked when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<revision::Revision>,
    /// Steps in the order in which they are applied.
    pub steps: Vec<Step>,
}
