//! Planned stop of a node: which requests are still accepted, and what is still being passed on.
//!
//! Shared by the threads that serve callers and peers. [`response_times`] decides whether a request
//! ends before the node does.
//!
//! [`response_times`]: steer::common::response_times

use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant};

use model::id;
use steer::common::response_times::{self, ResponseTimes};

use crate::owner::runner;

/// Kind of requests whose response times are similar.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Kind {
    service: id::Service,
    method: String,
}

impl Kind {
    /// Returns the kind of a request.
    #[must_use]
    pub fn of(order: &runner::Order) -> Self {
        let method = order.method.as_str().to_owned();
        Self { service: order.service.name.clone(), method }
    }
}

/// State of a node's planned stop, and what it needs to know by then.
#[derive(Debug)]
pub struct Stopping {
    /// When the node exits at the latest; not set unless it is stopping.
    exit: sync::OnceLock<Instant>,
    response_times: sync::Mutex<ResponseTimes<Kind>>,
    /// Responses to peers of which a part has not been sent yet.
    open_responses: atomic::AtomicUsize,
}

impl Default for Stopping {
    fn default() -> Self {
        Self {
            exit: sync::OnceLock::new(),
            response_times: sync::Mutex::new(ResponseTimes::new(response_times::OWNER_EXCESS)),
            open_responses: atomic::AtomicUsize::new(0),
        }
    }
}

impl Stopping {
    /// Begins the stop of a node that exits at `exit` at the latest.
    pub fn begin(&self, exit: Instant) {
        // Fails only when the stop began before, with its own time.
        let _ = self.exit.set(exit);
    }

    /// Returns whether a request that is sent at `now` ends before the node exits, as far as that is known.
    #[must_use]
    pub fn has_time(&self, kind: &Kind, deadline: Instant, now: Instant) -> bool {
        let Some(exit) = self.exit.get() else { return true };
        self.response_times().ends_before(*exit, kind, deadline, Duration::ZERO, now)
    }

    /// Records a request whose deadline passed without a response.
    pub fn record_timeout(&self, kind: &Kind, sent: Instant, deadline: Instant) {
        let allowed = deadline.saturating_duration_since(sent);
        self.response_times().record(kind, allowed, allowed, deadline);
    }

    /// Measures the time of a request until the guard is dropped.
    #[must_use]
    pub fn measure(
        self: &sync::Arc<Self>,
        kind: &Kind,
        sent: Instant,
        deadline: Instant,
    ) -> Measurement {
        let stopping = sync::Arc::clone(self);
        Measurement { stopping, kind: kind.clone(), sent, deadline }
    }

    /// Counts a response to a peer as open until the guard is dropped.
    #[must_use]
    pub fn open_response(self: &sync::Arc<Self>) -> OpenResponse {
        self.open_responses.fetch_add(1, atomic::Ordering::Relaxed);
        OpenResponse(sync::Arc::clone(self))
    }

    /// Returns whether responses to peers are still being sent.
    #[must_use]
    pub fn has_open_responses(&self) -> bool {
        self.open_responses.load(atomic::Ordering::Relaxed) > 0
    }

    fn response_times(&self) -> sync::MutexGuard<'_, ResponseTimes<Kind>> {
        self.response_times.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Measures how long a request takes until its response has been passed on.
#[derive(Debug)]
pub struct Measurement {
    stopping: sync::Arc<Stopping>,
    kind: Kind,
    sent: Instant,
    deadline: Instant,
}

impl Drop for Measurement {
    fn drop(&mut self) {
        let now = Instant::now();
        let took = now.saturating_duration_since(self.sent);
        let allowed = self.deadline.saturating_duration_since(self.sent);
        self.stopping.response_times().record(&self.kind, took, allowed, now);
    }
}

/// Counts a response to a peer as open until it is dropped.
#[derive(Debug)]
pub struct OpenResponse(sync::Arc<Stopping>);

impl Drop for OpenResponse {
    fn drop(&mut self) {
        self.0.open_responses.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}
