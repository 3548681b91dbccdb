//! Log lines of a planned stop: requests in flight, and how the others ended. They are not subject to the bound of the
//! log.

use std::time::Instant;

use model::id;
use platform::field;

use crate::common::log_writer;
use crate::common::stop_list;
use crate::owner::in_flight;
use crate::owner::in_flight::phase::Phase;
use crate::owner::in_flight::summary;

/// Services that get a line of their own.
const MAX_SERVICES: usize = 32;

/// What a stop left unfinished.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Remainder {
    /// Requests in flight at the exit.
    pub unfinished: usize,
    /// Requests since the signal that an upstream answered and whose answer was not delivered.
    pub undelivered: usize,
}

/// Lists the requests in flight at a node that was told to stop at `signalled`.
pub fn log_unfinished(registry: &in_flight::Registry, signalled: Instant, list: stop_list::List) {
    log_writer::with_reserve(|| log_list(registry, signalled, list));
}

fn log_list(registry: &in_flight::Registry, signalled: Instant, list: stop_list::List) {
    let now = registry.now();
    let requests = registry.requests();
    for request in requests.iter().take(stop_list::MAX_LINES) {
        log_request(request, signalled, list, now);
    }
    let others = requests.get(stop_list::MAX_LINES..).unwrap_or_default();
    let in_phase = |phase| others.iter().filter(|request| request.phase == phase).count();
    if !others.is_empty() {
        log::warn!(
            list = list.as_str(),
            requests = others.len(),
            reading_body = in_phase(Phase::ReadingBody),
            waiting_for_slot = in_phase(Phase::WaitingForSlot),
            sent = in_phase(Phase::Sent),
            forwarded = in_phase(Phase::Forwarded),
            passing_on = in_phase(Phase::PassingOn),
            written = in_phase(Phase::Written);
            "requests-unfinished"
        );
    }
}

fn log_request(
    request: &in_flight::State,
    signalled: Instant,
    list: stop_list::List,
    now: Instant,
) {
    log::warn!(
        list = list.as_str(),
        request = request.id.as_deref().unwrap_or_default(),
        phase = request.phase.as_str(),
        service = request.service.as_ref().map_or("", id::Service::as_str),
        upstream = request.upstream.as_ref().map_or("", id::Upstream::as_str),
        age_ms = field::whole_millis(now.saturating_duration_since(request.arrived)),
        since_signal_ms = field::whole_millis(now.saturating_duration_since(signalled)),
        left_ms = stop_list::millis_until(request.deadline, now).as_str();
        "request-unfinished"
    );
}

/// Logs how requests ended since the node was told to stop, by service; returns what its exit cuts off.
pub fn log_summary(registry: &in_flight::Registry) -> Remainder {
    let summary = registry.summary(registry.now());
    log_writer::with_reserve(|| {
        for (service, counts) in summary.by_service().iter().take(MAX_SERVICES) {
            log_service(service.as_ref(), counts);
        }
    });
    let counts = summary.by_service().values();
    Remainder {
        unfinished: counts.clone().map(|counts| counts.unfinished).sum(),
        undelivered: counts.map(summary::Counts::undelivered).sum(),
    }
}

fn log_service(service: Option<&id::Service>, counts: &summary::Counts) {
    log::info!(
        service = service.map_or("", id::Service::as_str),
        answered = counts.answered,
        delivered = counts.delivered,
        refused = counts.refused,
        failed = counts.failed,
        abandoned = counts.abandoned,
        unfinished = counts.unfinished,
        longest_ms = field::whole_millis(counts.longest);
        "stop-summary"
    );
}
