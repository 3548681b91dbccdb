//! Rate: how many requests came a second, lately.

use std::time::{Duration, Instant};

/// Time in which what came before loses most of its weight.
///
/// Not measured; a tenth of it is the time between two reports, and a few requests in it still make a rate.
const MEMORY: Duration = Duration::from_secs(1);

/// Requests a second, weighted to the latest.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    rate: f64,
    at: Instant,
}

impl Rate {
    /// Starts at zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { rate: 0.0, at: now }
    }

    /// Records a request.
    pub fn add(&mut self, now: Instant) {
        self.rate = self.get(now) + 1.0 / MEMORY.as_secs_f64();
        self.at = now;
    }

    /// Returns the requests a second.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at).as_secs_f64();
        self.rate * (-age / MEMORY.as_secs_f64()).exp()
    }
}
