//! The attributes of a request that decide which upstream serves it.
//!
//! Borrowed from the gateway for one choice of an upstream.

use std::time::Duration;

use model::id;
use model::route;

use crate::dispatch::reservation;
use crate::dispatch::urgency;

/// A request that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The matched route.
    pub route: &'a route::Route,
    /// The service of the route that was picked for the request.
    pub service: &'a id::Service,
    /// Hash of the request's object, or of the request itself if it has no object.
    pub key: u64,
    /// Upstreams chosen by earlier attempts.
    pub tried: &'a [id::Upstream],
    /// Halls in which an earlier attempt got no response; upstreams of others are preferred.
    pub failed_halls: &'a [id::Hall],
    /// Time until the deadline.
    pub time_left: Duration,
    /// Regions that may serve the request; empty means all regions.
    pub homes: &'a [id::Region],
    /// Urgency of the request.
    pub urgency: urgency::Urgency,
    /// What a return of the caller is recognised by; `None` if no room is reserved for it.
    pub caller: Option<reservation::Caller>,
}

impl Request<'_> {
    /// Returns whether no upstream was chosen for the request before.
    #[must_use]
    pub fn is_first_try(&self) -> bool {
        self.tried.is_empty()
    }
}
