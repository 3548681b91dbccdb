//! Affinity: which region and which upstreams an object prefers, since they have it warm.
//!
//! Owns nothing. Rendezvous hashing: every node ranks alike without agreement, and a share or an upstream
//! that changes moves the fewest objects. Called by the order of regions and by [`selection`]; relies on
//! [`expected_processing_time`] for what a run takes where the object was seen.
//!
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time
//! [`selection`]: crate::dispatch::selection

use std::cmp;

use model::id;
use xxhash_rust::xxh3;

use crate::dispatch::expected_processing_time;
use crate::dispatch::seen_objects;

/// Cost of an object's second upstream, as a multiple of the first one's.
///
/// Measured: docs/DECISIONS.md, "What an object's second upstream costs": between 2 and 6 the figures
/// hardly differ, at 1.25 they are 0.03 worse.
const SECOND_COST: f64 = 2.5;

/// Cost of any further upstream, as a multiple of the first one's. Measured with [`SECOND_COST`].
const FURTHER_COST: f64 = 5.0;

/// Cost of another upstream that has seen the object, as a multiple of the first one's.
///
/// Above one, so that objects return to their first upstream and do not fill what others remember. Multiplied by
/// what such runs take longer, as observed, so that it counts for nothing where upstreams forget soon.
/// Measured: 78.8 % to 82 % of the requests in time at upstreams with one slot (`steer/tests/load`), and
/// docs/measurements/worst-load.md, row "upstreams that have seen the object" (1.2, 1.5 and 2 compared).
const SEEN_COST: f64 = 1.5;

/// Returns regions in the order in which an object prefers them.
///
/// Weighted: each region is first for its share of objects.
#[must_use]
pub fn regions(key: u64, weights: &[(id::Region, f64)]) -> Vec<id::Region> {
    let mut scored: Vec<(f64, &id::Region)> = weights
        .iter()
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(region, weight)| (score(key, region, *weight), region))
        .collect();
    scored.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(cmp::Ordering::Equal));
    scored.into_iter().map(|(_, region)| region.clone()).collect()
}

/// Returns the rank value of an upstream for an object; the highest is first.
#[must_use]
pub fn rank(key: u64, upstream: &id::Upstream) -> u64 {
    xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), key)
}

/// Returns the cost of the upstream at `rank` (0 is first), as a multiple of the first one's.
#[must_use]
pub fn cost(is_sticky: bool, rank: usize) -> f64 {
    match (is_sticky, rank) {
        (false, _) | (true, 0) => 1.0,
        (true, 1) => SECOND_COST,
        (true, _) => FURTHER_COST,
    }
}

/// Returns the cost of an upstream that has seen the object and is not its first, as a multiple of the first one's.
#[must_use]
pub fn seen_cost(work: expected_processing_time::ProcessingTimes) -> f64 {
    let first = work.mean_for(seen_objects::Sight::Seen).0.max(f64::EPSILON);
    let elsewhere = work.mean_for(seen_objects::Sight::SeenElsewhere).0;
    SEEN_COST * (elsewhere / first).max(1.0)
}

fn score(key: u64, region: &id::Region, weight: f64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(region.as_str().as_bytes(), key);
    #[expect(clippy::cast_precision_loss, reason = "a uniform number is all that is wanted")]
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}
