//! Eligibility: whether an upstream may take a request at all, and why not.
//!
//! Owns nothing. Relies on the upstream's state, the evacuated halls, the request's [`homes`] and
//! [`slow_start`]. [`selection`] then picks among the eligible upstreams of a region.
//!
//! [`homes`]: crate::dispatch::homes
//! [`selection`]: crate::dispatch::selection

use std::collections;
use std::time::Instant;

use model::id;
use model::routing;

use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::slow_start;
use crate::dispatch::upstream;

/// Why an upstream may not take a request, in the order in which the reasons are checked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// Its region may not serve the request.
    Outside,
    /// It drains, it said that it leaves, its entry has vanished for good, or another upstream has its address.
    Leaving,
    /// Its hall is evacuated.
    Evacuated,
    /// It wants no requests from this node for now.
    Resting,
    /// The request was sent to it before.
    Tried,
    /// It is cold, and this node may not send it one more request now.
    Cold,
}

/// What decides whether upstreams are eligible.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// Evacuated halls.
    pub evacuated: &'a collections::BTreeSet<id::Hall>,
    /// Configuration in force.
    pub routing: &'a routing::Routing,
    /// The present.
    pub now: Instant,
}

impl Rules<'_> {
    /// Returns why `upstream` may not take `request`; none when it may.
    #[must_use]
    pub fn exclusion(
        &self,
        upstream: &upstream::Upstream,
        request: &request::Request<'_>,
    ) -> Option<Exclusion> {
        let homes = request.homes;
        match () {
            () if !homes.is_empty() && !homes.contains(&upstream.region) => {
                Some(Exclusion::Outside)
            }
            () if !upstream.is_usable(self.now) => Some(Exclusion::Leaving),
            () if self.evacuated.contains(&upstream.entry.hall) => Some(Exclusion::Evacuated),
            () if upstream.is_resting(self.now) => Some(Exclusion::Resting),
            () if request.tried.contains(&upstream.entry.id) => Some(Exclusion::Tried),
            () if !self.may_warm(upstream) => Some(Exclusion::Cold),
            () => None,
        }
    }

    /// Counts `upstreams` by why they may not take `request`.
    pub fn count<'a>(
        &self,
        upstreams: impl Iterator<Item = &'a upstream::Upstream>,
        request: &request::Request<'_>,
    ) -> refusal::Exclusions {
        let mut counts = refusal::Exclusions::default();
        for upstream in upstreams {
            counts.known += 1;
            match self.exclusion(upstream, request) {
                Some(Exclusion::Outside) => counts.outside += 1,
                Some(Exclusion::Leaving) => counts.leaving += 1,
                Some(Exclusion::Evacuated) => counts.evacuated += 1,
                Some(Exclusion::Resting) => counts.resting += 1,
                Some(Exclusion::Tried) => counts.tried += 1,
                Some(Exclusion::Cold) => counts.cold += 1,
                None => {}
            }
        }
        counts
    }

    /// Returns whether slow start lets this node send one more request to `upstream`.
    fn may_warm(&self, upstream: &upstream::Upstream) -> bool {
        if !upstream.slow_start.is_cold(self.now) {
            return true;
        }
        match slow_start::rate(self.routing, &upstream.entry.service) {
            None => true,
            Some(rate) => upstream.is_owned && upstream.slow_start.has_room(rate, self.now),
        }
    }
}

/// Returns whether an upstream takes new work of this node now, whatever the request.
#[must_use]
pub fn takes_work(
    upstream: &upstream::Upstream,
    evacuated: &collections::BTreeSet<id::Hall>,
    now: Instant,
) -> bool {
    upstream.is_usable(now)
        && !upstream.is_resting(now)
        && !evacuated.contains(&upstream.entry.hall)
}
