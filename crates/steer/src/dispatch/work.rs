//! Time that upstreams of a service work on a request, without waiting.

/// Weight of one answer in the estimates.
const WEIGHT: f64 = 0.02;

/// Time that is assumed until a service has answered, in seconds.
const FIRST: f64 = 0.25;

/// Deviations above the mean that a careful estimate takes.
const CAUTION: f64 = 1.0;

/// Mean and mean deviation of the time of work, in seconds.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    mean: f64,
    deviation: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self { mean: FIRST, deviation: FIRST / 2.0 }
    }
}

impl Work {
    /// Notes one request's time of work.
    pub fn note(&mut self, seconds: f64) {
        let error = seconds - self.mean;
        self.mean += error * WEIGHT;
        self.deviation += (error.abs() - self.deviation) * WEIGHT;
    }

    /// Returns the mean.
    #[must_use]
    pub fn mean(&self) -> f64 {
        self.mean
    }

    /// Returns a time that most requests stay below.
    #[must_use]
    pub fn careful(&self) -> f64 {
        self.mean + self.deviation * CAUTION
    }
}
