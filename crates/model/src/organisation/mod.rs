//! Organisations: tenants with their API keys, quotas, priorities and allowed regions.

mod index;
mod quota;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::key;

pub use index::Index;
pub use quota::Quota;

/// An organisation as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Organisation {
    /// Unique name, which is passed to upstreams with the organisation's requests.
    pub name: id::Organisation,
    /// Digests of its keys; an organisation without keys cannot send requests.
    #[serde(default)]
    pub keys: Vec<key::Digest>,
    /// Priority of its requests, 0 being the highest. Takes precedence over the route's priority.
    #[serde(default)]
    pub priority: u32,
    /// Limit on its requests; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub quota: Option<Quota>,
    /// Regions that may serve its requests; any region when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<id::Region>,
}
