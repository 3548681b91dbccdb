//! Services: named groups of upstreams with their timeouts and retry rules.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::upstream;

/// Deadline of a request if neither the caller nor the service sets one.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(5);

/// Time that a request may wait for a slot if its service sets none.
const DEFAULT_HOLD: Duration = Duration::from_millis(500);

/// A service as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// Unique name of the service.
    pub name: id::Service,
    /// Host name that callers request.
    pub host: String,
    /// Longest time that a request may take; callers may set a shorter one.
    #[serde(default = "deadline", with = "humantime_serde")]
    pub deadline: Duration,
    /// Longest time that a request may wait for a slot.
    #[serde(default = "hold", with = "humantime_serde")]
    pub hold: Duration,
    /// Requests that may be retried even if they may have run.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub repeatable: Vec<Pattern>,
    /// Requests that must run at most once and need a ticket.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub once: Vec<Pattern>,
    /// HTTP statuses that prove that the upstream did not run the request.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shed: Vec<u16>,
    /// Path at which upstreams serve their health and load report.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub report: Option<String>,
    /// Upstreams of the service.
    pub upstreams: Vec<upstream::Upstream>,
}

impl Service {
    /// Returns the conditions for retrying a request.
    #[must_use]
    pub fn retry_policy(&self, method: &str, path: &str) -> RetryPolicy {
        let matches_any = |patterns: &[Pattern]| patterns.iter().any(|p| p.matches(method, path));
        match () {
            () if matches_any(&self.once) => RetryPolicy::Ticketed,
            () if matches_any(&self.repeatable) => RetryPolicy::Idempotent,
            () => RetryPolicy::NonIdempotent,
        }
    }
}

/// The conditions for sending a request again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryPolicy {
    /// May be sent again within the retry budget, even if it may have run.
    Idempotent,
    /// May be sent again only if it provably did not run.
    NonIdempotent,
    /// May be sent again only if it provably did not run, and only with the same ticket.
    Ticketed,
}

/// Matches requests by method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Pattern {
    /// HTTP method in upper case.
    pub method: String,
    /// Path prefix.
    #[serde(default = "root")]
    pub path: String,
}

impl Pattern {
    fn matches(&self, method: &str, path: &str) -> bool {
        self.method == method && path.starts_with(&self.path)
    }
}

fn deadline() -> Duration {
    DEFAULT_DEADLINE
}

fn hold() -> Duration {
    DEFAULT_HOLD
}

fn root() -> String {
    "/".to_owned()
}
