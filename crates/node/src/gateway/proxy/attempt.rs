//! Attempt at an upstream, whose end is always reported to the dispatcher.
//!
//! Owns the start time and the crowding of one attempt. Dropping an attempt ends it, because its
//! deadline passed, its caller disconnected or this node is about to exit.

use std::rc;
use std::sync;
use std::time::Instant;

use http::StatusCode;
use model::discovery;
use model::id;
use model::load;
use steer::dispatch::dispatcher::rollouts;
use steer::dispatch::outcome;
use steer::dispatch::retry;
use steer::dispatch::seen_objects;

use crate::gateway::slots;
use crate::gateway::state;

/// An attempt in flight. Dropping it reports it as timed out or abandoned.
#[derive(Debug)]
pub struct Attempt {
    state: rc::Rc<state::State>,
    /// The upstream.
    pub upstream: sync::Arc<discovery::Entry>,
    route: id::Route,
    object: Option<seen_objects::Object>,
    /// Whether the upstream responded with a server error.
    has_failed: bool,
    began: Instant,
    crowding: f64,
    deadline: Instant,
    is_reported: bool,
    /// The slot of the upstream that the attempt holds, if it needs one; released after the end was reported.
    slot: Option<slots::Guard>,
}

impl Attempt {
    /// Starts an attempt.
    #[must_use]
    pub fn start(
        state: &rc::Rc<state::State>,
        choice: &retry::Choice,
        route: &id::Route,
        deadline: Instant,
        slot: Option<slots::Guard>,
    ) -> Self {
        let now = Instant::now();
        let retry::Choice { upstream, is_first, object, .. } = choice;
        let mut dispatcher = state.dispatcher.borrow_mut();
        let crowding = dispatcher.sent(&upstream.id, *is_first, now);
        state.metrics.tries.add(1);
        if dispatcher.is_lapsed(&upstream.id) {
            state.metrics.tries_lapsed.add(1);
        }
        if let Some(owner) = slot.as_ref().and_then(slots::Guard::owner) {
            dispatcher.record_held(upstream, owner);
        }
        drop(dispatcher);
        Self {
            state: rc::Rc::clone(state),
            upstream: sync::Arc::clone(upstream),
            route: route.clone(),
            object: *object,
            has_failed: false,
            began: now,
            crowding,
            deadline,
            is_reported: false,
            slot,
        }
    }

    /// Records the status of the response.
    pub fn note_status(&mut self, status: StatusCode) {
        self.has_failed = status.is_server_error();
    }

    /// Ends the attempt with a complete response.
    pub fn answered(self, load: Option<load::Report>) {
        let latency = self.began.elapsed();
        let (crowding, object) = (self.crowding, self.object);
        self.end(outcome::Outcome::Answered { latency, crowding, object, load });
    }

    /// Ends the attempt.
    pub fn end(mut self, outcome: outcome::Outcome) {
        self.report(outcome);
    }

    /// Returns the start time of the attempt.
    #[must_use]
    pub fn began(&self) -> Instant {
        self.began
    }

    /// Returns the deadline of the request.
    #[must_use]
    pub fn deadline(&self) -> Instant {
        self.deadline
    }

    /// Records how long the attempt took until its deadline passed.
    fn record_response_time(&self, now: Instant) {
        let kind = (self.route.clone(), self.upstream.service.clone());
        let took = now.saturating_duration_since(self.began);
        let allowed = self.deadline.saturating_duration_since(self.began);
        self.state.response_times.borrow_mut().record(&kind, took, allowed, now);
    }

    fn report(&mut self, outcome: outcome::Outcome) {
        if std::mem::replace(&mut self.is_reported, true) {
            return;
        }
        let now = Instant::now();
        let waited = now.saturating_duration_since(self.began);
        let mut dispatcher = self.state.dispatcher.borrow_mut();
        if let Some(answer) = self.answer(outcome) {
            dispatcher.judge(&self.upstream, &self.route, answer, now);
        }
        dispatcher.ended(&self.upstream, outcome, waited, now);
        // A response is recorded when it has been delivered.
        if outcome == outcome::Outcome::TimedOut {
            self.record_response_time(now);
        }
        if let Some(owner) = self.slot.as_ref().and_then(slots::Guard::owner) {
            dispatcher.record_released(&self.upstream, owner);
        }
    }

    /// Returns the result that counts for the upstream's version; `None` if the upstream did not
    /// execute the request, or could not end it.
    fn answer(&self, outcome: outcome::Outcome) -> Option<rollouts::Answer> {
        match outcome {
            outcome::Outcome::Answered { .. } if self.has_failed => Some(rollouts::Answer::Failure),
            outcome::Outcome::Answered { latency, crowding, object, .. } => {
                let familiarity = object
                    .map_or(seen_objects::Familiarity::Preferred, |object| object.familiarity);
                Some(rollouts::Answer::Success { latency, crowding, familiarity })
            }
            outcome::Outcome::Broken | outcome::Outcome::TimedOut => {
                Some(rollouts::Answer::Failure)
            }
            outcome::Outcome::Refused { .. }
            | outcome::Outcome::Curtailed { .. }
            | outcome::Outcome::Replaced
            | outcome::Outcome::NotSent
            | outcome::Outcome::Abandoned => None,
        }
    }
}

impl Drop for Attempt {
    fn drop(&mut self) {
        let outcome = match Instant::now() >= self.deadline {
            true => outcome::Outcome::TimedOut,
            false => outcome::Outcome::Abandoned,
        };
        self.report(outcome);
    }
}
