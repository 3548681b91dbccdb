//! Rate: how many requests came a second, lately.

use std::time::{Duration, Instant};

/// Requests a second, weighted to the latest: each fades with the memory.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    rate: f64,
    at: Instant,
    memory: Duration,
}

impl Rate {
    /// Starts at zero; what came `memory` ago has lost most of its weight.
    #[must_use]
    pub fn new(memory: Duration, now: Instant) -> Self {
        Self { rate: 0.0, at: now, memory }
    }

    /// Records requests; takes some back that were recorded lately where `requests` is negative.
    pub fn add(&mut self, requests: f64, now: Instant) {
        self.rate = (self.get(now) + requests / self.memory.as_secs_f64()).max(0.0);
        self.at = now;
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-age / self.memory.as_secs_f64()).exp()
    }
}
