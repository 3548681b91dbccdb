//! Entry of a request in flight: what is known of it, and how the gateway responded.

use std::time::Instant;

use http::StatusCode;
use model::id;

use crate::common::delivery;
use crate::gateway::proxy::in_flight::phase::Phase;

/// How the gateway responded to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Response {
    /// With the response of an upstream.
    Answered(StatusCode),
    /// With a refusal that proves that the request was not executed.
    Refused(StatusCode),
    /// With a response that leaves open whether the request was executed.
    Failed(StatusCode),
}

impl Response {
    /// Returns the status of the response.
    #[must_use]
    pub fn status(self) -> StatusCode {
        match self {
            Self::Answered(status) | Self::Refused(status) | Self::Failed(status) => status,
        }
    }
}

/// A request in flight.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The request's id; empty until its head was read.
    pub id: String,
    /// The route.
    pub route: Option<id::Route>,
    /// The service.
    pub service: Option<id::Service>,
    /// The upstream of the current try.
    pub upstream: Option<id::Upstream>,
    /// What the request waits for, unless its response was handed to the HTTP library.
    pub(super) phase: Phase,
    /// Progress of the response, if it was handed to the HTTP library.
    pub(super) progress: Option<delivery::Progress>,
    /// Time at which the request arrived.
    pub arrived: Instant,
    /// Time at which the caller stops waiting.
    pub deadline: Option<Instant>,
    /// Time at which the current try was sent.
    pub sent: Option<Instant>,
    /// Time at which the request was expected to end when it was sent during a stop.
    pub expected_end: Option<Instant>,
    /// The response, if there is one.
    pub response: Option<Response>,
}

impl Entry {
    pub(super) fn new(arrived: Instant) -> Self {
        Self {
            id: String::new(),
            route: None,
            service: None,
            upstream: None,
            phase: Phase::default(),
            progress: None,
            arrived,
            deadline: None,
            sent: None,
            expected_end: None,
            response: None,
        }
    }

    /// Returns what the request waits for.
    #[must_use]
    pub fn phase(&self) -> Phase {
        match &self.progress {
            Some(progress) if progress.is_written() => Phase::Written,
            _ => self.phase,
        }
    }

    pub(super) fn route_name(&self) -> &str {
        self.route.as_ref().map_or("", id::Route::as_str)
    }
}
