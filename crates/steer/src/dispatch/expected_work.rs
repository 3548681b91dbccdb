//! Expected work: how long upstreams of a service work on a request, without waiting.
//!
//! Owns the estimates of one service: mean and mean deviation, exponentially weighted, over all answers and for
//! each [`Familiarity`]. Relies on answers, whose time is divided by the crowding at the send.
//! [`work_time`] refines it for one upstream.
//!
//! [`work_time`]: crate::dispatch::work_time

use crate::dispatch::seconds;
use crate::dispatch::seen_objects::Familiarity;

/// Weight of one answer in the estimates. Not measured; fifty answers make up most of an estimate.
const ANSWER_WEIGHT: f64 = 0.02;

/// Mean that is assumed until a service has answered, in seconds. Not measured.
const INITIAL_MEAN: f64 = 0.25;

/// Mean deviations above the mean that the cautious estimate takes.
///
/// Measured with the other inputs of admission: docs/measurements/platform.md, row "early refusal by
/// expected time, loads guessed"; other numbers of deviations were not measured.
const CAUTION: f64 = 1.0;

/// Work for each familiarity, as a multiple of the service's mean, until answers show it. Not measured; those of
/// `affinity::cost`.
const INITIAL_RATIOS: [f64; 5] = [1.0, 1.0, 1.0, 2.5, 5.0];

/// Answers for which the initial ratio of a familiarity counts. Not measured.
const INITIAL_ANSWERS: f64 = 4.0;

/// Mean and mean deviation of the time of work.
#[derive(Clone, Copy, Debug)]
pub struct Work {
    mean: f64,
    deviation: f64,
    by_familiarity: [Mean; INITIAL_RATIOS.len()],
}

/// Mean of the time of work for one familiarity.
#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    mean: f64,
    answers: f64,
}

impl Default for Work {
    fn default() -> Self {
        Self {
            mean: INITIAL_MEAN,
            deviation: INITIAL_MEAN / 2.0,
            by_familiarity: [Mean::default(); INITIAL_RATIOS.len()],
        }
    }
}

impl Work {
    /// Records one request's time of work.
    pub fn record(&mut self, work: seconds::Seconds, familiarity: Familiarity) {
        let error = work.0 - self.mean;
        self.mean += error * ANSWER_WEIGHT;
        self.deviation += (error.abs() - self.deviation) * ANSWER_WEIGHT;
        let before = self.of(familiarity).0;
        let mean = &mut self.by_familiarity[familiarity as usize];
        mean.answers += 1.0;
        let weight = (1.0 / (INITIAL_ANSWERS + mean.answers)).max(ANSWER_WEIGHT);
        mean.mean = before + (work.0 - before) * weight;
    }

    /// Returns the mean.
    #[must_use]
    pub fn mean(&self) -> seconds::Seconds {
        seconds::Seconds(self.mean)
    }

    /// Returns the mean for requests of one familiarity.
    #[must_use]
    pub fn of(&self, familiarity: Familiarity) -> seconds::Seconds {
        let mean = &self.by_familiarity[familiarity as usize];
        match mean.answers > 0.0 {
            true => seconds::Seconds(mean.mean),
            false => seconds::Seconds(self.mean * INITIAL_RATIOS[familiarity as usize]),
        }
    }

    /// Returns a time that most requests stay below.
    #[must_use]
    pub fn cautious(&self) -> seconds::Seconds {
        seconds::Seconds(self.mean + self.deviation * CAUTION)
    }
}
