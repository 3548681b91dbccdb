//! Refusals: the reasons for rejecting a configuration change.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::revision;

/// The reason why a configuration change was refused. No part of a refused change takes effect.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "kebab-case")]
pub enum Refusal {
    /// The resulting configuration violates rules.
    Invalid {
        /// The violations, one for each invalid field.
        problems: Vec<Problem>,
    },
    /// The change is based on a revision that is not the current one.
    Conflict {
        /// Revision that the change is based on.
        expected: revision::Revision,
        /// Current revision.
        found: revision::Revision,
    },
    /// A resource to delete does not exist.
    Missing {
        /// Kind and name of the resource.
        resource: String,
    },
}

/// A violated rule.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// Kind and name of the resource.
    pub resource: String,
    /// Dotted path of the invalid field.
    pub field: String,
    /// Message for the operator, such as what was expected.
    pub message: String,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}: {}", self.resource, self.field, self.message)
    }
}

impl fmt::Display for Refusal {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Invalid { problems } => {
                let lines: Vec<String> = problems.iter().map(ToString::to_string).collect();
                f.write_str(&lines.join("; "))
            }
            Self::Conflict { expected, found } => {
                write!(f, "expected revision {expected}, but revision {found} stands")
            }
            Self::Missing { resource } => write!(f, "{resource} does not exist"),
        }
    }
}

impl std::error::Error for Refusal {}
