//! Processing time of one upstream, relative to the usual one of its service.
//!
//! [`expected_processing_time`] estimates the usual processing time, which depends on whether the
//! upstream has seen the object. Because the estimate here is a ratio, it is not distorted by
//! objects that are new to the upstream. A slow upstream becomes more expensive in [`selection`],
//! and is tried again as the estimate decays.
//!
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

use crate::dispatch::seconds;

/// Weight of one response in the estimate.
const RESPONSE_WEIGHT: f64 = 0.2;

/// Time constant with which the estimate decays to 1.
const DECAY_TIME: Duration = Duration::from_secs(4);

/// Ratio of one upstream's processing time to the usual one of its service.
#[derive(Clone, Copy, Debug)]
pub struct ProcessingTimeRatio {
    ratio: f64,
    updated: Instant,
}

impl ProcessingTimeRatio {
    /// Creates an estimate of 1.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { ratio: 1.0, updated: now }
    }

    /// Records the processing time of a response; `expected` is the usual one of the service.
    pub fn record(
        &mut self,
        processing_time: seconds::Seconds,
        expected: seconds::Seconds,
        now: Instant,
    ) {
        if expected.0 <= 0.0 {
            return;
        }
        let ratio = processing_time.0 / expected.0;
        let previous = self.get(now);
        self.ratio = previous + (ratio - previous) * RESPONSE_WEIGHT;
        self.updated = now;
    }

    /// Records that a response took longer than `waited`; ignored if this is below the estimate.
    pub fn record_at_least(&mut self, waited: Duration, expected: seconds::Seconds, now: Instant) {
        let waited = seconds::Seconds::from(waited);
        if waited.0 > expected.0 * self.get(now) {
            self.record(waited, expected, now);
        }
    }

    /// Returns the decayed ratio at `now`.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let decay = (-age / DECAY_TIME.as_secs_f64()).exp();
        1.0 + (self.ratio - 1.0) * decay
    }
}
