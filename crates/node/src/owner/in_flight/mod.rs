//! Requests in flight: what a node has taken and whose callers do not have the whole response yet.
//!
//! Shared by the threads that serve callers and peers. Owns each request's phase and, once the node is
//! stopping, the counts of how its requests ended. [`report`] logs what the exit cuts off.

pub mod passing;
pub mod phase;
pub mod report;
pub mod summary;

use std::collections;
use std::sync;
use std::time::Instant;

use http::{Response, StatusCode};
use model::clock;
use model::id;
use model::verdict;

use crate::common::head;
use crate::owner::runner;
use crate::owner::stopping;

use phase::Phase;

/// The result of a request, as its caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// An upstream answered it, with this status.
    Answered(StatusCode),
    /// It was not run.
    Refused(verdict::Reason),
    /// It may have run, and has no whole answer.
    Failed(verdict::Reason),
}

impl Outcome {
    /// Returns the outcome of a request whose response is here, or whose last try failed.
    #[must_use]
    pub fn of<B>(result: Result<&Response<B>, verdict::Failure>) -> Self {
        match result {
            Ok(response) => Self::Answered(response.status()),
            Err(failure) => match failure.verdict {
                verdict::Verdict::NotRun => Self::Refused(failure.reason),
                verdict::Verdict::MayHaveRun => Self::Failed(failure.reason),
            },
        }
    }
}

/// State of one request.
#[derive(Clone, Debug)]
pub struct State {
    /// The request's id, if its caller gave it one.
    pub id: Option<String>,
    /// The service, once it is known.
    pub service: Option<id::Service>,
    /// The upstream of the current try, once it is known.
    pub upstream: Option<id::Upstream>,
    /// What it waits for.
    pub phase: Phase,
    /// When it arrived.
    pub arrived: Instant,
    /// When its response is of no use any more, once that is known.
    pub deadline: Option<Instant>,
    /// Its result, once there is one.
    pub outcome: Option<Outcome>,
}

impl State {
    fn new(now: Instant) -> Self {
        Self {
            id: None,
            service: None,
            upstream: None,
            phase: Phase::ReadingBody,
            arrived: now,
            deadline: None,
            outcome: None,
        }
    }
}

/// All requests in flight.
#[derive(Debug)]
pub struct Registry {
    clock: sync::Arc<dyn clock::Clock>,
    inner: sync::Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    next: u64,
    requests: collections::BTreeMap<u64, State>,
    /// When the planned stop began.
    signalled: Option<Instant>,
    /// How requests ended since then.
    ended: summary::Summary,
}

impl Registry {
    /// Creates a registry without requests.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn clock::Clock>) -> Self {
        Self { clock, inner: sync::Mutex::default() }
    }

    /// Registers a request that has just arrived, until the last copy of what is returned is dropped.
    #[must_use]
    pub fn arrive(self: &sync::Arc<Self>) -> sync::Arc<Request> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let number = inner.next;
        inner.next += 1;
        inner.requests.insert(number, State::new(now));
        let registry = sync::Arc::clone(self);
        sync::Arc::new(Request { registry, number, measurement: sync::OnceLock::new() })
    }

    /// Counts from now on how requests end.
    pub fn begin_stop(&self, signalled: Instant) {
        self.lock().signalled = Some(signalled);
    }

    /// Returns the time by which requests are measured.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the requests in flight, the oldest first.
    #[must_use]
    pub fn requests(&self) -> Vec<State> {
        self.lock().requests.values().cloned().collect()
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.lock().requests.is_empty()
    }

    /// Returns how requests ended since the node began to stop; those in flight end with its exit at `now`.
    #[must_use]
    pub fn summary(&self, now: Instant) -> summary::Summary {
        let inner = self.lock();
        let mut summary = inner.ended.clone();
        for state in inner.requests.values() {
            summary.count(state, summary::End::CutOff, now);
        }
        summary
    }

    fn lock(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A request in flight; it ends when its last copy is dropped.
#[derive(Debug)]
pub struct Request {
    registry: sync::Arc<Registry>,
    number: u64,
    measurement: sync::OnceLock<stopping::Measurement>,
}

impl Request {
    /// Notes what is known once the head has been read.
    pub fn describe(&self, order: &runner::Order) {
        let id = order.headers.get(head::REQUEST_ID).and_then(|id| id.to_str().ok());
        self.update(|state| {
            state.id = id.map(str::to_owned);
            state.service = Some(order.service.name.clone());
            state.deadline = Some(order.deadline);
        });
    }

    /// Ends `measurement` with the request.
    pub fn measure(&self, measurement: stopping::Measurement) {
        // A request is sent on once, so there is none yet.
        let _ = self.measurement.set(measurement);
    }

    /// Notes what the request waits for.
    pub fn enter(&self, phase: Phase) {
        self.update(|state| state.phase = phase);
    }

    /// Notes the upstream of the current try.
    pub fn name_upstream(&self, upstream: &id::Upstream) {
        self.update(|state| state.upstream = Some(upstream.clone()));
    }

    /// Notes that the response is passed on from now on.
    pub fn respond(&self, outcome: Outcome) {
        self.update(|state| {
            state.phase = Phase::PassingOn;
            state.outcome = Some(outcome);
        });
    }

    /// Notes that the response broke off.
    pub fn break_off(&self) {
        self.update(|state| state.outcome = Some(Outcome::Failed(verdict::Reason::Broken)));
    }

    /// Notes that what was encoded of the response has left this node.
    pub fn deliver(&self) {
        self.update(|state| {
            if state.phase == Phase::Written {
                state.phase = Phase::Delivered;
            }
        });
    }

    fn update(&self, update: impl FnOnce(&mut State)) {
        if let Some(state) = self.registry.lock().requests.get_mut(&self.number) {
            update(state);
        }
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let now = self.registry.clock.now();
        let mut inner = self.registry.lock();
        let Some(state) = inner.requests.remove(&self.number) else { return };
        if inner.signalled.is_some() {
            inner.ended.count(&state, summary::End::Ended, now);
        }
        drop(inner);
        if let Some(measurement) = self.measurement.take() {
            measurement.end(&state, now);
        }
    }
}
