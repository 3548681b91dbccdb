//! Mean latency of a service or of one upstream, with an assumed value before the first answer.

use std::time::Duration;

/// Latency that is assumed before the first answer, which replaces it.
const UNMEASURED: Duration = Duration::from_millis(50);

/// An exponentially weighted moving average of latencies.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mean {
    seconds: Option<f64>,
}

impl Mean {
    /// Records a sample; `weight` is its part of the new mean, from 0 to 1.
    pub fn record(&mut self, latency: Duration, weight: f64) {
        let seconds = latency.as_secs_f64();
        let mean = self.seconds.unwrap_or(seconds);
        self.seconds = Some(mean + weight * (seconds - mean));
    }

    /// Returns the mean in seconds, or `None` before the first sample.
    #[must_use]
    pub fn seconds(&self) -> Option<f64> {
        self.seconds
    }

    /// Returns the mean in seconds, or the assumed latency before the first sample.
    #[must_use]
    pub fn seconds_or_assumed(&self) -> f64 {
        self.seconds.unwrap_or_else(assumed_seconds)
    }

    /// Returns the ratio of this mean to `baseline`, or `None` if either is unknown or `baseline` is zero.
    #[must_use]
    pub fn ratio_to(&self, baseline: Self) -> Option<f64> {
        match (self.seconds, baseline.seconds) {
            (Some(mean), Some(base)) if base > 0.0 => Some(mean / base),
            _ => None,
        }
    }
}

/// Returns the assumed latency, in seconds, of a service without samples.
#[must_use]
pub fn assumed_seconds() -> f64 {
    UNMEASURED.as_secs_f64()
}
