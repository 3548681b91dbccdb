//! Retry: whether a request is sent to another upstream after a try ended.
//!
//! Owns the progress of one request: upstreams chosen, how each try ended ([`tried`]), whether it may have run.
//! Relies on [`dispatcher`] for the upstream of each try, on [`retry_budget`] through the caller's
//! `take_retry`, and on [`give_up`] for the reasons. The gateway's `proxy::tries` performs the I/O and
//! reports how each try ended.
//!
//! [`retry_budget`]: crate::dispatch::retry_budget
//! [`tried`]: crate::dispatch::tried

use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;
use model::route;

use crate::dispatch::dispatcher;
use crate::dispatch::give_up;
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::seen_objects;
use crate::dispatch::urgency;

pub use crate::dispatch::tried::{End, Outcome, Try};

/// Failed connections, in upstreams, after which a request is given up.
///
/// Measured: docs/incidents/diagne.md, inc-c429. Three gave requests up while other upstreams were
/// idle, because several had crashed together; six was not compared with other limits.
const MAX_UNREACHABLE: usize = 6;

/// What follows a try.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Pass the answer on.
    Answer,
    /// Try another upstream. The first send failed before it began, so no retry was taken.
    TryAnother,
    /// Try another upstream; a retry was taken from the budget.
    Retry,
    /// Answer the caller with this reason.
    GiveUp(give_up::Reason),
}

/// What stays the same for all tries of a request.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// Its route.
    pub route: &'a route::Route,
    /// The service of the route that answers it.
    pub service: &'a id::Service,
    /// Hash of its object; of the request itself when it has none.
    pub key: u64,
    /// Time at which its caller stops waiting.
    pub deadline: Instant,
    /// Regions that may serve it; all when empty.
    pub homes: &'a [id::Region],
    /// How urgent it is.
    pub urgency: urgency::Urgency,
}

/// The upstream chosen for a try.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: sync::Arc<discovery::Entry>,
    /// Whether it is the first one of the request.
    pub is_first: bool,
    /// The request's object; none when it has none.
    pub object: Option<seen_objects::Object>,
    /// The upstream that the request's object prefers, where it said that it leaves, or rests.
    pub avoided: Option<id::Upstream>,
    /// Upstreams that came before it, and whose limits are used up.
    pub skipped: Vec<id::Upstream>,
}

impl Choice {
    /// Returns whether the request goes elsewhere for what upstreams say of themselves.
    #[must_use]
    pub fn is_diverted(&self) -> bool {
        self.avoided.is_some() || !self.skipped.is_empty()
    }
}

/// What the current try waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There is no try.
    Idle,
    /// The upstream's connection.
    Connection,
    /// The upstream's answer.
    Answer,
}

/// Progress of one request over its tries.
#[derive(Clone, Debug)]
pub struct Progress {
    is_repeatable: bool,
    max_attempts: u32,
    chosen: Vec<id::Upstream>,
    ended: Vec<Try>,
    stage: Stage,
    sent: u32,
    unreachable: usize,
    may_have_run: bool,
    refusal: Option<refusal::Refusal>,
}

impl Progress {
    /// Starts a request of `route` without a try.
    #[must_use]
    pub fn new(route: &route::Route) -> Self {
        Self {
            is_repeatable: route.repetition.is_repeatable(),
            max_attempts: route.max_attempts,
            chosen: Vec::new(),
            ended: Vec::new(),
            stage: Stage::Idle,
            sent: 0,
            unreachable: 0,
            may_have_run: false,
            refusal: None,
        }
    }

    /// Returns the upstreams chosen so far, the latest last.
    #[must_use]
    pub fn chosen(&self) -> &[id::Upstream] {
        &self.chosen
    }

    /// Returns the tries that ended, in order.
    #[must_use]
    pub fn ended(&self) -> &[Try] {
        &self.ended
    }

    /// Returns the dispatcher's refusal, if one ended the request.
    #[must_use]
    pub fn refusal(&self) -> Option<&refusal::Refusal> {
        self.refusal.as_ref()
    }

    /// Starts a try: chooses its upstream at `now`.
    ///
    /// # Errors
    ///
    /// Returns why the request is given up when the dispatcher refuses it.
    pub fn choose(
        &mut self,
        request: Request<'_>,
        dispatcher: &mut dispatcher::Dispatcher,
        now: Instant,
    ) -> Result<Choice, give_up::Reason> {
        match dispatcher.choose(&self.for_dispatcher(request, now), now) {
            Ok(candidate) => {
                let is_first = self.chosen.is_empty();
                self.chosen.push(candidate.entry.id.clone());
                self.stage = Stage::Connection;
                Ok(Choice {
                    upstream: candidate.entry,
                    is_first,
                    object: candidate.object,
                    avoided: candidate.avoided,
                    skipped: candidate.skipped,
                })
            }
            Err(refusal) => {
                let reason = refusal.reason();
                self.refusal = Some(refusal);
                Err(self.reason(reason))
            }
        }
    }

