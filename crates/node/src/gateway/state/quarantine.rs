//! Quarantine: what this node records of crashes, and what it decides or learns about requests that cause them.
//!
//! Owns the log lines, and the times of day that number decisions. Relies on [`steer::dispatch::quarantine`] for every decision;
//! the task that sends reports to other nodes is woken by each change.

use std::time::{Instant, SystemTime, UNIX_EPOCH};

use model::fingerprint::{Fingerprint, Scope};
use model::id;
use steer::dispatch::quarantine::report::{Report, Source};
use steer::dispatch::quarantine::sighting::{Sighting, Start};
use steer::dispatch::quarantine::{Decision, Hold};

use crate::gateway::kept_ruling;
use crate::gateway::state::State;

/// Stands for the store in log lines, where a node is named that reported a ruling.
const STORE: &str = "store";

impl State {
    /// Records that an upstream crashed while it had a request.
    pub fn record_crash(&self, sighting: Sighting) {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let decision = quarantine.record_crash(sighting, Source::Own, unix_millis(), now);
        drop(quarantine);
        self.log_decisions(decision.as_slice(), None);
        self.quarantine_changed.notify_one();
    }

    /// Records that a request ran to its end.
    pub fn record_success(&self, request: &Fingerprint) {
        let now = Instant::now();
        let mut quarantine = self.quarantine.borrow_mut();
        let decision = quarantine.record_success(request, Source::Own, unix_millis(), now);
        let has_report = quarantine.has_report();
        drop(quarantine);
        self.log_decisions(decision.as_slice(), None);
        if has_report {
            self.quarantine_changed.notify_one();
        }
    }

    /// Returns why a request is held back; none when it is not.
    #[must_use]
    pub fn check_quarantine(&self, request: &Fingerprint) -> Option<Hold> {
        self.quarantine.borrow_mut().check(request, Instant::now())
    }

    /// Sets the requests of `scope` free, as an operator asks.
    pub fn release(&self, scope: Scope) {
        let decision = self.quarantine.borrow_mut().release(scope, unix_millis(), Instant::now());
        self.log_decisions(&[decision], None);
        self.quarantine_changed.notify_one();
    }

    /// Judges what was recorded, if it is time.
    pub fn judge_crashes(&self, now: Instant) {
        let decisions = self.quarantine.borrow_mut().evaluate(unix_millis(), now);
        self.log_decisions(&decisions, None);
    }

    /// Applies what another node reported.
    pub fn apply_report(&self, node: &id::Node, report: Report, source: Source, now: Instant) {
        let mut quarantine = self.quarantine.borrow_mut();
        let unix_millis = unix_millis();
        let mut decisions = Vec::new();
        for sighting in report.sightings {
            decisions.extend(quarantine.record_crash(sighting, source, unix_millis, now));
        }
        for request in report.cleared {
            decisions.extend(quarantine.record_success(&request, source, unix_millis, now));
        }
        for (scope, ruling) in report.rulings {
            decisions.extend(quarantine.apply_ruling(scope, ruling, source, now));
        }
        let has_report = quarantine.has_report();
        drop(quarantine);
        self.log_decisions(&decisions, Some(node.as_str()));
        if has_report {
            self.quarantine_changed.notify_one();
        }
    }

    /// Applies the rulings that the store keeps.
    pub(super) fn adopt_rulings(&self, rulings: &[kept_ruling::Entry]) {
        let now = Instant::now();
        let unix_millis = unix_millis();
        let mut quarantine = self.quarantine.borrow_mut();
        let apply = |entry: &kept_ruling::Entry| {
            let ruling = entry.kept.to_ruling(unix_millis, now);
            quarantine.apply_ruling(entry.scope, ruling, Source::Store, now)
        };
        let decisions: Vec<Decision> = rulings.iter().filter_map(apply).collect();
        drop(quarantine);
        self.log_decisions(&decisions, Some(STORE));
    }

    /// Logs decisions; `reported_by` names where they come from, if not from this node.
    fn log_decisions(&self, decisions: &[Decision], reported_by: Option<&str>) {
        let reported_by = reported_by.unwrap_or_default();
        for Decision { scope, ruling, starts } in decisions {
            let fingerprint = scope.to_string();
            let fingerprint = fingerprint.as_str();
            if !ruling.is_held {
                log::info!(fingerprint, reported_by; "request-released");
                continue;
            }
            self.metrics.quarantined.add(1);
            let (crashes, upstreams) = (ruling.crashes, self.names_of(starts));
            let upstreams = upstreams.as_str();
            log::warn!(fingerprint, crashes, upstreams, reported_by; "request-quarantined");
        }
    }

    /// Returns the names of upstreams that crashed, as far as they are still listed, separated by commas.
    fn names_of(&self, starts: &[Start]) -> String {
        let dispatcher = self.dispatcher.borrow();
        let name = |start: &Start| {
            let mut upstreams = dispatcher.upstreams();
            let found = upstreams.find(|upstream| Start::of(&upstream.entry) == *start);
            found.map_or("gone", |upstream| upstream.entry.id.as_str())
        };
        let names: Vec<&str> = starts.iter().map(name).collect();
        names.join(",")
    }
}

/// Returns the time of day in milliseconds since 1970; a clock before 1970 counts as 1970.
fn unix_millis() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(since.as_millis()).unwrap_or(u64::MAX)
}
