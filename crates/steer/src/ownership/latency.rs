//! Mean answer times, of a service and of one upstream.
//!
//! Owns the smoothing and the value that stands before the first answer. Relies on nothing.

use std::time::Duration;

/// Answer time that is assumed before one was measured.
///
/// Not measured; the first answers replace it.
const UNMEASURED: Duration = Duration::from_millis(50);

/// An exponentially weighted mean of answer times.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    seconds: Option<f64>,
}

impl Mean {
    /// Records an answer; `weight` is its part of the new mean, from 0 to 1.
    pub fn record(&mut self, latency: Duration, weight: f64) {
        let seconds = latency.as_secs_f64();
        let mean = self.seconds.unwrap_or(seconds);
        self.seconds = Some(mean + weight * (seconds - mean));
    }

    /// Returns the mean in seconds; none before the first answer.
    #[must_use]
    pub fn seconds(&self) -> Option<f64> {
        self.seconds
    }

    /// Returns the mean in seconds, or what is assumed before the first answer.
    #[must_use]
    pub fn seconds_or_assumed(&self) -> f64 {
        self.seconds.unwrap_or_else(assumed_seconds)
    }

    /// Returns how many times `baseline` this mean is; none while either is unknown or zero.
    #[must_use]
    pub fn ratio_to(&self, baseline: Self) -> Option<f64> {
        match (self.seconds, baseline.seconds) {
            (Some(mean), Some(base)) if base > 0.0 => Some(mean / base),
            _ => None,
        }
    }
}

/// Returns the answer time, in seconds, that is assumed before one was measured.
#[must_use]
pub fn assumed_seconds() -> f64 {
    UNMEASURED.as_secs_f64()
}
