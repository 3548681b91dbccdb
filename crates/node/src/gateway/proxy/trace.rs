//! Trace of one request, written to the log and the metrics when the request ends.
//!
//! Writes the log events `request-failed`, `request-retried` and `request-abandoned`, whose keys
//! docs/OPERATING-GATEWAYS.md lists. The handler records each step.

use std::fmt::Write as _;
use std::rc;
use std::time::Instant;

use http::StatusCode;
use model::id;
use steer::dispatch::quarantine;
use steer::dispatch::refusal;
use steer::dispatch::reservation;
use steer::dispatch::retry;

use crate::gateway::proxy::answer;
use crate::gateway::proxy::in_flight;
use crate::gateway::state;

/// Status in the log for a request whose caller disconnected; never sent.
const CLIENT_CLOSED: u16 = 499;

/// Properties and progress of a request, for the log line at its end.
#[derive(Debug)]
pub struct Trace {
    state: rc::Rc<state::State>,
    in_flight: rc::Rc<in_flight::Request>,
    request: String,
    route: Option<id::Route>,
    service: Option<id::Service>,
    organisation: Option<id::Organisation>,
    version: u64,
    tries: Vec<retry::Attempt>,
    refusal: Option<refusal::Refusal>,
    held: Option<quarantine::Hold>,
    returned: Option<reservation::Return>,
    is_ended: bool,
}

impl Trace {
    /// Starts when a request arrives.
    #[must_use]
    pub fn new(state: &rc::Rc<state::State>, in_flight: &rc::Rc<in_flight::Request>) -> Self {
        Self {
            state: rc::Rc::clone(state),
            in_flight: rc::Rc::clone(in_flight),
            request: String::new(),
            route: None,
            service: None,
            organisation: None,
            version: 0,
            tries: Vec::new(),
            refusal: None,
            held: None,
            returned: None,
            is_ended: false,
        }
    }

    /// Returns when the request arrived.
    #[must_use]
    pub fn arrived(&self) -> Instant {
        self.in_flight.arrived()
    }

    /// Returns the request's entry among the requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> &rc::Rc<in_flight::Request> {
        &self.in_flight
    }

    /// Records the request's id.
    pub fn set_request(&mut self, request: &str) {
        request.clone_into(&mut self.request);
        self.in_flight.set_id(request);
    }

    /// Records the version of the configuration in force.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Records the route.
    pub fn set_route(&mut self, route: &id::Route) {
        self.route = Some(route.clone());
        self.in_flight.set_route(route);
    }

    /// Records the organisation of the request.
    pub fn set_organisation(&mut self, organisation: Option<&id::Organisation>) {
        self.organisation = organisation.cloned();
    }

    /// Records the service.
    pub fn set_service(&mut self, service: &id::Service) {
        self.service = Some(service.clone());
        self.in_flight.set_service(service);
    }

    /// Records the tries that ended, and the dispatcher's refusal if there was one.
    pub fn set_tries(&mut self, tries: &[retry::Attempt], refusal: Option<&refusal::Refusal>) {
        tries.clone_into(&mut self.tries);
        self.refusal = refusal.cloned();
    }

    /// Records why the request is quarantined, if it is.
    pub fn set_held(&mut self, held: Option<&quarantine::Hold>) {
        self.held = held.copied();
    }

    /// Records whether the refused request is a return that came as told.
    pub fn set_returned(&mut self, returned: reservation::Return) {
        self.returned = Some(returned);
    }

    /// Records that an upstream's response is forwarded.
    pub fn answered(&mut self, status: StatusCode) {
        self.is_ended = true;
        let metrics = &self.state.metrics;
        metrics.answered.add(1);
        metrics.latency.record(self.arrived().elapsed());
        self.in_flight.set_response(in_flight::Response::Answered(status));
        match status.is_server_error() {
            true => self.log("upstream-error", status.as_u16(), "request-failed"),
            false if self.tries.len() > 1 => {
                self.log("retried", status.as_u16(), "request-retried")
            }
            false => {}
        }
    }

    /// Records a response of the gateway itself.
    pub fn refused(&mut self, reason: answer::Reason) {
        self.is_ended = true;
        let metrics = &self.state.metrics;
        let status = reason.status();
        self.in_flight.set_response(match reason.is_proved_not_run() {
            true => in_flight::Response::Refused(status),
            false => in_flight::Response::Failed(status),
        });
        match status {
            StatusCode::NOT_FOUND => metrics.unrouted.add(1),
            StatusCode::UNAUTHORIZED => metrics.unauthorized.add(1),
            StatusCode::TOO_MANY_REQUESTS => metrics.over_quota.add(1),
            StatusCode::SERVICE_UNAVAILABLE => metrics.refused.add(1),
            _ => metrics.failed.add(1),
        }
        self.log(reason.as_str(), status.as_u16(), "request-failed");
    }

    fn log(&self, reason: &str, status: u16, event: &str) {
        let tries = tries_text(&self.tries);
        let inputs = match (&self.refusal, &self.held) {
            (Some(refusal), _) => refusal.to_string(),
            (None, Some(held)) => held.to_string(),
            (None, None) => String::new(),
        };
        let waited = self.arrived().elapsed().as_millis();
        let waited = u64::try_from(waited).unwrap_or(u64::MAX);
        log::info!(
            request = self.request.as_str(),
            status,
            reason,
            route = self.route.as_ref().map_or("", id::Route::as_str),
            service = self.service.as_ref().map_or("", id::Service::as_str),
            organisation = self.organisation.as_ref().map_or("", id::Organisation::as_str),
            config = self.version,
            revision = self.state.replica.borrow().at().revision,
            tries = tries.as_str(),
            inputs = inputs.as_str(),
            returned = self.returned.map_or("", reservation::Return::as_str),
            waited_ms = waited;
            "{event}"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        // A request that the stop has reported as unfinished has not lost its caller.
        if !self.is_ended && !self.in_flight.is_reported() {
            self.state.metrics.abandoned.add(1);
            self.log("caller-left", CLIENT_CLOSED, "request-abandoned");
        }
    }
}

/// Returns tries as `upstream:end`, separated by commas.
fn tries_text(tries: &[retry::Attempt]) -> String {
    let mut text = String::new();
    for retry::Attempt { upstream, end } in tries {
        let separator = if text.is_empty() { "" } else { "," };
        write!(text, "{separator}{upstream}:{end}").expect("writing to a string cannot fail");
    }
    text
}
