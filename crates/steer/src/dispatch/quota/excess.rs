//! Recent requests that a node admitted beyond its share of a limit.
//!
//! The other nodes deduct this number when they receive the node's first report, so that requests
//! admitted before that report count too.

use std::time::{Duration, Instant};

/// Time constant with which an excess decays: somewhat longer than the first report takes.
///
/// An organisation whose callers all use one node has an excess there although it stays below its
/// limit, so the excess must decay quickly.
const TIME_CONSTANT: Duration = Duration::from_millis(500);

/// Exponentially decaying number of requests beyond the node's share.
#[derive(Clone, Copy, Debug)]
pub struct Excess {
    requests: f64,
    updated_at: Instant,
}

impl Excess {
    /// Creates an excess of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { requests: 0.0, updated_at: now }
    }

    /// Returns the requests beyond `share`, the node's share of the limit in requests per second.
    #[must_use]
    pub fn get(&self, share: f64, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        let remaining = self.requests * (-elapsed / TIME_CONSTANT.as_secs_f64()).exp();
        (remaining - share * elapsed).max(0.0)
    }

    /// Adds admitted requests; a negative `requests` takes some back.
    pub fn add(&mut self, requests: f64, share: f64, now: Instant) {
        self.requests = (self.get(share, now) + requests).max(0.0);
        self.updated_at = now;
    }
}
