//! Failure rate: the share of an upstream's tries that break, weighted to the latest.
//!
//! Owns the rate of one upstream. Raises the upstream's cost in [`selection`], so that an object leaves
//! one that keeps failing; fades with time, so that the upstream is tried again.
//!
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

/// Weight of one try in the rate. Not measured.
const TRY_WEIGHT: f64 = 0.15;

/// Time in which the rate loses most of its weight.
///
/// Measured: docs/measurements/platform.md, row "failures and silence fade" (taf 0.968 to 0.989, together
/// with the end of silence); other times were not measured.
const MEMORY: Duration = Duration::from_secs(5);

/// Share of tries that broke, from 0 to 1.
#[derive(Clone, Copy, Debug)]
pub struct FailureRate {
    rate: f64,
    updated: Instant,
}

impl FailureRate {
    /// Starts without failures.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { rate: 0.0, updated: now }
    }

    /// Records a try that was answered.
    pub fn record_success(&mut self, now: Instant) {
        self.rate = self.get(now) * (1.0 - TRY_WEIGHT);
        self.updated = now;
    }

    /// Records a try whose answer or connection broke.
    pub fn record_failure(&mut self, now: Instant) {
        let before = self.get(now);
        self.rate = before + (1.0 - before) * TRY_WEIGHT;
        self.updated = now;
    }

    /// Returns the rate at `now`.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-age / MEMORY.as_secs_f64()).exp()
    }
}
