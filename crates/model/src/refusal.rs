//! Refusals: why a configuration was not accepted.

use std::fmt;

use serde::{Deserialize, Serialize};

use crate::revision;

/// Why a change of configuration was refused; nothing of it is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "refused", rename_all = "kebab-case")]
pub enum Refusal {
    /// A rule does not hold; one entry for each field at fault.
    Invalid {
        /// What is wrong where.
        problems: Vec<Problem>,
    },
    /// Another operator's change was accepted first.
    Conflict {
        /// The revision the writer had seen.
        expected: revision::Revision,
        /// The revision that stands.
        found: revision::Revision,
    },
    /// The resource does not exist.
    Missing {
        /// The resource, as kind and name.
        resource: String,
    },
}

/// One rule that does not hold.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// The resource, as kind and name.
    pub resource: String,
    /// The field, as a path with dots.
    pub field: String,
    /// What was expected, for the operator.
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
