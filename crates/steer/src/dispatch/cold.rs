//! Cold upstreams: one node alone sends to each, at less than the rate that it bears.

use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

/// Part of the rate that is used, so that two nodes that both believe themselves the owner stay
/// inside what is allowed.
const USED: f64 = 0.75;

/// Requests that may be sent at once.
const BURST: f64 = 2.0;

/// Time for which an upstream counts as cold beyond what was told.
const MARGIN: Duration = Duration::from_millis(300);

/// Limits what a cold upstream is sent.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    until: Option<Instant>,
    tokens: f64,
    filled: Instant,
}

impl Limiter {
    /// Starts warm.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { until: None, tokens: BURST, filled: now }
    }

    /// Notes that the upstream is cold for `left` more.
    pub fn cold_for(&mut self, left: Duration, now: Instant) {
        if left.is_zero() {
            return;
        }
        let until = now + left + MARGIN;
        self.until = Some(self.until.map_or(until, |before| before.max(until)));
    }

    /// Returns whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether one more request may be sent at `rate` a second.
    #[must_use]
    pub fn has_room(&self, rate: f64, now: Instant) -> bool {
        self.tokens_at(rate, now) >= 1.0
    }

    /// Takes the room of one request.
    pub fn take(&mut self, rate: f64, now: Instant) {
        self.tokens = (self.tokens_at(rate, now) - 1.0).max(0.0);
        self.filled = now;
    }

    fn tokens_at(&self, rate: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.filled).as_secs_f64();
        (self.tokens + age * rate * USED).min(BURST)
    }
}

/// Returns the node that alone may send to cold upstream `upstream`.
pub fn owner<'a>(
    upstream: &id::Upstream,
    nodes: impl Iterator<Item = &'a id::Node>,
) -> Option<&'a id::Node> {
    let seed = xxh3::xxh3_64(upstream.as_str().as_bytes());
    nodes.max_by_key(|node| xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed))
}
