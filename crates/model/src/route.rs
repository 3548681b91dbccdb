//! Routes: which requests go to which service, and under which rules.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// What may be done with a route's requests when a try fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// They may run more than once.
    Idempotent,
    /// They may run at most once.
    NonIdempotent,
    /// As [`Kind::NonIdempotent`], with large bodies.
    Upload,
}

impl Kind {
    /// Returns whether a request that may have run may be sent again.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent)
    }
}

/// A service's part of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// Its weight against the route's other parts.
    #[serde(default = "one")]
    pub weight: u32,
}

/// A route, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Its name.
    pub name: id::Route,
    /// The host it matches, without a port; case does not matter.
    pub host: String,
    /// The path prefix it matches; begins and ends with a slash.
    pub prefix: String,
    /// What may be done when a try fails.
    pub repetition: Kind,
    /// Longest time a request is held.
    #[serde(with = "humantime_serde")]
    pub timeout: Duration,
    /// Time within which an answer is wanted.
    #[serde(with = "humantime_serde")]
    pub target_latency: Duration,
    /// Urgency; 0 is the most urgent.
    #[serde(default)]
    pub priority: u32,
    /// Services that share its requests; one or more.
    pub parts: Vec<Part>,
    /// Most upstreams that one request may be sent to.
    #[serde(default = "one")]
    pub max_attempts: u32,
    /// Whether requests about one object should meet the same upstream.
    #[serde(default, rename = "sticky")]
    pub is_sticky: bool,
    /// Regions that may serve it; all when empty.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub home_regions: Vec<id::Region>,
    /// Whether its requests need no key of an organisation.
    #[serde(default, rename = "public", skip_serializing_if = "is_false")]
    pub is_public: bool,
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "the form that serde calls")]
fn is_false(value: &bool) -> bool {
    !value
}

fn one() -> u32 {
    1
}
