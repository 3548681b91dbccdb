//! Retries: decides whether a request is sent to another upstream after an attempt ended.
//!
//! Tracks the progress of one request: the selected upstreams, how each attempt ended ([`attempt`])
//! and whether the request may have been executed. [`dispatcher`] selects the upstream of each
//! attempt, [`retry_budget`] limits retries through the `take_retry` argument, and [`give_up`]
//! defines the failure reasons. The gateway's `proxy::tries` performs the I/O and reports how each
//! attempt ended.
//!
//! [`retry_budget`]: crate::dispatch::retry_budget
//! [`attempt`]: crate::dispatch::attempt

use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;
use model::route;

use crate::dispatch::candidate;
use crate::dispatch::dispatcher;
use crate::dispatch::give_up;
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::reservation;
use crate::dispatch::seen_objects;
use crate::dispatch::slots;
use crate::dispatch::urgency;

pub use crate::dispatch::attempt::{Attempt, End, Outcome};

/// Number of unreachable upstreams after which a request fails.
///
/// With 3, requests fail while other upstreams are idle if several upstreams crash together.
const MAX_UNREACHABLE: usize = 6;

/// Next step after an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Next {
    /// Forward the response.
    Answer,
    /// Try another upstream. Nothing was sent, so no retry was taken from the budget.
    TryAnother,
    /// Try another upstream; a retry was taken from the budget.
    Retry,
    /// Fail the request with this reason.
    GiveUp(give_up::Reason),
}

/// Properties of a request that are the same for all attempts.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The route of the request.
    pub route: &'a route::Route,
    /// The service selected by the route.
    pub service: &'a id::Service,
    /// Hash of the request's object, or of the request itself if it has no object.
    pub key: u64,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// Regions that may serve the request; empty for all regions.
    pub homes: &'a [id::Region],
    /// The urgency of the request.
    pub urgency: urgency::Urgency,
    /// What a return of the caller is recognised by; `None` if no room is reserved for it.
    pub caller: Option<reservation::Caller>,
}

/// The upstream selected for an attempt.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The upstream.
    pub upstream: sync::Arc<discovery::Entry>,
    /// Whether this is the first attempt of the request.
    pub is_first: bool,
    /// The request's object, if any.
    pub object: Option<seen_objects::Object>,
    /// The upstream preferred for the object, if it was avoided because it is leaving or in a rest
    /// period.
    pub avoided: Option<id::Upstream>,
    /// Better candidates that were skipped because their announced limits are used up.
    pub skipped: Vec<id::Upstream>,
    /// The slot that the attempt needs; `None` if it is sent without one.
    pub slot: Option<NeededSlot>,
}

/// The slot that an attempt needs, and the candidate that is to be checked where it gets none.
#[derive(Clone, Debug)]
pub struct NeededSlot {
    /// What the owner is asked for.
    pub need: slots::Need,
    candidate: Box<candidate::Candidate>,
}

impl Choice {
    /// Returns whether the request is diverted because of statements that upstreams made about
    /// themselves.
    #[must_use]
    pub fn is_diverted(&self) -> bool {
        self.avoided.is_some() || !self.skipped.is_empty()
    }
}

/// What the current attempt waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// There is no attempt.
    Idle,
    /// A slot of the upstream.
    Slot,
    /// A connection to the upstream.
    Connection,
    /// The upstream's response.
    Answer,
}

/// Progress of one request over its attempts.
#[derive(Clone, Debug)]
pub struct Progress {
    is_repeatable: bool,
    max_attempts: u32,
    chosen: Vec<id::Upstream>,
    /// Hall of the latest upstream.
    hall: Option<id::Hall>,
    /// Halls in which an attempt got no response.
    failed_halls: Vec<id::Hall>,
    ended_attempts: Vec<Attempt>,
    stage: Stage,
    sent: u32,
    unreachable: usize,
    may_have_run: bool,
    refusal: Option<refusal::Refusal>,
}

impl Progress {
    /// Creates the progress of a request of `route`, without attempts.
    #[must_use]
    pub fn new(route: &route::Route) -> Self {
        Self {
            is_repeatable: route.repetition.is_repeatable(),
            max_attempts: route.max_attempts,
            chosen: Vec::new(),
            hall: None,
            failed_halls: Vec::new(),
            ended_attempts: Vec::new(),
            stage: Stage::Idle,
            sent: 0,
            unreachable: 0,
            may_have_run: false,
            refusal: None,
        }
    }

    /// Returns the upstreams selected so far, the latest last.
    #[must_use]
    pub fn chosen(&self) -> &[id::Upstream] {
        &self.chosen
    }

