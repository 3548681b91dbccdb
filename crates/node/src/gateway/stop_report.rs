//! Report of a planned stop: progress, the requests that are unfinished, and how the others ended.
//!
//! Writes the log events `stop-progress`, `request-unfinished`, `requests-unfinished` and `stop-summary`, whose
//! keys docs/OPERATING-GATEWAYS.md lists. They are not subject to the bound of the log.

use std::rc;
use std::time::{Duration, Instant};

use model::id;
use platform::field;

use crate::common::log_writer;
use crate::common::stop_list;
use crate::gateway::proxy::in_flight::{self, Phase};
use crate::gateway::proxy::server;

/// Interval between progress lines.
const PROGRESS_PERIOD: Duration = Duration::from_secs(1);

/// What a stop left unfinished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Requests in flight at the exit.
    pub unfinished: usize,
    /// Requests since the signal that got a response which was not delivered.
    pub undelivered: usize,
    /// Connections whose callers have not confirmed the last response by closing.
    pub unconfirmed: usize,
}

/// Writes the report of one stop.
#[derive(Debug)]
pub struct Report {
    open: rc::Rc<server::Open>,
    began: Instant,
    next_progress: Instant,
    is_early_written: bool,
}

impl Report {
    /// Starts the report of a stop whose signal came at `began`.
    #[must_use]
    pub fn start(open: &rc::Rc<server::Open>, began: Instant) -> Self {
        open.requests.begin_stop();
        open.lingering.begin_stop();
        let open = rc::Rc::clone(open);
        let next_progress = began + PROGRESS_PERIOD;
        Self { open, began, next_progress, is_early_written: false }
    }

    /// Writes the lines that are due at `now`; requests should have ended by `latest_end`.
    pub fn tick(&mut self, latest_end: Instant, now: Instant) {
        if now >= self.next_progress {
            self.next_progress = now + PROGRESS_PERIOD;
            log_writer::with_reserve(|| self.log_progress(now));
        }
        if !self.is_early_written && now + stop_list::EARLY >= latest_end {
            self.is_early_written = true;
            log_writer::with_reserve(|| self.log_unfinished(stop_list::List::Early, now));
        }
    }

    /// Writes the lines of the exit.
    #[must_use]
    pub fn end(self, now: Instant) -> Remainder {
        let requests = &self.open.requests;
        requests.close(now);
        log_writer::with_reserve(|| {
            self.log_unfinished(stop_list::List::Final, now);
            self.log_summary();
        });
        Remainder {
            unfinished: requests.len(),
            undelivered: requests.undelivered(),
            unconfirmed: self.open.lingering.unconfirmed(),
        }
    }

    fn log_progress(&self, now: Instant) {
        let phases = self.open.requests.phases();
        log::info!(
            since_signal_ms = field::whole_millis(now.saturating_duration_since(self.began)),
            connections = self.open.connections(),
            requests = phases.total(),
            reading_body = phases.of(Phase::ReadingBody),
            waiting_for_admission = phases.of(Phase::WaitingForAdmission),
            waiting_for_slot = phases.of(Phase::WaitingForSlot),
            waiting_for_upstream = phases.of(Phase::WaitingForUpstream),
            sent = phases.of(Phase::Sent),
            passing_on = phases.of(Phase::PassingOn),
            written = phases.of(Phase::Written);
            "stop-progress"
        );
    }

    fn log_unfinished(&self, list: stop_list::List, now: Instant) {
        let entries = self.open.requests.entries();
        for entry in entries.iter().take(stop_list::MAX_LINES) {
            self.log_request(entry, list, now);
        }
        let mut phases = in_flight::Phases::default();
        entries.iter().skip(stop_list::MAX_LINES).for_each(|entry| phases.add(entry.phase()));
        if phases.total() > 0 {
            log::warn!(
                list = list.as_str(),
                requests = phases.total(),
                reading_body = phases.of(Phase::ReadingBody),
                waiting_for_admission = phases.of(Phase::WaitingForAdmission),
                waiting_for_slot = phases.of(Phase::WaitingForSlot),
                waiting_for_upstream = phases.of(Phase::WaitingForUpstream),
                sent = phases.of(Phase::Sent),
                passing_on = phases.of(Phase::PassingOn),
                written = phases.of(Phase::Written);
                "requests-unfinished"
            );
        }
    }

    fn log_request(&self, entry: &in_flight::Entry, list: stop_list::List, now: Instant) {
        log::warn!(
            list = list.as_str(),
            request = entry.id.as_str(),
            phase = entry.phase().as_str(),
            route = entry.route.as_ref().map_or("", id::Route::as_str),
            service = entry.service.as_ref().map_or("", id::Service::as_str),
            upstream = entry.upstream.as_ref().map_or("", id::Upstream::as_str),
            age_ms = field::whole_millis(now.saturating_duration_since(entry.arrived)),
            since_signal_ms = field::whole_millis(now.saturating_duration_since(self.began)),
            left_ms = stop_list::millis_until(entry.deadline, now).as_str(),
            expected_ms = stop_list::millis_until(entry.expected_end, now).as_str();
            "request-unfinished"
        );
    }

    fn log_summary(&self) {
        for (route, tally) in self.open.requests.tallies() {
            log::info!(
                route = route.as_str(),
                answered = tally.answered,
                delivered = tally.delivered,
                refused = tally.refused,
                failed = tally.failed,
                abandoned = tally.abandoned,
                unfinished = tally.unfinished,
                longest_ms = field::whole_millis(tally.longest);
                "stop-summary"
            );
        }
    }
}
