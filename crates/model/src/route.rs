//! Routes: which requests go to which service, and under which rules.

use std::time::Duration;

use crate::id;

/// What may be done with a route's requests when a try fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
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
#[derive(Clone, Debug, PartialEq)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// Its weight against the route's other parts.
    pub weight: f64,
}

/// A route, as its operator declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Its name.
    pub name: String,
    /// The host it matches, in lower case and without a port.
    pub host: String,
    /// The path prefix it matches; begins and ends with a slash.
    pub prefix: String,
    /// What may be done when a try fails.
    pub kind: Kind,
    /// Longest time a request is held.
    pub timeout: Duration,
    /// Time within which an answer is wanted.
    pub target_latency: Duration,
    /// Urgency; 0 is the most urgent.
    pub priority: u32,
    /// Services that share its requests; one or more.
    pub parts: Vec<Part>,
    /// Most upstreams that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests about one object should meet the same upstream.
    pub is_sticky: bool,
    /// Regions that may serve it; all when empty.
    pub home_regions: Vec<id::Region>,
}
