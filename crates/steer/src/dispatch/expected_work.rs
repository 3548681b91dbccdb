//! Expected work: how long upstreams of a service work on a request, without waiting.
//!
//! Owns the estimate of one service: mean and mean deviation, exponentially weighted. Relies on answers,
//! whose time is divided by the crowding at the send. [`work_time`] refines it for one upstream.
//!
//! [`work_time`]: crate::dispatch::work_time

use crate::dispatch::seconds;

/// Weight of one answer in the estimates. Not measured; fifty answers make up most of an estimate.
const ANSWER_WEIGHT: f64 = 0.02;

/// Mean that is assumed until a service has answered, in seconds. Not measured.
const INITIAL_MEAN: f64 = 0.25;

/// Mean deviations above the mean that the cautious estimate takes.
///
/// Measured with the other inputs of admission: docs/measurements/platform.md, row "early refusal by
/// expected time, loads guessed"; other numbers of deviations were not measured.
const CAUTION: f64 = 1.0;

/// Mean and mean deviation of the time of work.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    mean: f64,
    deviation: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self { mean: INITIAL_MEAN, deviation: INITIAL_MEAN / 2.0 }
    }
}

impl Work {
    /// Records one request's time of work.
    pub fn record(&mut self, work: seconds::Seconds) {
        let error = work.0 - self.mean;
        self.mean += error * ANSWER_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * ANSWER_WEIGHT;
    }

    /// Returns the mean.
    #[must_use]
    pub fn mean(&self) -> seconds::Seconds {
        seconds::Seconds(self.mean)
    }

    /// Returns a time that most requests stay below.
    #[must_use]
    pub fn cautious(&self) -> seconds::Seconds {
        seconds::Seconds(self.mean + self.deviation * CAUTION)
    }
}
