//! Expected processing time of a service's requests, without queueing.
//!
//! Keeps exponentially weighted means and the mean deviation, over all responses and per
//! [`Familiarity`]. The caller divides the measured latency by the crowding at the time of sending.
//! [`processing_time_ratio`] refines the estimate for one upstream.
//!
//! [`processing_time_ratio`]: crate::dispatch::processing_time_ratio

use crate::dispatch::seconds;
use crate::dispatch::seen_objects::Familiarity;

/// Weight of one response in the estimates; fifty responses make up most of an estimate.
const RESPONSE_WEIGHT: f64 = 0.02;

/// Mean assumed before the first response, in seconds.
const INITIAL_MEAN_SECONDS: f64 = 0.25;

/// Number of mean deviations that the conservative estimate adds to the mean.
const CONSERVATIVE_DEVIATIONS: f64 = 1.0;

/// Processing time per familiarity before the first response, as a multiple of the service's mean.
///
/// The same ratios as in `affinity::cost`.
const INITIAL_RATIOS: [f64; 5] = [1.0, 1.0, 1.0, 2.5, 5.0];

/// Weight of a familiarity's initial ratio, in responses.
const INITIAL_RESPONSES: f64 = 4.0;

/// Mean and mean deviation of the processing time.
#[derive(Clone, Copy, Debug)]
pub struct ProcessingTimes {
    mean: f64,
    deviation: f64,
    by_familiarity: [Mean; INITIAL_RATIOS.len()],
}

/// Mean processing time for one familiarity.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    mean: f64,
    responses: f64,
}

impl Default for ProcessingTimes {
    fn default() -> Self {
        Self {
            mean: INITIAL_MEAN_SECONDS,
            deviation: INITIAL_MEAN_SECONDS / 2.0,
            by_familiarity: [Mean::default(); INITIAL_RATIOS.len()],
        }
    }
}

impl ProcessingTimes {
    /// Records the processing time of one request.
    pub fn record(&mut self, processing_time: seconds::Seconds, familiarity: Familiarity) {
        let error = processing_time.0 - self.mean;
        self.mean += error * RESPONSE_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * RESPONSE_WEIGHT;
        let previous = self.mean_for(familiarity).0;
        let mean = &mut self.by_familiarity[familiarity as usize];
        mean.responses += 1.0;
        let weight = (1.0 / (INITIAL_RESPONSES + mean.responses)).max(RESPONSE_WEIGHT);
        mean.mean = previous + (processing_time.0 - previous) * weight;
    }

    /// Returns the mean over all requests.
    #[must_use]
    pub fn mean(&self) -> seconds::Seconds {
        seconds::Seconds(self.mean)
    }

    /// Returns the mean for requests of one familiarity.
    #[must_use]
    pub fn mean_for(&self, familiarity: Familiarity) -> seconds::Seconds {
        let mean = &self.by_familiarity[familiarity as usize];
        match mean.responses > 0.0 {
            true => seconds::Seconds(mean.mean),
            false => seconds::Seconds(self.mean * INITIAL_RATIOS[familiarity as usize]),
        }
    }

    /// Returns a conservative estimate, which most requests do not exceed.
    #[must_use]
    pub fn conservative(&self) -> seconds::Seconds {
        seconds::Seconds(self.mean + self.deviation * CONSERVATIVE_DEVIATIONS)
    }
}
