//! Handle of a request in flight, by which the handler and its tries record its progress.

use std::cell;
use std::rc;
use std::time::Instant;

use model::id;

use crate::common::delivery;
use crate::gateway::proxy::in_flight::entry::{Entry, Response};
use crate::gateway::proxy::in_flight::phase::Phase;
use crate::gateway::proxy::in_flight::registry::Registry;
use crate::gateway::proxy::in_flight::tally::End;

/// Handle of a request in flight, which is in the registry until the handle is dropped.
#[derive(Debug)]
pub struct Request {
    registry: rc::Rc<Registry>,
    number: u64,
    arrived: Instant,
    end: cell::Cell<End>,
}

impl Request {
    pub(super) fn new(registry: rc::Rc<Registry>, number: u64, arrived: Instant) -> Self {
        Self { registry, number, arrived, end: cell::Cell::default() }
    }

    /// Returns when the request arrived.
    #[must_use]
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Returns whether the process has reported the request as unfinished.
    #[must_use]
    pub fn is_reported(&self) -> bool {
        self.registry.is_closed()
    }

    /// Records the request's id.
    pub fn set_id(&self, id: &str) {
        self.update(|entry| id.clone_into(&mut entry.id));
    }

    /// Records the route.
    pub fn set_route(&self, route: &id::Route) {
        self.update(|entry| entry.route = Some(route.clone()));
    }

    /// Records the service.
    pub fn set_service(&self, service: &id::Service) {
        self.update(|entry| entry.service = Some(service.clone()));
    }

    /// Records the deadline.
    pub fn set_deadline(&self, deadline: Instant) {
        self.update(|entry| entry.deadline = Some(deadline));
    }

    /// Records what the request waits for.
    pub fn set_phase(&self, phase: Phase) {
        self.update(|entry| entry.phase = phase);
    }

    /// Records the upstream of the current try.
    pub fn set_upstream(&self, upstream: &id::Upstream) {
        self.update(|entry| entry.upstream = Some(upstream.clone()));
    }

    /// Records when the request is expected to end; `None` unless the process stops.
    pub fn set_expected_end(&self, expected_end: Option<Instant>) {
        self.update(|entry| entry.expected_end = expected_end);
    }

    /// Records the response, which is passed on from now on.
    pub fn set_response(&self, response: Response) {
        self.update(|entry| {
            entry.response = Some(response);
            entry.phase = Phase::PassingOn;
        });
    }

    /// Records that the response was delivered.
    pub fn set_delivered(&self) {
        self.end.set(End::Delivered);
    }

    /// Records that the connection ended before the response was delivered.
    pub fn set_undelivered(&self) {
        self.end.set(End::Undelivered);
    }

    /// Records that the response of the upstream was cut off.
    pub fn set_cut_off(&self) {
        self.update(|entry| {
            entry.response = entry.response.map(|response| Response::Failed(response.status()));
        });
    }

    /// Records the progress of the response, which was handed to the HTTP library.
    pub fn set_progress(&self, progress: delivery::Progress) {
        self.update(|entry| entry.progress = Some(progress));
    }

    /// Records when the current try was sent.
    pub fn set_sent(&self, sent: Instant) {
        self.update(|entry| entry.sent = Some(sent));
    }

    /// Calls `read` with the entry, which is in the registry as long as the handle.
    pub fn read(&self, read: impl FnOnce(&Entry)) {
        self.registry.read(self.number, read);
    }

    /// Returns whether the process stops and has not reported the request as unfinished.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.registry.is_stopping() && !self.registry.is_closed()
    }

    fn update(&self, change: impl FnOnce(&mut Entry)) {
        self.registry.update(self.number, change);
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        self.registry.leave(self.number, self.end.get());
    }
}
