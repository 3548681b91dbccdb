//! Health: whether probes and outcomes allow new work at an upstream.
//!
//! Ejects an outlier after some failures in a row, for a time that doubles. Reports may lag or mislead,
//! so they can only lower the limit: a good report never raises what the owner would do without it.
//! Owns the counts. Relies on nothing.

use std::time::{Duration, Instant};

use model::leaving;
use model::rest;
use model::statement;

use crate::ownership::report;

/// Failures in a row after which an upstream is ejected. Not measured.
const FAILURES: u32 = 3;

/// Time of the first ejection; it doubles up to [`LONGEST_EJECTION`]. Not measured.
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Longest ejection. Not measured.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// Unanswered probes in a row after which an upstream gets no new work. Not measured; three seconds.
const MISSED_PROBES: u32 = 3;

/// Failures, probes and reports of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    missed_probes: u32,
    reported_slots: Option<u32>,
    uptime_ms: Option<u64>,
    is_leaving: bool,
    /// Whether it said in an answer that it leaves; holds until a probe shows that it started again.
    says_leaving: bool,
    /// When it has rested; none before it asks for rest.
    rests_until: Option<Instant>,
}

impl Health {
    /// Returns whether new work may be sent at `now`.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        let is_resting = self.rests_until.is_some_and(|until| now < until);
        let leaves = self.is_leaving || self.says_leaving;
        !is_ejected && !is_resting && !leaves && self.missed_probes < MISSED_PROBES
    }

    /// Returns the most slots the upstream's own report leaves, of `slots`.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        self.reported_slots.unwrap_or(slots).min(slots)
    }

    /// Records an answer.
    pub fn succeeded(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failure; the upstream may be ejected from `now` on.
    pub fn failed(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < FAILURES {
            return;
        }
        let ejection = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + ejection.min(LONGEST_EJECTION));
        self.ejections += 1;
        // After the ejection one more failure ejects it again.
        self.failures = FAILURES - 1;
    }

    /// Records what it said of itself in an answer. A rest that asks for less does not shorten an earlier one.
    pub fn said(&mut self, statement: &statement::Statement, now: Instant) {
        self.says_leaving |= statement.leaving == leaving::Field::Leaving;
        if let rest::Field::Rest(rest) = statement.rest {
            let until = now + rest;
            self.rests_until = Some(self.rests_until.map_or(until, |before| before.max(until)));
        }
    }

    /// Records the outcome of a probe; returns whether the upstream was restarted since the last.
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
        if restarted {
            (self.says_leaving, self.rests_until) = (false, None);
        }
        restarted
    }
}
