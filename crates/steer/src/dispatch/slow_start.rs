//! Slow start: limits the request rate to a cold upstream.
//!
//! Each cold upstream has a token bucket with the service's `cold_rate`, for the remaining cold
//! time that service discovery lists. [`slow_start_owner`] determines the only node that may send
//! to it.
//!
//! [`slow_start_owner`]: crate::dispatch::slow_start_owner

use std::time::{Duration, Instant};

use model::id;
use model::routing;

/// Share of the service's cold rate that is used.
///
/// The margin covers short periods in which two nodes both consider themselves the owner.
const USED_SHARE: f64 = 0.75;

/// Capacity of the token bucket, in requests.
const BURST_REQUESTS: f64 = 2.0;

/// Time for which an upstream is treated as cold beyond its listed cold time.
///
/// Covers the delay until the discovery entry reaches this node.
const COLD_TIME_MARGIN: Duration = Duration::from_millis(300);

/// Returns the maximum requests per second of a cold upstream of `service`, or `None` if unlimited.
#[must_use]
pub fn rate(routing: &routing::Routing, service: &id::Service) -> Option<f64> {
    routing.services.get(service).and_then(|rules| rules.cold_rate)
}

/// Rate limiter for a cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    until: Option<Instant>,
    tokens: f64,
    updated: Instant,
}

impl Limiter {
    /// Creates the limiter of a warm upstream, with a full bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { until: None, tokens: BURST_REQUESTS, updated: now }
    }

    /// Marks the upstream as cold for at least `time` from `now`; zero changes nothing.
    pub fn set_cold(&mut self, time: Duration, now: Instant) {
        if time.is_zero() {
            return;
        }
        let until = now + time + COLD_TIME_MARGIN;
        self.until = Some(self.until.map_or(until, |previous| previous.max(until)));
    }

    /// Returns whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether the bucket holds a token, at `rate` requests per second.
    #[must_use]
    pub fn has_room(&self, rate: f64, now: Instant) -> bool {
        self.available_tokens(rate, now) >= 1.0
    }

    /// Takes one token, at `rate` requests per second.
    pub fn take(&mut self, rate: f64, now: Instant) {
        self.tokens = (self.available_tokens(rate, now) - 1.0).max(0.0);
        self.updated = now;
    }

    fn available_tokens(&self, rate: f64, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + age * rate * USED_SHARE).min(BURST_REQUESTS)
    }
}
