//! What is logged and counted of one request.

use std::rc;
use std::time::Instant;

use http::StatusCode;
use model::id;

use crate::gateway::proxy::answer;
use crate::gateway::state;

/// Shown in the log for a request whose caller left; never sent.
const CLIENT_CLOSED: u16 = 499;

/// What is known of a request, for the line that explains its end.
#[derive(Debug)]
pub struct Trace {
    state: rc::Rc<state::State>,
    arrived: Instant,
    request: String,
    route: String,
    service: Option<id::Service>,
    version: u64,
    tried: String,
    inputs: String,
    is_ended: bool,
}

impl Trace {
    /// Starts with a request's arrival.
    #[must_use]
    pub fn new(state: &rc::Rc<state::State>) -> Self {
        Self {
            state: rc::Rc::clone(state),
            arrived: Instant::now(),
            request: String::new(),
            route: String::new(),
            service: None,
            version: 0,
            tried: String::new(),
            inputs: String::new(),
            is_ended: false,
        }
    }

    /// Returns when the request arrived.
    #[must_use]
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Notes the request's name.
    pub fn set_request(&mut self, request: &str) {
        request.clone_into(&mut self.request);
    }

    /// Notes the version of the configuration that decides.
    pub fn set_version(&mut self, version: u64) {
        self.version = version;
    }

    /// Notes the route.
    pub fn set_route(&mut self, route: &str) {
        route.clone_into(&mut self.route);
    }

    /// Notes the service.
    pub fn set_service(&mut self, service: &id::Service) {
        self.service = Some(service.clone());
    }

    /// Notes the tries, as `upstream:end` separated by commas, and what decided a refusal.
    pub fn set_tries(&mut self, tried: &str, inputs: &str) {
        tried.clone_into(&mut self.tried);
        inputs.clone_into(&mut self.inputs);
    }

    /// Notes that an upstream's answer is passed on.
    pub fn answered(&mut self, status: StatusCode) {
        self.is_ended = true;
        let metrics = &self.state.metrics;
        metrics.answered.add(1);
        metrics.latency.record(self.arrived.elapsed());
        match status.is_server_error() {
            true => self.log("upstream-error", status.as_u16(), "request-failed"),
            false if self.tried.contains(',') => {
                self.log("retried", status.as_u16(), "request-retried")
            }
            false => {}
        }
    }

    /// Notes that the gateway answers itself.
    pub fn refused(&mut self, reason: answer::Reason) {
        self.is_ended = true;
        let metrics = &self.state.metrics;
        let status = reason.status();
        match status {
            StatusCode::NOT_FOUND => metrics.unrouted.add(1),
            StatusCode::SERVICE_UNAVAILABLE => metrics.refused.add(1),
            _ => metrics.failed.add(1),
        }
        self.log(reason.as_str(), status.as_u16(), "request-failed");
    }

    fn log(&self, reason: &str, status: u16, event: &str) {
        let waited = self.arrived.elapsed().as_millis();
        let waited = u64::try_from(waited).unwrap_or(u64::MAX);
        log::info!(
            request = self.request.as_str(),
            status,
            reason,
            route = self.route.as_str(),
            service = self.service.as_ref().map_or("", id::Service::as_str),
            config = self.version,
            revision = self.state.replica.borrow().at(),
            tries = self.tried.as_str(),
            inputs = self.inputs.as_str(),
            waited_ms = waited;
            "{event}"
        );
    }
}

impl Drop for Trace {
    fn drop(&mut self) {
        if !self.is_ended {
            self.state.metrics.abandoned.add(1);
            self.log("caller-left", CLIENT_CLOSED, "request-abandoned");
        }
    }
}
