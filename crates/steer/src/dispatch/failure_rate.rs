//! Failure rate: exponentially weighted share of an upstream's attempts that failed.
//!
//! The rate raises the upstream's cost in [`selection`], so that an object moves away from an
//! upstream that keeps failing. It decays over time, so that the upstream is tried again.
//!
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

/// Weight of one attempt in the rate.
const ATTEMPT_WEIGHT: f64 = 0.15;

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// Weighted share of failed attempts, from 0 to 1.
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

    /// Records an attempt with a valid response.
    pub fn record_success(&mut self, now: Instant) {
        self.rate = self.get(now) * (1.0 - ATTEMPT_WEIGHT);
        self.updated = now;
    }

    /// Records an attempt whose connection failed or whose response was invalid.
    pub fn record_failure(&mut self, now: Instant) {
        let previous = self.get(now);
        self.rate = previous + (1.0 - previous) * ATTEMPT_WEIGHT;
        self.updated = now;
    }

    /// Returns the decayed rate at `now`.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        self.rate * (-age / DECAY_TIME.as_secs_f64()).exp()
    }
}
