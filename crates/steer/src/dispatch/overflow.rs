//! Overflow: lets a bounded share of requests leave a congested region.
//!
//! Owns this node's token bucket, which is sized by the fleet-wide `Bounds::greatest_shift`. Compares
//! the time estimates of each region's [`candidate::Candidate`]. Every first attempt refills the
//! bucket; first attempts and retries may both take tokens.

use std::cmp;
use std::time::Duration;

use crate::dispatch::candidate;

/// Fraction of the operator's shift limit that overflow may use; `region::shift` uses another part.
const SHARE_OF_SHIFT_LIMIT: f64 = 0.3;

/// Capacity of the token bucket: a few requests may leave together when a region fills up.
const MAX_BURST_REQUESTS: f64 = 3.0;

/// Queueing time above which a region is congested, as a fraction of the route's target latency.
const CONGESTED_WAIT_FRACTION: f64 = 0.5;

/// Minimum reduction in response time, in seconds, for a request to leave its region.
///
/// Response times are compared, because comparing queueing times makes more requests late near full
/// load.
const MIN_SAVED_SECONDS: f64 = 0.1;

/// Returns whether a region whose best candidate is `best` is congested for a route with this target
/// latency.
#[must_use]
pub fn is_congested(best: &candidate::Candidate, target_latency: Duration) -> bool {
    best.wait.0 > target_latency.as_secs_f64() * CONGESTED_WAIT_FRACTION
}

/// Token bucket of requests that may leave their region.
#[derive(Clone, Copy, Debug, Default)]
pub struct Bucket {
    tokens: f64,
}

impl Bucket {
    /// Adds the tokens for one request under the fleet's `greatest_shift`, a fraction from 0 to 1.
    pub fn refill(&mut self, greatest_shift: f64) {
        self.tokens = (self.tokens + greatest_shift * SHARE_OF_SHIFT_LIMIT).min(MAX_BURST_REQUESTS);
    }

    /// Returns the candidate to use instead of `current` of a congested region, and takes a token
    /// for it.
    ///
    /// Returns `None` if the request stays in its region.
    pub fn choose<'a>(
        &mut self,
        current: &candidate::Candidate,
        others: &'a [candidate::Candidate],
    ) -> Option<&'a candidate::Candidate> {
        let by_latency = |a: &&candidate::Candidate, b: &&candidate::Candidate| {
            a.mean_latency.partial_cmp(&b.mean_latency).unwrap_or(cmp::Ordering::Equal)
        };
        let best = others.iter().min_by(by_latency)?;
        let saves_enough = best.mean_latency.0 + MIN_SAVED_SECONDS < current.mean_latency.0;
        (saves_enough && self.try_take()).then_some(best)
    }

    /// Takes a token for a request that leaves its region; returns false if the bucket is empty.
    pub fn try_take(&mut self) -> bool {
        let has_token = self.tokens >= 1.0;
        if has_token {
            self.tokens -= 1.0;
        }
        has_token
    }
}
