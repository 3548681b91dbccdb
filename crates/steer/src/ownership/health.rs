//! Health: decides from probes and request outcomes whether an upstream may get new requests.
//!
//! An upstream is ejected after `FAILURES` consecutive failures, for a time that doubles with each
//! ejection. Reports may be stale or wrong, so they can only lower the limit of slots, never raise it.

use std::time::{Duration, Instant};

use model::leaving;
use model::rest;
use model::statement;

use crate::ownership::report;

/// Consecutive failures after which an upstream is ejected.
const FAILURES: u32 = 3;

/// Duration of the first ejection; it doubles up to [`LONGEST_EJECTION`].
const FIRST_EJECTION: Duration = Duration::from_secs(1);

/// Maximum duration of an ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// Consecutive unanswered probes, three seconds of them, after which an upstream gets no new requests.
const MISSED_PROBES: u32 = 3;

/// Failures, probe results and statements of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Health {
    failures: u32,
    ejections: u32,
    ejected_until: Option<Instant>,
    missed_probes: u32,
    reported_slots: Option<u32>,
    uptime_ms: Option<u64>,
    is_leaving: bool,
    /// Whether it announced in an answer that it is leaving; reset when a probe shows a restart.
    announced_leaving: bool,
    /// End of the rest that it asked for; `None` if it never did.
    rests_until: Option<Instant>,
}

impl Health {
    /// Returns whether new requests may be sent at `now`.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_ejected = self.ejected_until.is_some_and(|until| now < until);
        let is_resting = self.rests_until.is_some_and(|until| now < until);
        let leaves = self.is_leaving || self.announced_leaving;
        !is_ejected && !is_resting && !leaves && self.missed_probes < MISSED_PROBES
    }

    /// Returns the slots that the upstream last reported, at most `slots`.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        self.reported_slots.unwrap_or(slots).min(slots)
    }

    /// Records an answered request, which resets the failures and the duration of ejections.
    pub fn record_success(&mut self) {
        self.failures = 0;
        self.ejections = 0;
    }

    /// Records a failed request, and ejects the upstream after too many of them.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        if self.failures < FAILURES {
            return;
        }
        let ejection = FIRST_EJECTION * 2_u32.saturating_pow(self.ejections.min(8));
        self.ejected_until = Some(now + ejection.min(LONGEST_EJECTION));
        self.ejections += 1;
        // After the ejection, a single failure ejects the upstream again.
        self.failures = FAILURES - 1;
    }

    /// Records the statement of an answer. A rest that would end earlier does not shorten the current one.
    pub fn record_statement(&mut self, statement: &statement::Statement, now: Instant) {
        self.announced_leaving |= statement.leaving == leaving::Field::Leaving;
        if let rest::Field::Rest(rest) = statement.rest {
            let until = now + rest;
            self.rests_until = Some(self.rests_until.map_or(until, |before| before.max(until)));
        }
    }

    /// Records the result of a probe; returns whether the upstream restarted since the previous one.
    pub fn record_probe(&mut self, report: Option<&report::Report>) -> bool {
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
            (self.announced_leaving, self.rests_until) = (false, None);
        }
        restarted
    }
}
