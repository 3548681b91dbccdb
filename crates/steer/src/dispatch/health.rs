//! Health of one upstream, from how its tries end; nothing is probed.

use std::time::{Duration, Instant};

/// First time for which an upstream that cannot be reached gets nothing.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest time for which an upstream that cannot be reached gets nothing.
const LONGEST_EJECTION: Duration = Duration::from_secs(4);

/// Weight of one try in the failure rate.
const FAILURE_WEIGHT: f64 = 0.15;

/// Weight of one answer in the time of work.
const WORK_WEIGHT: f64 = 0.2;

/// Time in which an upstream's own time of work falls back to that of its service.
const WORK_MEMORY: Duration = Duration::from_secs(4);

/// Time in which an upstream's failures lose most of their weight.
const FAILURE_MEMORY: Duration = Duration::from_secs(5);

/// Shortest silence, with requests in flight, that makes an upstream suspect.
const SHORTEST_SILENCE: Duration = Duration::from_millis(1_000);

/// Silence that makes an upstream suspect, as a multiple of its time of work.
const SILENCE_FACTOR: f64 = 4.0;

/// Health of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    work: Option<f64>,
    measured: Instant,
    failures: f64,
    failed: Instant,
    ejection: Duration,
    ejected_until: Option<Instant>,
    silent_since: Option<Instant>,
}

impl Health {
    /// Starts healthy.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            work: None,
            measured: now,
            failures: 0.0,
            failed: now,
            ejection: Duration::ZERO,
            ejected_until: None,
            silent_since: None,
        }
    }

    /// Notes that a request is sent while `in_flight` others were.
    pub fn sent(&mut self, in_flight: u32, now: Instant) {
        if in_flight == 0 {
            self.silent_since = Some(now);
        }
    }

    /// Notes an answer after `work` seconds without waiting; `in_flight` others are still out.
    pub fn answered(&mut self, work: f64, service: f64, in_flight: u32, now: Instant) {
        let before = self.work(service, now);
        self.work = Some(before + (work - before) * WORK_WEIGHT);
        self.measured = now;
        self.failures = self.failures(now) * (1.0 - FAILURE_WEIGHT);
        self.failed = now;
        self.heard(in_flight, now);
    }

    /// Notes a sign of life that is no answer to work.
    pub fn heard(&mut self, in_flight: u32, now: Instant) {
        self.ejection = Duration::ZERO;
        self.ejected_until = None;
        self.silent_since = (in_flight > 0).then_some(now);
    }

    /// Notes that a try ended without a sign of life; `in_flight` others are still out.
    ///
    /// With nothing in flight there is nothing to be silent about.
    pub fn ended(&mut self, in_flight: u32) {
        if in_flight == 0 {
            self.silent_since = None;
        }
    }

    /// Notes a broken answer or connection.
    pub fn broken(&mut self, now: Instant) {
        let before = self.failures(now);
        self.failures = before + (1.0 - before) * FAILURE_WEIGHT;
        self.failed = now;
    }

    /// Notes that a request's time was up after `waited`; a silent upstream then rests.
    pub fn timed_out(&mut self, waited: Duration, service: f64, now: Instant) {
        if self.is_silent(service, now) {
            self.unreachable(now);
        }
        let before = self.work(service, now);
        let waited = waited.as_secs_f64();
        if waited > before {
            self.work = Some(before + (waited - before) * WORK_WEIGHT);
            self.measured = now;
        }
    }

    /// Notes that it could not be reached: it gets nothing for a while.
    pub fn unreachable(&mut self, now: Instant) {
        self.ejection = match self.ejection {
            Duration::ZERO => FIRST_EJECTION,
            before => (before * 2).min(LONGEST_EJECTION),
        };
        self.ejected_until = Some(now + self.ejection);
    }

    /// Returns whether it gets nothing now.
    #[must_use]
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Returns whether it has been silent for too long with requests in flight.
    #[must_use]
    pub fn is_silent(&self, service: f64, now: Instant) -> bool {
        let Some(since) = self.silent_since else { return false };
        let usual = self.work(service, now) * SILENCE_FACTOR;
        let bound = usual.max(SHORTEST_SILENCE.as_secs_f64());
        now.saturating_duration_since(since).as_secs_f64() > bound
    }

    /// Returns how long it works on a request, in seconds, which falls back to that of its `service` with time.
    #[must_use]
    pub fn work(&self, service: f64, now: Instant) -> f64 {
        let Some(own) = self.work else { return service };
        let age = now.saturating_duration_since(self.measured).as_secs_f64();
        service + (own - service) * (-age / WORK_MEMORY.as_secs_f64()).exp()
    }

    /// Returns the share of its tries that broke, weighted to the latest; it fades with time.
    #[must_use]
    pub fn failures(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.failed).as_secs_f64();
        self.failures * (-age / FAILURE_MEMORY.as_secs_f64()).exp()
    }
}