    /// Gives the request up because its last upstream refused it, or since all upstreams rest.
    #[must_use]
    pub fn turned_away(
        &self,
        request: Request<'_>,
        dispatcher: &mut dispatcher::Dispatcher,
        now: Instant,
    ) -> give_up::Reason {
        match dispatcher.all_rest(&self.for_dispatcher(request, now), now) {
            Some(retry_after) => give_up::Reason::Resting { retry_after },
            None => give_up::Reason::TurnedAway,
        }
    }

    fn for_dispatcher<'a>(&'a self, request: Request<'a>, now: Instant) -> request::Request<'a> {
        request::Request {
            route: request.route,
            service: request.service,
            key: request.key,
            tried: &self.chosen,
            time_left: request.deadline.saturating_duration_since(now),
            homes: request.homes,
            urgency: request.urgency,
        }
    }

    /// Gives the request up because its organisation's key was taken away.
    #[must_use]
    pub fn revoke(&self) -> give_up::Reason {
        self.reason(give_up::Reason::Revoked)
    }

    /// Gives the request up because upstreams crash under it.
    #[must_use]
    pub fn hold(&self, retry_after: Duration) -> give_up::Reason {
        self.reason(give_up::Reason::Quarantined { retry_after })
    }

    /// Records that the current try opens a connection, for the first time or again.
    pub fn connecting(&mut self) {
        self.stage = Stage::Connection;
    }

    /// Records that the current try sends the request.
    pub fn sending(&mut self) {
        self.stage = Stage::Answer;
    }

    /// Ends the current try and decides what follows.
    ///
    /// `is_body_ready` says whether the body can be sent again. `take_retry` takes one retry from the
    /// fleet's budget, and is called only when all else allows one.
    pub fn end(
        &mut self,
        outcome: Outcome,
        is_body_ready: bool,
        take_retry: impl FnOnce() -> bool,
    ) -> Next {
        let next = match outcome {
            Outcome::Answered(_) => Next::Answer,
            Outcome::TurnedAway | Outcome::Replaced => {
                self.sent += 1;
                self.retry(is_body_ready, take_retry, give_up::Reason::TurnedAway)
            }
            Outcome::Broken(_) => {
                self.sent += 1;
                self.may_have_run = true;
                let is_ready = self.is_repeatable && is_body_ready;
                self.retry(is_ready, take_retry, give_up::Reason::MayHaveRun)
            }
            Outcome::NotSent(_) => self.after_unreachable(is_body_ready),
        };
        self.record(End::Outcome(outcome));
        next
    }

    /// Ends the request at its deadline, with the try that was not answered.
    pub fn expire(&mut self) -> give_up::Reason {
        let reason = match (self.may_have_run, self.stage) {
            (true, _) | (_, Stage::Answer) => give_up::Reason::TimedOut,
            (false, Stage::Idle | Stage::Connection) => give_up::Reason::NotSent,
        };
        match self.stage {
            Stage::Idle => {}
            Stage::Connection => self.record(End::NoConnection),
            Stage::Answer => self.record(End::NoAnswer),
        }
        reason
    }

    /// A failed connection sends nothing, so it costs neither an attempt nor a retry of the budget.
    ///
    /// A body that was handed to the connection and cannot be sent again ends the request: the next
    /// upstream would get it empty.
    fn after_unreachable(&mut self, is_body_ready: bool) -> Next {
        self.unreachable += 1;
        match self.unreachable >= MAX_UNREACHABLE || !is_body_ready {
            true => Next::GiveUp(self.reason(give_up::Reason::Unreachable)),
            false => Next::TryAnother,
        }
    }

    /// Takes a retry if the body, the route's attempts and the budget allow one, in this order.
    fn retry(
        &self,
        is_body_ready: bool,
        take_retry: impl FnOnce() -> bool,
        otherwise: give_up::Reason,
    ) -> Next {
        match is_body_ready && self.sent < self.max_attempts && take_retry() {
            true => Next::Retry,
            false => Next::GiveUp(self.reason(otherwise)),
        }
    }

    /// Returns `reason`, unless an earlier try may have run: then nothing proves the contrary.
    fn reason(&self, reason: give_up::Reason) -> give_up::Reason {
        match self.may_have_run {
            true => give_up::Reason::MayHaveRun,
            false => reason,
        }
    }

    fn record(&mut self, end: End) {
        self.stage = Stage::Idle;
        if let Some(upstream) = self.chosen.last().cloned() {
            self.ended.push(Try { upstream, end });
        }
    }
}
