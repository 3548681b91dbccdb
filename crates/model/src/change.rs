//! Changes that an operator asks for.
//!
//! A change is accepted whole or refused whole, see [`crate::acceptance`].

use serde::{Deserialize, Serialize};

use crate::resource;
use crate::revision;

/// One step of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "step", rename_all = "kebab-case")]
pub enum Step {
    /// Creates or replaces a resource.
    Put {
        /// The resource.
        resource: resource::Resource,
    },
    /// Deletes a resource.
    Delete {
        /// Its kind.
        kind: resource::Kind,
        /// Its name.
        name: String,
    },
}

/// Steps that are accepted together or not at all.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// The operator's id of the change, to ask about when its answer is lost.
    pub operation: String,
    /// The revision that the operator has seen; any when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expected: Option<revision::Revision>,
    /// The steps, in order.
    pub steps: Vec<Step>,
}