    /// Returns the attempts that ended, in order.
    #[must_use]
    pub fn ended(&self) -> &[Attempt] {
        &self.ended_attempts
    }

    /// Returns the dispatcher's refusal, if it ended the request.
    #[must_use]
    pub fn refusal(&self) -> Option<&refusal::Refusal> {
        self.refusal.as_ref()
    }

    /// Starts an attempt and selects its upstream at `now`.
    ///
    /// # Errors
    ///
    /// Returns the failure reason if the dispatcher refuses the request.
    pub fn choose(
        &mut self,
        request: Request<'_>,
        dispatcher: &mut dispatcher::Dispatcher,
        now: Instant,
    ) -> Result<Choice, give_up::Reason> {
        match dispatcher.choose(&self.dispatcher_request(request, now), now) {
            Ok(candidate) => {
                let is_first = self.chosen.is_empty();
                self.chosen.push(candidate.entry.id.clone());
                self.hall = Some(candidate.entry.hall.clone());
                self.stage = Stage::Connection;
                let slot = candidate.slot.clone().map(|need| {
                    let candidate = Box::new(candidate.clone());
                    NeededSlot { need, candidate }
                });
                Ok(Choice {
                    upstream: candidate.entry,
                    is_first,
                    object: candidate.object,
                    avoided: candidate.avoided,
                    skipped: candidate.skipped,
                    slot,
                })
            }
            Err(refusal) => {
                let reason = refusal.reason();
                self.refusal = Some(refusal);
                Err(self.unless_may_have_run(reason))
            }
        }
    }

    /// Takes back the latest selection, whose upstream is not used for the attempt after all.
    pub fn withdraw_choice(&mut self) {
        self.chosen.pop();
        self.stage = Stage::Idle;
    }

    /// Returns the failure reason of a request that its last upstream refused.
    ///
    /// This is `Resting` if all upstreams have meanwhile asked for a rest period.
    #[must_use]
    pub fn reason_after_refusal(
        &self,
        request: Request<'_>,
        dispatcher: &mut dispatcher::Dispatcher,
        now: Instant,
    ) -> give_up::Reason {
        match dispatcher.all_rest(&self.dispatcher_request(request, now), now) {
            Some(retry_after) => give_up::Reason::Resting { retry_after },
            None => give_up::Reason::Refused,
        }
    }

