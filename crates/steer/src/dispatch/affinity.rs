//! Affinity: ranks regions and upstreams for an object, so that its requests reach upstreams that
//! already have it cached.
//!
//! Stateless. Rendezvous hashing gives the same ranking on every node without coordination and moves
//! the fewest objects when a share or an upstream changes. Used by [`order`] and [`selection`];
//! [`expected_processing_time`] provides the processing times at upstreams that have seen the
//! object.
//!
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time
//! [`order`]: crate::dispatch::region::order
//! [`selection`]: crate::dispatch::selection

use std::cmp;

use model::id;
use xxhash_rust::xxh3;

use crate::dispatch::expected_processing_time;
use crate::dispatch::seen_objects;

/// Cost of an object's second upstream, as a multiple of the first one's.
///
/// See docs/DECISIONS.md, "What an object's second upstream costs": results hardly differ between 2
/// and 6, and are 0.03 worse at 1.25.
const SECOND_COST_FACTOR: f64 = 2.5;

/// Cost of any further upstream, as a multiple of the first one's.
const FURTHER_COST_FACTOR: f64 = 5.0;

/// Cost of another upstream that has seen the object, as a multiple of the first one's.
///
/// Above one, so that objects return to their first upstream instead of filling the caches of others.
/// Multiplied by the observed slowdown of such requests, so that it has no effect where upstreams
/// evict objects quickly.
const SEEN_COST_FACTOR: f64 = 1.5;

/// Returns the regions with a positive weight in an object's order of preference.
///
/// The fraction of objects that rank a region first is proportional to its weight.
#[must_use]
pub fn rank_regions(key: u64, weights: &[(id::Region, f64)]) -> Vec<id::Region> {
    let mut scored: Vec<(f64, &id::Region)> = weights
        .iter()
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(region, weight)| (region_score(key, region, *weight), region))
        .collect();
    scored.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(cmp::Ordering::Equal));
    scored.into_iter().map(|(_, region)| region.clone()).collect()
}

/// Returns the rendezvous hash of an upstream for an object; the highest is preferred.
#[must_use]
pub fn upstream_score(key: u64, upstream: &id::Upstream) -> u64 {
    xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), key)
}

/// Returns the cost of the upstream at `rank` (0 is the first), as a multiple of the first one's.
#[must_use]
pub fn cost(is_sticky: bool, rank: usize) -> f64 {
    match (is_sticky, rank) {
        (false, _) | (true, 0) => 1.0,
        (true, 1) => SECOND_COST_FACTOR,
        (true, _) => FURTHER_COST_FACTOR,
    }
}

/// Returns the cost of an upstream that has seen the object but is not its first, as a multiple of
/// the first one's.
#[must_use]
pub fn seen_cost(work: expected_processing_time::ProcessingTimes) -> f64 {
    let first = work.mean_for(seen_objects::Familiarity::Seen).0.max(f64::EPSILON);
    let elsewhere = work.mean_for(seen_objects::Familiarity::SeenElsewhere).0;
    SEEN_COST_FACTOR * (elsewhere / first).max(1.0)
}

fn region_score(key: u64, region: &id::Region, weight: f64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(region.as_str().as_bytes(), key);
    #[expect(clippy::cast_precision_loss, reason = "only needs to be uniformly distributed")]
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}
