//! Routes: rules that map requests to services and set their timeouts, retries and priorities.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// How the requests of a route may be retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Requests may run more than once.
    Idempotent,
    /// Requests must run at most once.
    NonIdempotent,
    /// Like [`Kind::NonIdempotent`], for requests with large bodies.
    Upload,
}

impl Kind {
    /// Returns whether a request that may have run may be retried.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// A service's part in the traffic split of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// Service that gets the requests.
    pub service: id::Service,
    /// Weight relative to the other parts of the route.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A route as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name of the route.
    pub name: id::Route,
    /// Host to match, without a port and ignoring case.
    pub host: String,
    /// Path prefix to match; starts and ends with a slash.
    pub prefix: String,
    /// How requests may be retried.
    pub repetition: Kind,
    /// Longest time that a request may take.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Target for the response time.
    #[serde(with = "humantime_serde")]
    pub target_latency: Duration,
    /// Priority, 0 being the highest.
    #[serde(default)]
    pub priority: u32,
    /// Services that share the requests of the route; at least one.
    pub parts: Vec<Part>,
    /// Maximum number of upstreams that one request may be sent to.
    #[serde(default = "one")]
    pub max_attempts: u32,
    /// Whether requests for the same object should go to the same upstream.
    #[serde(default, rename = "sticky")]
    pub is_sticky: bool,
    /// Regions that may serve the route; any region when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<id::Region>,
    /// Whether requests need no key of an organisation.
    #[serde(default, rename = "public", skip_serializing_if = "is_false")]
    pub is_public: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes the field by reference")]
fn is_false(value: &bool) -> bool {
    !value
}

fn one() -> u32 {
    1
}
