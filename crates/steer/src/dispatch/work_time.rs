//! Work time of one upstream, which fades to its service's mean.
//!
//! Owns the estimate of one upstream. Relies on [`expected_work`] for the mean of its service. A slow
//! upstream becomes more expensive for [`selection`], and is tried again as the estimate fades.
//!
//! [`expected_work`]: crate::dispatch::expected_work
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

use crate::dispatch::seconds;

/// Weight of one answer in the estimate. Not measured.
const ANSWER_WEIGHT: f64 = 0.2;

/// Time in which the estimate loses most of its difference from the service's mean.
///
/// Not measured alone: docs/measurements/platform.md, row "failures and silence fade", has it.
const MEMORY: Duration = Duration::from_secs(4);

/// How long one upstream works on a request.
#[derive(Clone, Copy, Debug)]
pub struct WorkTime {
    own: Option<f64>,
    measured: Instant,
}

impl WorkTime {
    /// Starts at the service's mean.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { own: None, measured: now }
    }

    /// Records an answer after `work` without waiting.
    pub fn record(&mut self, work: seconds::Seconds, service: seconds::Seconds, now: Instant) {
        let before = self.get(service, now).0;
        self.own = Some(before + (work.0 - before) * ANSWER_WEIGHT);
        self.measured = now;
    }

    /// Records that an answer took longer than `waited`; less than the estimate proves nothing.
    pub fn record_at_least(&mut self, waited: Duration, service: seconds::Seconds, now: Instant) {
        let waited = seconds::Seconds::from(waited);
        if waited > self.get(service, now) {
            self.record(waited, service, now);
        }
    }

    /// Returns the estimate, where `service` is the mean of its service.
    #[must_use]
    pub fn get(&self, service: seconds::Seconds, now: Instant) -> seconds::Seconds {
        let Some(own) = self.own else { return service };
        let age = now.saturating_duration_since(self.measured).as_secs_f64();
        let fading = (-age / MEMORY.as_secs_f64()).exp();
        seconds::Seconds(service.0 + (own - service.0) * fading)
    }
}
