//! Tries: sends a request to upstreams until one responds or the request fails.
//!
//! Owns the progress of one request. `choice` selects the upstream of each try, `cold_check` checks that it is warm
//! if this node cannot tell, `slot` waits for a slot of the upstream if one is needed, and `sending` sends the
//! request there.
//! [`steer::dispatch::retry`] makes every decision. The handler calls it and enforces the request's deadline.

mod choice;
mod cold_check;
mod sending;
mod slot;

use std::rc;
use std::time::Instant;

use http::{Response, StatusCode};
use model::id;
use model::organisation;
use model::route;
use model::routing;
use platform::field;
use steer::dispatch::execution;
use steer::dispatch::give_up;
use steer::dispatch::outcome;
use steer::dispatch::quarantine;
use steer::dispatch::refusal;
use steer::dispatch::reservation;
use steer::dispatch::retry;
use steer::dispatch::upstream_deadline;

use crate::common::body;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::crash;
use crate::gateway::proxy::exchange;
use crate::gateway::proxy::head;
use crate::gateway::proxy::identity;
use crate::gateway::proxy::in_flight;
use crate::gateway::proxy::request_body;
use crate::gateway::proxy::server;

/// Log text of a try whose upstream stopped accepting requests after it was selected.
const WITHDRAWN: &str = "withdrawn";

/// Log text of a try that needed a new connection to a group of upstreams that cannot be connected to.
const UNREACHED: &str = "unreached";

/// Log text of a try for which too little time was left before the exit of this node.
const LATE: &str = "late";

/// Log text of a try that was sent and whose upstream was found out of reach before a response.
const UNANSWERED: &str = "unanswered";

/// Value of the log key `status` if an upstream has not responded.
const NO_STATUS: u16 = 0;

/// A request as it is sent to upstreams.
#[derive(Debug)]
pub struct Request<'a> {
    /// The head.
    pub head: &'a head::Head,
    /// The body, with its buffered beginning.
    pub body: request_body::Body,
    /// The route.
    pub route: &'a route::Route,
    /// The service selected by the route.
    pub service: &'a id::Service,
    /// The rules of that service, if the configuration contains any.
    pub rules: Option<&'a routing::ServiceRules>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// The organisation that sends the request; `None` if the route requires none.
    pub organisation: Option<&'a organisation::Organisation>,
    /// Regions that may serve the request; all regions if empty.
    pub homes: &'a [id::Region],
    /// What a return of the caller is recognised by; `None` if no room is reserved for it.
    pub caller: Option<reservation::Caller>,
    /// The request's entry among the requests in flight.
    pub in_flight: rc::Rc<in_flight::Request>,
}

/// The tries of one request.
#[derive(Debug)]
pub struct Tries<'a> {
    server: &'a server::Server,
    request: Request<'a>,
    identity: identity::Identity<'a>,
    /// Why the request is quarantined; `None` if it is not.
    held: Option<quarantine::Hold>,
    progress: retry::Progress,
    /// The deadline that the upstream of the current try got.
    upstream_deadline: upstream_deadline::Deadline,
}

impl<'a> Tries<'a> {
    /// Creates the tries of a request, none of which has started.
    #[must_use]
    pub fn new(server: &'a server::Server, request: Request<'a>) -> Self {
        let progress = retry::Progress::new(request.route);
        let organisation = request.organisation.map(|o| &o.name);
        let body = request.body.beginning();
        let identity = identity::Identity::new(&server.state, request.head, organisation, body);
        let upstream_deadline =
            upstream_deadline::Deadline::new(request.deadline, server.state.exit_for_upstreams());
        Self { server, request, identity, held: None, progress, upstream_deadline }
    }

    /// Returns the tries that ended, in order.
    #[must_use]
    pub fn ended(&self) -> &[retry::Attempt] {
        self.progress.ended()
    }

    /// Returns the dispatcher's refusal, if one ended the request.
    #[must_use]
    pub fn refusal(&self) -> Option<&refusal::Refusal> {
        self.progress.refusal()
    }

    /// Returns why the request is quarantined; `None` if it is not.
    #[must_use]
    pub fn held(&self) -> Option<&quarantine::Hold> {
        self.held.as_ref()
    }

    /// Ends the request at its deadline.
    pub fn expire(&mut self) -> give_up::Reason {
        self.progress.expire()
    }

    /// Ends the request shortly before this node exits.
    ///
    /// The dropped attempt counts as abandoned, because that no response has come says nothing about the upstream.
    pub fn curtail(&mut self) -> give_up::Reason {
        let reason = self.progress.curtail();
        if reason == give_up::Reason::Curtailed {
            self.log_curtailed();
        }
        reason
    }

