//! Passive health checks of one upstream, from the results of its attempts; there are no active
//! probes.
//!
//! Combines [`ejection`], [`failure_rate`], [`silence`] and [`processing_time_ratio`], and defines
//! which of them each kind of result changes. `service_mean` is the mean processing time of the
//! upstream's service.

use std::time::{Duration, Instant};

use crate::dispatch::ejection;
use crate::dispatch::failure_rate;
use crate::dispatch::processing_time_ratio;
use crate::dispatch::seconds;
use crate::dispatch::silence;

/// Health state of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    ejection: ejection::Ejection,
    failures: failure_rate::FailureRate,
    silence: silence::Silence,
    processing_time_ratio: processing_time_ratio::ProcessingTimeRatio,
}

impl Health {
    /// Creates a healthy state.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ejection: ejection::Ejection::default(),
            failures: failure_rate::FailureRate::new(now),
            silence: silence::Silence::default(),
            processing_time_ratio: processing_time_ratio::ProcessingTimeRatio::new(now),
        }
    }

    /// Records that a request is sent; `in_flight` excludes it.
    pub fn record_sent(&mut self, in_flight: u32, now: Instant) {
        self.silence.record_sent(in_flight, now);
    }

    /// Records a response.
    ///
    /// `processing_time` excludes queueing, and `expected` is the usual one for the service;
    /// `in_flight` excludes the request.
    pub fn record_answer(
        &mut self,
        processing_time: seconds::Seconds,
        expected: seconds::Seconds,
        in_flight: u32,
        now: Instant,
    ) {
        self.processing_time_ratio.record(processing_time, expected, now);
        self.failures.record_success(now);
        self.record_refusal(in_flight, now);
    }

    /// Records a refusal, which shows that the upstream is alive; `in_flight` excludes the request.
    pub fn record_refusal(&mut self, in_flight: u32, now: Instant) {
        self.ejection.reset();
        self.silence.record_answer(in_flight, now);
    }

    /// Records a failed connection or an invalid response.
    pub fn record_broken(&mut self, now: Instant) {
        self.failures.record_failure(now);
    }

    /// Records that a request's deadline passed after `waited`; ejects the upstream if it is
    /// silent.
    pub fn record_timeout(
        &mut self,
        waited: Duration,
        service_mean: seconds::Seconds,
        now: Instant,
    ) {
        if self.is_silent(service_mean, now) {
            self.ejection.eject(now);
        }
        self.processing_time_ratio.record_at_least(waited, service_mean, now);
    }

    /// Records that no connection could be opened.
    pub fn record_unreachable(&mut self, now: Instant) {
        self.ejection.eject(now);
    }

    /// Records the end of an attempt, with any result; `in_flight` excludes it.
    pub fn record_end(&mut self, in_flight: u32) {
        self.silence.record_end(in_flight);
    }

    /// Returns whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_active(now)
    }

    /// Returns whether the upstream is neither ejected nor silent.
    #[must_use]
    pub fn is_healthy(&self, service_mean: seconds::Seconds, now: Instant) -> bool {
        !self.is_ejected(now) && !self.is_silent(service_mean, now)
    }

    /// Returns the expected processing time of a request at this upstream.
    #[must_use]
    pub fn processing_time(
        &self,
        service_mean: seconds::Seconds,
        now: Instant,
    ) -> seconds::Seconds {
        seconds::Seconds(service_mean.0 * self.processing_time_ratio.get(now))
    }

    /// Returns the weighted share of failed attempts, from 0 to 1.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    /// Returns whether the upstream has requests in flight and responds to none of them for longer than
    /// its work explains.
    #[must_use]
    pub fn is_silent(&self, service_mean: seconds::Seconds, now: Instant) -> bool {
        self.suspect_silence(service_mean, now).is_some()
    }

    /// Returns the silence of the upstream, if it is too long.
    #[must_use]
    pub fn suspect_silence(
        &self,
        service_mean: seconds::Seconds,
        now: Instant,
    ) -> Option<silence::Suspect> {
        self.silence.suspect(self.processing_time(service_mean, now), now)
    }

    /// Returns the time of the latest response.
    #[must_use]
    pub fn answered(&self) -> Option<Instant> {
        self.silence.answered()
    }
}
