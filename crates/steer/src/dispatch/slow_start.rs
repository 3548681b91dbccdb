//! Slow start: limits the request rate to a cold upstream.
//!
//! Each upstream of a service with a `cold_rate` has a token bucket. [`slow_start_limit`] determines what a node may
//! send to an upstream.
//!
//! [`slow_start_limit`]: crate::dispatch::slow_start_limit

use std::time::{Duration, Instant};

use model::id;
use model::routing;

/// Share of the service's cold rate that is used.
///
/// The margin covers short periods in which two nodes both consider themselves the owner.
const USED_SHARE: f64 = 0.75;

/// Capacity of the token bucket, in requests.
pub const BURST_REQUESTS: f64 = 2.0;

/// Time for which an upstream is treated as cold beyond its listed cold time.
///
/// Covers the delay until the discovery entry reaches this node.
const COLD_TIME_MARGIN: Duration = Duration::from_millis(300);

/// What a token bucket lets through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Tokens per second.
    pub rate: f64,
    /// Capacity of the bucket.
    pub burst: f64,
}

impl Allowance {
    /// Returns what the owner of a cold upstream sends at its service's `cold_rate`, in requests per
    /// second.
    #[must_use]
    pub fn of_owner(cold_rate: f64) -> Self {
        Self { rate: cold_rate * USED_SHARE, burst: BURST_REQUESTS }
    }

    /// Returns the most requests that this lets through within one second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.rate + self.burst
    }
}

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

    /// Returns whether the bucket holds a token.
    #[must_use]
    pub fn has_room(&self, allowance: Allowance, now: Instant) -> bool {
        self.available_tokens(allowance, now) >= 1.0
    }

    /// Takes one token.
    pub fn take(&mut self, allowance: Allowance, now: Instant) {
        self.tokens = (self.available_tokens(allowance, now) - 1.0).max(0.0);
        self.updated = now;
    }

    fn available_tokens(&self, allowance: Allowance, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + age * allowance.rate).min(allowance.burst)
    }
}
