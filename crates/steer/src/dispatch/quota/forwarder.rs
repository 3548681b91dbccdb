//! Forwards the reports of several nodes as one sum.
//!
//! Keeps what was forwarded last, and the rates of the sum. These rates are computed from the
//! number of requests that the reports account for, so that a node joining or leaving the sum does
//! not look like requests that start or stop.

use std::collections;
use std::time::Instant;

use model::id;

use crate::dispatch::quota::rate;
use crate::dispatch::quota::report_timing;
use crate::dispatch::quota::reporter;
use crate::dispatch::quota::reports;
use crate::dispatch::quota::usage::{self, Key, Usage};

/// Forwards the summed reports of one group of nodes.
#[derive(Clone, Debug, Default)]
pub struct Forwarder {
    reporter: reporter::Reporter,
    admitted: collections::HashMap<Key, rate::Rate>,
}

impl Forwarder {
    /// Returns the summed usages of the nodes selected by `is_included` that are due to be
    /// forwarded; `limit` returns the limit of an organisation.
    pub fn report(
        &mut self,
        reports: &mut reports::Reports,
        is_included: impl Fn(&id::Node) -> bool,
        limit: impl Fn(Key) -> f64,
        timing: report_timing::ReportTiming,
        now: Instant,
    ) -> Vec<Usage> {
        let sums = reports.forward(is_included, now);
        self.admitted.retain(|key, _| sums.iter().any(|(usage, _)| usage.key == *key));
        let mut due = Vec::new();
        for (mut usage, admitted) in sums {
            let new = || rate::Rate::new(usage::TIME_CONSTANT, now);
            let rate = self.admitted.entry(usage.key).or_insert_with(new);
            rate.add(admitted, now);
            usage.admitted = rate.get(now);
            due.extend(self.reporter.report(usage, limit(usage.key), timing, now));
        }
        self.reporter.expire(timing.validity, now);
        due
    }
}
