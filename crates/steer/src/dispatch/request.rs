//! A request as the rules see it.
//!
//! Owns nothing; borrowed from the gateway for one choice of an upstream.

use std::time::Duration;

use model::id;
use model::route;

use crate::dispatch::urgency;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its route.
    pub route: &'a route::Route,
    /// The service of the route that answers it.
    pub service: &'a id::Service,
    /// Hash of its object; of the request itself when it has none.
    pub key: u64,
    /// Upstreams chosen for it before.
    pub tried: &'a [id::Upstream],
    /// Time until its deadline.
    pub time_left: Duration,
    /// Regions that may serve it; all when empty.
    pub homes: &'a [id::Region],
    /// How urgent it is.
    pub urgency: urgency::Urgency,
}

impl Request<'_> {
    /// Returns whether no upstream was chosen for it before.
    #[must_use]
    pub fn is_first_try(&self) -> bool {
        self.tried.is_empty()
    }
}
