//! Organisations: who sends requests, by which keys, how many, and which regions may serve them.

mod index;
mod quota;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::key;

pub use index::Index;
pub use quota::Quota;

/// An organisation, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Its name, which upstreams receive with its requests.
    pub name: id::Organisation,
    /// Digests of its keys; without one it sends nothing.
    #[serde(default)]
    pub keys: Vec<key::Digest>,
    /// Urgency of its requests; 0 is the most urgent. Goes before that of the route.
    #[serde(default)]
    pub priority: u32,
    /// How many requests it may send; any number when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Regions that may serve it; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<id::Region>,
}
