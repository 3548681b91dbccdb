//! Order of regions for one request: the one whose turn it is, then the others by their share.
//!
//! Owns the split and the rotation of one [`Scope`]. Relies on [`shift`] to move the split and on
//! [`affinity`] for the region that an object prefers.

use std::cmp;
use std::time::Instant;

use model::id;

use crate::common::ramp;
use crate::common::round_robin;
use crate::common::split;
use crate::dispatch::affinity;
use crate::dispatch::region::shift;
use crate::dispatch::request;

/// Requests by which a region may exceed its share, so that requests for one object go there together.
///
/// Measured: docs/measurements/platform.md, row "objects keep their region" (0.776 to 0.943 and 0.869 to
/// 0.970), and docs/measurements/worst-load.md, row "a longer lead" (5, 20 and 60 compared; with 5,
/// 1.42 % of the runs are of objects new to their upstream, with 20 1.33 %, `steer/tests/load`).
const MAX_LEAD: f64 = 20.0;

/// Requests that share a split: those for a service that the same regions may serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scope {
    /// The service.
    pub service: id::Service,
    /// Regions that may serve it; all when empty.
    pub home_regions: Vec<id::Region>,
}

impl Scope {
    /// Returns the scope of a request.
    #[must_use]
    pub fn of(request: &request::Request<'_>) -> Self {
        Self { service: request.service.clone(), home_regions: request.homes.to_vec() }
    }
}

/// The split of a scope's requests over regions, and whose turn it is.
#[derive(Clone, Debug, Default)]
pub struct Rotation {
    ramp: ramp::Limiter,
    round_robin: round_robin::RoundRobin<id::Region>,
}

impl Rotation {
    /// Returns the split in force.
    #[must_use]
    pub fn split(&self) -> &split::Split {
        self.ramp.position()
    }

    /// Moves the split toward `target` within `limit`.
    pub fn advance(&mut self, target: &split::Split, limit: ramp::Limit, now: Instant) {
        shift::advance(&mut self.ramp, target, limit, now);
    }

    /// Returns the order of regions for a request; ends with the `allowed` ones without a share.
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

    /// Returns the region whose turn it is; none for a retry, whose first try took the turn.
    fn first(
        &mut self,
        request: &request::Request<'_>,
        weights: &[(id::Region, f64)],
    ) -> Option<id::Region> {
        match (request.is_first_try(), request.route.is_sticky) {
            (true, true) => {
                let preferred = affinity::regions(request.key, weights);
                self.round_robin.prefer(weights, &preferred, MAX_LEAD)
            }
            (true, false) => self.round_robin.next(weights),
            (false, _) => None,
        }
    }
}
