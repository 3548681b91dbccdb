//! Health: what probes and outcomes say against an upstream.
//!
//! Reports may lag or mislead, so they only ever lower trust: a good report never raises what the
//! owner would do without it.

use std::time::{Duration, Instant};

use crate::ownership::report;

/// Failures in a row after which an upstream is left alone for a while.
const FAILURES: u32 = 3;

/// Time for which it is left alone the first time; it doubles up to [`LONGEST`].
const FIRST_PAUSE: Duration = Duration::from_secs(1);

/// Longest time for which it is left alone.
const LONGEST: Duration = Duration::from_secs(30);

/// Unanswered probes in a row after which an upstream that nobody uses is not chosen.
const MISSED_PROBES: u32 = 3;

/// What is known against one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    pauses: u32,
    paused_until: Option<Instant>,
    missed_probes: u32,
    reported_slots: Option<u32>,
    uptime_ms: Option<u64>,
    is_leaving: bool,
}

impl Health {
    /// Returns whether new work may be sent at `now`.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let paused = self.paused_until.is_some_and(|until| now < until);
        !paused && !self.is_leaving && self.missed_probes < MISSED_PROBES
    }

    /// Returns the most slots the upstream's own report leaves, of `slots`.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        self.reported_slots.unwrap_or(slots).min(slots)
    }

    /// Notes an answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.pauses = 0;
    }

    /// Notes a failure; returns whether the upstream is left alone from now on.
    pub fn failed(&mut self, now: Instant) -> bool {
        self.failures += 1;
        if self.failures < FAILURES {
            return false;
        }
        let pause = FIRST_PAUSE * 2_u32.saturating_pow(self.pauses.min(8));
        self.paused_until = Some(now + pause.min(LONGEST));
        self.pauses += 1;
        self.failures = FAILURES - 1;
        true
    }

    /// Notes the outcome of a probe; returns whether the upstream started anew since the last.
    pub fn probed(&mut self, report: Option<&report::Report>) -> bool {
        let Some(report) = report else {
            self.missed_probes = self.missed_probes.saturating_add(1);
            return false;
        };
        let restarted = report.uptime_ms < self.uptime_ms;
        self.missed_probes = 0;
        self.reported_slots = report.slots;
        self.is_leaving = report.draining;
        self.uptime_ms = report.uptime_ms;
        restarted
    }
}
