//! Work time of one upstream, as a multiple of what its service needs.
//!
//! Owns the estimate of one upstream. Relies on [`expected_work`] for what the service needs, which differs with
//! what the upstream knows of the object: a multiple of it is not disturbed by objects that are new to the
//! upstream. A slow upstream becomes more expensive for [`selection`], and is tried again as the estimate fades.
//!
//! [`expected_work`]: crate::dispatch::expected_work
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

use crate::dispatch::seconds;

/// Weight of one answer in the estimate. Not measured.
const ANSWER_WEIGHT: f64 = 0.2;

/// Time in which the estimate loses most of its difference from what the service needs.
///
/// Not measured alone: docs/measurements/platform.md, row "failures and silence fade", has it.
const MEMORY: Duration = Duration::from_secs(4);

/// How long one upstream works on a request, as a multiple of what its service needs.
#[derive(Clone, Copy, Debug)]
pub struct WorkTime {
    multiple: f64,
    measured: Instant,
}

impl WorkTime {
    /// Starts at what the service needs.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { multiple: 1.0, measured: now }
    }

    /// Records an answer after `work` without waiting, where its service needs `expected`.
    pub fn record(&mut self, work: seconds::Seconds, expected: seconds::Seconds, now: Instant) {
        if expected.0 <= 0.0 {
            return;
        }
        let multiple = work.0 / expected.0;
        let before = self.get(now);
        self.multiple = before + (multiple - before) * ANSWER_WEIGHT;
        self.measured = now;
    }

    /// Records that an answer took longer than `waited`; less than the estimate proves nothing.
    pub fn record_at_least(&mut self, waited: Duration, expected: seconds::Seconds, now: Instant) {
        let waited = seconds::Seconds::from(waited);
        if waited.0 > expected.0 * self.get(now) {
            self.record(waited, expected, now);
        }
    }

    /// Returns the estimate.
    #[must_use]
    pub fn get(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.measured).as_secs_f64();
        let fading = (-age / MEMORY.as_secs_f64()).exp();
        1.0 + (self.multiple - 1.0) * fading
    }
}