    fn log_curtailed(&self) {
        let left = self.request.deadline.saturating_duration_since(Instant::now());
        log::info!(
            request = self.request.head.request_id.as_str(),
            upstream = self.progress.chosen().last().map_or("", id::Upstream::as_str),
            status = NO_STATUS,
            left_ms = field::whole_millis(left);
            "request-curtailed"
        );
    }

    /// Sends the request to upstreams until one responds.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request fails.
    pub async fn run(&mut self) -> Result<Response<body::Body>, give_up::Reason> {
        loop {
            self.request.in_flight.set_phase(in_flight::Phase::WaitingForUpstream);
            let choice = self.choose_warm().await?;
            self.request.in_flight.set_upstream(&choice.upstream.id);
            let slot = self.hold_slot(&choice).await?;
            let deadline = self.request.deadline;
            let began = Instant::now();
            self.request.in_flight.set_sent(began);
            let route = &self.request.route.name;
            let state = &self.server.state;
            let mut attempt = attempt::Attempt::start(state, &choice, route, deadline, slot);
            match self.send(&choice.upstream).await {
                Ok((connection, answer)) if is_final(&answer) => {
                    let status = answer.head.status().as_u16();
                    attempt.note_status(answer.head.status());
                    self.identity.record_answer(&answer);
                    self.end(retry::Outcome::Answered(status))?;
                    return Ok(self.pass_on(attempt, connection, answer));
                }
                Ok((connection, answer)) => self.refused(attempt, connection, answer)?,
                Err(exchange::Failure::NotSent(cause)) => {
                    attempt.end(outcome::Outcome::NotSent);
                    self.end(retry::Outcome::NotSent(cause))?;
                }
                Err(exchange::Failure::Withdrawn) => self.abandon(attempt, WITHDRAWN)?,
                Err(exchange::Failure::Late) => self.abandon(attempt, LATE)?,
                Err(exchange::Failure::Shortage(cause)) => self.abandon(attempt, &cause)?,
                Err(exchange::Failure::Unreached) => self.abandon(attempt, UNREACHED)?,
                Err(exchange::Failure::Closed(cause)) => {
                    attempt.end(outcome::Outcome::Broken);
                    self.server.state.metrics.broken.add(1);
                    self.server.state.record_connection_failure(&choice.upstream);
                    let sent = self.identity.sent(&choice.upstream, began);
                    crash::check(&self.server.state, sent).await;
                    self.end(retry::Outcome::Broken(cause))?;
                }
                Err(exchange::Failure::Unanswered) => {
                    self.broken(attempt, UNANSWERED.to_owned())?;
                }
                Err(exchange::Failure::Broken(cause)) => self.broken(attempt, cause)?,
            }
        }
    }

    /// Returns the deadline for an upstream that is asked now.
    fn deadline_for_upstream(&self) -> upstream_deadline::Deadline {
        let exit = self.server.state.exit_for_upstreams();
        upstream_deadline::Deadline::new(self.request.deadline, exit)
    }

    /// Ends a try in which nothing was sent, for a cause that is no failure of the upstream.
    fn abandon(&mut self, attempt: attempt::Attempt, cause: &str) -> Result<(), give_up::Reason> {
        attempt.end(outcome::Outcome::Abandoned);
        self.end(retry::Outcome::NotSent(cause.to_owned()))
    }

    /// Ends a try after which the request may have been executed.
    fn broken(&mut self, attempt: attempt::Attempt, cause: String) -> Result<(), give_up::Reason> {
        attempt.end(outcome::Outcome::Broken);
        self.server.state.metrics.broken.add(1);
        self.end(retry::Outcome::Broken(cause))
    }

    /// Ends the current try; returns an error if the request fails.
    fn end(&mut self, outcome: retry::Outcome) -> Result<(), give_up::Reason> {
        let state = &self.server.state;
        let service = self.request.service;
        let take_retry = || state.dispatcher.borrow_mut().may_retry(service, Instant::now());
        match self.progress.end(outcome, self.request.body.is_ready(), take_retry) {
            retry::Next::Answer | retry::Next::TryAnother => Ok(()),
            retry::Next::Retry => {
                state.metrics.retries.add(1);
                Ok(())
            }
            retry::Next::GiveUp(give_up::Reason::Refused) => Err(self.turned_away()),
            retry::Next::GiveUp(reason) => Err(reason),
        }
    }
}

/// Returns whether a response is forwarded to the caller rather than followed by another try.
fn is_final(answer: &exchange::Answer) -> bool {
    answer.execution == execution::Execution::Ran || answer.head.status() == StatusCode::BAD_REQUEST
}
