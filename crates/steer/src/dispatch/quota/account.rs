//! State that a node keeps for one organisation or upstream with a limit.
//!
//! Used only by [`Quotas`](super::Quotas).

use std::time::{Duration, Instant};

use model::organisation;

use crate::dispatch::quota::bucket;
use crate::dispatch::quota::excess;
use crate::dispatch::quota::rate;
use crate::dispatch::quota::usage;

/// Rates and token bucket of one organisation or upstream with a limit.
#[derive(Clone, Debug)]
pub struct Account {
    /// Name of the organisation; empty for an upstream.
    pub name: String,
    /// Rate limit and burst.
    pub quota: organisation::Quota,
    /// Requests per second that reach this node.
    pub asked: rate::Rate,
    /// Requests per second that this node admits.
    pub admitted: rate::Rate,
    /// Recent requests that this node admitted beyond its share.
    pub excess: excess::Excess,
    /// Requests that the fleet may still admit.
    pub bucket: bucket::Bucket,
}

impl Account {
    /// Creates an account without requests; `seed` differs between nodes and organisations, and the
    /// demand decays with `time_constant`.
    #[must_use]
    pub fn new(
        name: String,
        quota: organisation::Quota,
        seed: u64,
        time_constant: Duration,
        now: Instant,
    ) -> Self {
        Self {
            name,
            quota,
            asked: rate::Rate::new(time_constant, now),
            admitted: rate::Rate::new(usage::TIME_CONSTANT, now),
            excess: excess::Excess::new(now),
            bucket: bucket::Bucket::new(seed, now),
        }
    }

    /// Records admitted requests; a negative `requests` takes some back. `share` is this node's
    /// share of the limit in requests per second.
    pub fn admit(&mut self, requests: f64, share: f64, now: Instant) {
        self.bucket.deduct(requests);
        self.admitted.add(requests, now);
        self.excess.add(requests, share, now);
    }
}
