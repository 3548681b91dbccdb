//! Health of one upstream, from how its tries end; nothing is probed.
//!
//! Owns the four signs of one upstream: [`ejection`], [`failure_rate`], [`silence`] and [`work_time`], and
//! which of them each end of a try changes. `service` is the mean work time of the upstream's service.

use std::time::{Duration, Instant};

use crate::dispatch::ejection;
use crate::dispatch::failure_rate;
use crate::dispatch::seconds;
use crate::dispatch::silence;
use crate::dispatch::work_time;

/// Health of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    ejection: ejection::Ejection,
    failures: failure_rate::FailureRate,
    silence: silence::Silence,
    work: work_time::WorkTime,
}

impl Health {
    /// Starts healthy.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            ejection: ejection::Ejection::default(),
            failures: failure_rate::FailureRate::new(now),
            silence: silence::Silence::default(),
            work: work_time::WorkTime::new(now),
        }
    }

    /// Records a send; `in_flight` excludes it.
    pub fn sent(&mut self, in_flight: u32, now: Instant) {
        self.silence.sent(in_flight, now);
    }

    /// Records an answer after `work` without waiting, where its service needs `expected`; `in_flight` excludes
    /// its request.
    pub fn answered(
        &mut self,
        work: seconds::Seconds,
        expected: seconds::Seconds,
        in_flight: u32,
        now: Instant,
    ) {
        self.work.record(work, expected, now);
        self.failures.record_success(now);
        self.refused(in_flight, now);
    }

    /// Records a refusal, which shows that the upstream is alive; `in_flight` excludes its request.
    pub fn refused(&mut self, in_flight: u32, now: Instant) {
        self.ejection.end();
        self.silence.answered(in_flight, now);
    }

    /// Records a broken answer or connection.
    pub fn broken(&mut self, now: Instant) {
        self.failures.record_failure(now);
    }

    /// Records that a request's deadline passed after `waited`; a silent upstream is ejected.
    pub fn timed_out(&mut self, waited: Duration, service: seconds::Seconds, now: Instant) {
        if self.is_silent(service, now) {
            self.ejection.eject(now);
        }
        self.work.record_at_least(waited, service, now);
    }

    /// Records that no connection could be opened.
    pub fn unreachable(&mut self, now: Instant) {
        self.ejection.eject(now);
    }

    /// Records the end of any try; `in_flight` excludes it.
    pub fn ended(&mut self, in_flight: u32) {
        self.silence.ended(in_flight);
    }

    /// Returns whether it is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejection.is_active(now)
    }

    /// Returns whether it is neither ejected nor silent.
    #[must_use]
    pub fn is_healthy(&self, service: seconds::Seconds, now: Instant) -> bool {
        !self.is_ejected(now) && !self.is_silent(service, now)
    }

    /// Returns how long it works on a request.
    #[must_use]
    pub fn work(&self, service: seconds::Seconds, now: Instant) -> seconds::Seconds {
        seconds::Seconds(service.0 * self.work.get(now))
    }

    /// Returns the share of its tries that broke, from 0 to 1, weighted to the latest.
    #[must_use]
    pub fn failure_rate(&self, now: Instant) -> f64 {
        self.failures.get(now)
    }

    fn is_silent(&self, service: seconds::Seconds, now: Instant) -> bool {
        self.silence.is_suspect(self.work(service, now), now)
    }
}
