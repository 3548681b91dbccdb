//! Decides which usages to report.
//!
//! Keeps the last report of each usage. A usage is reported at once if the receivers' estimate
//! would be wrong, and otherwise a few times per second, so that the cost of reports does not grow
//! with the organisations that are far below their limits.

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::quota::report_timing;
use crate::dispatch::quota::usage::{Admitted, Key, Usage};

/// Change of the demand that is reported at once, as a fraction of the organisation's limit.
const IMMEDIATE_CHANGE: f64 = 0.05;

/// Smallest change that is reported at once, in requests per second: one or two requests change a
/// rate by less.
const MIN_IMMEDIATE_CHANGE: f64 = 2.0;

/// Difference between the admitted requests and the receivers' estimate that is reported at once. A
/// sudden load that is spread over many nodes shows at each of them as only one or two requests.
const IMMEDIATE_SURPLUS: f64 = 1.0;

/// Last report of one usage.
#[derive(Clone, Copy, Debug)]
struct LastReport {
    usage: Usage,
    at: Instant,
}

/// Last reports of all usages.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    reported: collections::BTreeMap<Key, LastReport>,
}

impl Reporter {
    /// Returns `usage` if it is due to be reported; `limit` is the limit of its organisation.
    pub fn report(
        &mut self,
        usage: Usage,
        limit: f64,
        timing: report_timing::ReportTiming,
        now: Instant,
    ) -> Option<Usage> {
        let last = self.reported.get(&usage.key);
        if last.is_some_and(|last| !last.is_outdated(&usage, limit, timing, now)) {
            return None;
        }
        self.reported.insert(usage.key, LastReport { usage, at: now });
        Some(usage)
    }

    /// Removes reports that are older than `age`.
    pub fn expire(&mut self, age: Duration, now: Instant) {
        self.reported.retain(|_, last| now.saturating_duration_since(last.at) < age);
    }
}

impl LastReport {
    fn is_outdated(
        &self,
        usage: &Usage,
        limit: f64,
        timing: report_timing::ReportTiming,
        now: Instant,
    ) -> bool {
        let age = now.saturating_duration_since(self.at);
        let change = (usage.asked - self.usage.asked).abs();
        let is_large = change >= (limit * IMMEDIATE_CHANGE).max(MIN_IMMEDIATE_CHANGE);
        let is_newly_near = usage.is_near && !self.usage.is_near;
        let estimate = self.usage.admitted * age.min(timing.extrapolation).as_secs_f64();
        let is_surplus = match usage.admitted_since(&self.usage, age, timing) {
            Admitted::SinceReport(admitted) => (admitted - estimate).abs() >= IMMEDIATE_SURPLUS,
            Admitted::SinceRestart(_) => true,
        };
        is_large || is_surplus || is_newly_near || age >= timing.interval
    }
}
