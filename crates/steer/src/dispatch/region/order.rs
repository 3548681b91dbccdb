//! Order of regions for a request: first the one selected by round robin, then the others by
//! descending share.
//!
//! Owns the split and the round-robin state of one [`Scope`]. [`shift`] moves the split, and
//! [`affinity`] provides the regions that an object prefers.

use std::cmp;
use std::time::Instant;

use model::id;

use crate::common::ramp;
use crate::common::round_robin;
use crate::common::split;
use crate::dispatch::affinity;
use crate::dispatch::region::shift;
use crate::dispatch::request;

/// Number of requests by which a region may exceed its share, so that requests for the same object
/// go to the same region.
///
/// With a smaller value, more requests reach an upstream that has not cached their object.
const MAX_LEAD_REQUESTS: f64 = 20.0;

/// Set of requests that share a split: those for one service with the same home regions.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scope {
    /// The service.
    pub service: id::Service,
    /// Regions that may serve the requests; empty means all regions.
    pub home_regions: Vec<id::Region>,
}

impl Scope {
    /// Returns the scope of a request.
    #[must_use]
    pub fn of(request: &request::Request<'_>) -> Self {
        Self { service: request.service.clone(), home_regions: request.homes.to_vec() }
    }
}

/// Split of a scope's requests between regions, with the round-robin state.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    ramp: ramp::Limiter,
    round_robin: round_robin::RoundRobin<id::Region>,
}

impl Rotation {
    /// Returns the current split.
    #[must_use]
    pub fn split(&self) -> &split::Split {
        self.ramp.position()
    }

    /// Moves the split toward `target` within `limit`.
    pub fn advance(&mut self, target: &split::Split, limit: ramp::Limit, now: Instant) {
        shift::advance(&mut self.ramp, target, limit, now);
    }

    /// Returns the order of regions for a request; `allowed` regions without a share come last.
    pub fn order(
        &mut self,
        request: &request::Request<'_>,
        allowed: Vec<id::Region>,
    ) -> Vec<id::Region> {
        let parts = self.ramp.position().parts();
        let mut weights: Vec<(id::Region, f64)> =
            parts.map(|(region, part)| (region.clone(), f64::from(part))).collect();
        let first = self.first(request, &weights);
        weights.sort_by(|a, b| b.1.partial_cmp(&a.1).unwrap_or(cmp::Ordering::Equal));
        let mut order: Vec<id::Region> = first.into_iter().collect();
        for region in weights.into_iter().map(|(region, _)| region).chain(allowed) {
            if !order.contains(&region) {
                order.push(region);
            }
        }
        order
    }

    /// Returns the first region for a request, or `None` for a retry, since the request was counted
    /// against the shares at its first attempt.
    fn first(
        &mut self,
        request: &request::Request<'_>,
        weights: &[(id::Region, f64)],
    ) -> Option<id::Region> {
        match (request.is_first_try(), request.route.is_sticky) {
            (true, true) => {
                let preferred = affinity::rank_regions(request.key, weights);
                self.round_robin.prefer(weights, &preferred, MAX_LEAD_REQUESTS)
            }
            (true, false) => self.round_robin.next(weights),
            (false, _) => None,
        }
    }
}