    fn dispatcher_request<'a>(
        &'a self,
        request: Request<'a>,
        now: Instant,
    ) -> request::Request<'a> {
        request::Request {
            route: request.route,
            service: request.service,
            key: request.key,
            tried: &self.chosen,
            failed_halls: &self.failed_halls,
            time_left: request.deadline.saturating_duration_since(now),
            homes: request.homes,
            urgency: request.urgency,
            caller: request.caller,
        }
    }

    /// Returns the failure reason of a request whose organisation's key was revoked.
    #[must_use]
    pub fn reason_after_revocation(&self) -> give_up::Reason {
        self.unless_may_have_run(give_up::Reason::Revoked)
    }

    /// Returns the failure reason of a request that was quarantined.
    #[must_use]
    pub fn reason_in_quarantine(&self, retry_after: Duration) -> give_up::Reason {
        self.unless_may_have_run(give_up::Reason::Quarantined { retry_after })
    }

    /// Returns the failure reason of a request that may not end before this node exits.
    pub fn reason_while_stopping(&mut self) -> give_up::Reason {
        self.stage = Stage::Idle;
        self.unless_may_have_run(give_up::Reason::Stopping)
    }

    /// Records that the current attempt waits for a slot of its upstream.
    pub fn awaiting_slot(&mut self) {
        self.stage = Stage::Slot;
    }

    /// Decides whether the current attempt, which got no answer from the owner of its slot or was
    /// declined, is sent without a slot.
    ///
    /// # Errors
    ///
    /// Returns the failure reason if the upstream is expected to respond too late.
    pub fn admit_without_slot(
        &mut self,
        request: Request<'_>,
        slot: &NeededSlot,
        dispatcher: &dispatcher::Dispatcher,
        now: Instant,
    ) -> Result<(), give_up::Reason> {
        let request = self.dispatcher_request(request, now);
        let admitted = dispatcher.admit_without_slot(&slot.candidate, &request, now);
        admitted.map_err(|refusal| self.refuse(refusal))
    }

    /// Ends the request before its current attempt started, because of a refusal by a slot owner.
    pub fn refuse(&mut self, refusal: refusal::Refusal) -> give_up::Reason {
        self.stage = Stage::Idle;
        let reason = self.unless_may_have_run(refusal.reason());
        self.refusal = Some(refusal);
        reason
    }

    /// Records that the current attempt opens a connection, for the first time or again.
    pub fn connecting(&mut self) {
        self.stage = Stage::Connection;
    }

    /// Records that the current attempt sends the request.
    pub fn sending(&mut self) {
        self.stage = Stage::Answer;
    }

    /// Ends the current attempt and decides the next step.
    ///
    /// `is_body_ready` states whether the body can be sent again. `take_retry` takes one retry from
    /// the budget; it is called only if all other conditions for a retry hold.
    pub fn end(
        &mut self,
        outcome: Outcome,
        is_body_ready: bool,
        take_retry: impl FnOnce() -> bool,
    ) -> Next {
        let next = match outcome {
            Outcome::Answered(_) => Next::Answer,
            Outcome::Refused | Outcome::Replaced => {
                self.sent += 1;
                self.retry_or_fail(is_body_ready, take_retry, give_up::Reason::Refused)
            }
            Outcome::Broken(_) => {
                self.record_failed_hall();
                self.sent += 1;
                self.may_have_run = true;
                let is_ready = self.is_repeatable && is_body_ready;
                self.retry_or_fail(is_ready, take_retry, give_up::Reason::MayHaveRun)
            }
            Outcome::NotSent(_) => {
                self.record_failed_hall();
                self.next_after_unreachable(is_body_ready)
            }
        };
        self.record_end(End::Outcome(outcome));
        next
    }

    /// Returns whether the request may be sent to another upstream although the current attempt was sent and
    /// may be executed.
    #[must_use]
    pub fn may_repeat(&self, is_body_ready: bool) -> bool {
        self.is_repeatable && is_body_ready && self.sent + 1 < self.max_attempts
    }

    /// Ends the request at its deadline, together with the pending attempt.
    pub fn expire(&mut self) -> give_up::Reason {
        let reason = match (self.may_have_run, self.stage) {
            (true, _) | (_, Stage::Answer) => give_up::Reason::TimedOut,
            (false, Stage::Idle | Stage::Slot | Stage::Connection) => give_up::Reason::NotSent,
        };
        match self.stage {
            Stage::Idle => {}
            Stage::Slot => self.record_end(End::NoSlot),
            Stage::Connection => self.record_end(End::NoConnection),
            Stage::Answer => self.record_end(End::NoAnswer),
        }
        reason
    }

    /// Ends the request shortly before this node exits, together with the pending attempt.
    pub fn curtail(&mut self) -> give_up::Reason {
        let reason = self.expire();
        match reason.is_proved_not_run() {
            true => give_up::Reason::Stopping,
            false => give_up::Reason::Curtailed,
        }
    }

    /// Decides the next step after a failed connection.
    ///
    /// Nothing was sent, so it counts neither as one of the route's attempts nor against the retry
    /// budget. If the body was handed to the connection and cannot be sent again, the request
    /// fails, because the next upstream would receive an empty body.
    fn next_after_unreachable(&mut self, is_body_ready: bool) -> Next {
        self.unreachable += 1;
        match self.unreachable >= MAX_UNREACHABLE || !is_body_ready {
            true => Next::GiveUp(self.unless_may_have_run(give_up::Reason::Unreachable)),
            false => Next::TryAnother,
        }
    }

    /// Takes a retry if the body, the route's attempt limit and the budget allow it, checked in
    /// this order.
    fn retry_or_fail(
        &self,
        is_body_ready: bool,
        take_retry: impl FnOnce() -> bool,
        failure: give_up::Reason,
    ) -> Next {
        match is_body_ready && self.sent < self.max_attempts && take_retry() {
            true => Next::Retry,
            false => Next::GiveUp(self.unless_may_have_run(failure)),
        }
    }

    /// Returns `reason`, or `MayHaveRun` if an earlier attempt may have executed the request.
    fn unless_may_have_run(&self, reason: give_up::Reason) -> give_up::Reason {
        match self.may_have_run {
            true => give_up::Reason::MayHaveRun,
            false => reason,
        }
    }

    /// Records that the current attempt got no response, which the upstream's hall may share with its other upstreams.
    fn record_failed_hall(&mut self) {
        self.failed_halls.extend(self.hall.take());
    }

    fn record_end(&mut self, end: End) {
        self.stage = Stage::Idle;
        if let Some(upstream) = self.chosen.last().cloned() {
            self.ended_attempts.push(Attempt { upstream, end });
        }
    }
}
