//! Eligibility: whether an upstream may take a request, and the reason if it may not.
//!
//! Stateless; depends on the upstream's state, the evacuated halls, the request's [`homes`] and
//! [`slow_start_limit`]. [`selection`] then chooses among the eligible upstreams of a region.
//!
//! [`homes`]: crate::dispatch::homes
//! [`selection`]: crate::dispatch::selection

use std::collections;
use std::time::Instant;

use model::id;

use crate::dispatch::connectivity::{Connectivity, group};
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::rollout;
use crate::dispatch::slow_start_limit;
use crate::dispatch::upstream;

/// Reason why an upstream may not take a request, in evaluation order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Exclusion {
    /// The upstream's region is not among the request's home regions.
    Outside,
    /// The upstream is draining, it announced that it is leaving, its entry has expired, or another
    /// upstream answers at its address.
    Leaving,
    /// The upstream's hall is evacuated.
    Evacuated,
    /// This node cannot connect to the upstream's group.
    Unreached,
    /// The upstream asked this node to send no requests for a while.
    Resting,
    /// The upstream runs a version that does not take the request during a roll-out.
    Version,
    /// The upstream was already chosen for the request.
    Tried,
    /// The upstream is or may be cold, and slow start does not allow this node another request now.
    Cold,
}

/// Inputs to the eligibility check.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// Evacuated halls.
    pub evacuated: &'a collections::BTreeSet<id::Hall>,
    /// Which upstreams this node can connect to.
    pub connectivity: &'a Connectivity,
    /// Versions that may take the request.
    pub versions: &'a rollout::Versions,
    /// What this node may send to upstreams that are or may be cold.
    pub slow_start: slow_start_limit::Rules<'a>,
    /// Current time.
    pub now: Instant,
}

impl Rules<'_> {
    /// Returns why `upstream` may not take `request`, or `None` if it may.
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
            () if self.connectivity.access(upstream, self.now) == group::Access::None => {
                Some(Exclusion::Unreached)
            }
            () if upstream.is_resting(self.now) => Some(Exclusion::Resting),
            () if !self.versions.contains(&upstream.entry) => Some(Exclusion::Version),
            () if request.tried.contains(&upstream.entry.id) => Some(Exclusion::Tried),
            () if !self.slow_start.allows(upstream, self.now) => Some(Exclusion::Cold),
            () => None,
        }
    }

    /// Counts `upstreams` by the reason why they may not take `request`.
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
                Some(Exclusion::Unreached) => counts.unreached += 1,
                Some(Exclusion::Resting) => counts.resting += 1,
                Some(Exclusion::Version) => counts.version += 1,
                Some(Exclusion::Tried) => counts.tried += 1,
                Some(Exclusion::Cold) => counts.cold += 1,
                None => {}
            }
        }
        counts
    }
}

/// Returns whether an upstream currently accepts new requests from this node, whatever the request.
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
