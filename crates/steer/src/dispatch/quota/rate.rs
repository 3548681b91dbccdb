//! Exponentially decaying request rate.

use std::time::{Duration, Instant};

/// Requests per second, as an exponentially decaying average.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    rate: f64,
    updated_at: Instant,
    time_constant: Duration,
}

impl Rate {
    /// Creates a rate of zero; the weight of a request falls to 1/e within `time_constant`.
    #[must_use]
    pub fn new(time_constant: Duration, now: Instant) -> Self {
        Self { rate: 0.0, updated_at: now, time_constant }
    }

    /// Adds requests; a negative `requests` takes back some that were added recently.
    pub fn add(&mut self, requests: f64, now: Instant) {
        self.rate = (self.get(now) + requests / self.time_constant.as_secs_f64()).max(0.0);
        self.updated_at = now;
    }

    /// Returns the requests per second.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.updated_at).as_secs_f64();
        self.rate * (-elapsed / self.time_constant.as_secs_f64()).exp()
    }
}
