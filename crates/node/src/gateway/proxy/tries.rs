//! Tries: sends a request to upstreams until one responds or the request fails.
//!
//! Owns the I/O of one request's tries: connections, sends, responses. [`steer::dispatch::retry`] makes every decision. The
//! handler calls it and enforces the request's deadline.

use std::rc;
use std::sync;
use std::time::Instant;

use http::{Response, StatusCode};
use model::discovery;
use model::id;
use model::key;
use model::organisation;
use model::route;
use model::routing;
use steer::dispatch::connectivity::group::Access;
use steer::dispatch::execution;
use steer::dispatch::give_up;
use steer::dispatch::outcome;
use steer::dispatch::quarantine;
use steer::dispatch::refusal;
use steer::dispatch::retry;
use steer::dispatch::urgency;

use crate::common::body;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::connection;
use crate::gateway::proxy::crash;
use crate::gateway::proxy::exchange;
use crate::gateway::proxy::head;
use crate::gateway::proxy::identity;
use crate::gateway::proxy::pool;
use crate::gateway::proxy::relay;
use crate::gateway::proxy::request_body;
use crate::gateway::proxy::server;

/// Log text of a try whose upstream stopped accepting requests after it was selected.
const WITHDRAWN: &str = "withdrawn";

/// Log text of a try that needed a new connection to a group of upstreams that cannot be connected to.
const UNREACHED: &str = "unreached";

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
}

impl<'a> Tries<'a> {
    /// Creates the tries of a request, none of which has started.
    #[must_use]
    pub fn new(server: &'a server::Server, request: Request<'a>) -> Self {
        let progress = retry::Progress::new(request.route);
        let organisation = request.organisation.map(|o| &o.name);
        let body = request.body.beginning();
        let identity = identity::Identity::new(&server.state, request.head, organisation, body);
        Self { server, request, identity, held: None, progress }
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

    /// Sends the request to upstreams until one responds.
    ///
    /// # Errors
    ///
    /// Returns the reason why the request fails.
    pub async fn run(&mut self) -> Result<Response<body::Body>, give_up::Reason> {
        loop {
            let choice = self.choose()?;
            let deadline = self.request.deadline;
            let began = Instant::now();
            let route = &self.request.route.name;
            let mut attempt = attempt::Attempt::start(&self.server.state, &choice, route, deadline);
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
                Err(exchange::Failure::Withdrawn) => {
                    attempt.end(outcome::Outcome::Abandoned);
                    self.end(retry::Outcome::NotSent(WITHDRAWN.to_owned()))?;
                }
                Err(exchange::Failure::Unreached) => {
                    attempt.end(outcome::Outcome::Abandoned);
                    self.end(retry::Outcome::NotSent(UNREACHED.to_owned()))?;
                }
                Err(exchange::Failure::Closed(cause)) => {
                    attempt.end(outcome::Outcome::Broken);
                    self.server.state.metrics.broken.add(1);
                    self.server.state.record_connection_failure(&choice.upstream);
                    let sent = self.identity.sent(&choice.upstream, began);
                    crash::check(&self.server.state, sent).await;
                    self.end(retry::Outcome::Broken(cause))?;
                }
                Err(exchange::Failure::Broken(cause)) => {
                    attempt.end(outcome::Outcome::Broken);
                    self.server.state.metrics.broken.add(1);
                    self.end(retry::Outcome::Broken(cause))?;
                }
            }
        }
    }

    fn choose(&mut self) -> Result<retry::Choice, give_up::Reason> {
        if self.is_revoked() {
            return Err(self.progress.reason_after_revocation());
        }
        self.held = self.identity.check();
        if let Some(hold) = self.held {
            self.server.state.metrics.held_back.add(1);
            return Err(self.progress.reason_in_quarantine(hold.retry_after));
        }
        let request = self.for_choice();
        let mut dispatcher = self.server.state.dispatcher.borrow_mut();
        let chosen = self.progress.choose(request, &mut dispatcher, Instant::now());
        drop(dispatcher);
        match &chosen {
            Ok(choice) if choice.is_diverted() => self.record_diverted(choice),
            Err(give_up::Reason::Limited { .. }) => self.server.state.metrics.limited.add(1),
            _ => {}
        }
        chosen
    }

    /// Returns the properties of the request that the dispatch rules use.
    fn for_choice(&self) -> retry::Request<'a> {
        retry::Request {
            route: self.request.route,
            service: self.request.service,
            key: self.identity.key(),
            deadline: self.request.deadline,
            homes: self.request.homes,
            urgency: urgency::Urgency::of(self.request.route, self.request.organisation),
        }
    }

    /// Records that statements of upstreams about themselves changed the selection.
    fn record_diverted(&self, choice: &retry::Choice) {
        self.server.state.metrics.diverted.add(1);
        let limited: Vec<&str> = choice.skipped.iter().map(id::Upstream::as_str).collect();
        let limited = limited.join(",");
        log::info!(
            request = self.request.head.request_id.as_str(),
            upstream = choice.upstream.id.as_str(),
            limited = limited.as_str(),
            avoided = choice.avoided.as_ref().map_or("", id::Upstream::as_str);
            "request-diverted"
        );
    }

    /// Returns whether the current configuration, which may be newer than the request, revokes its key.
    fn is_revoked(&self) -> bool {
        let routing = self.server.state.routing.borrow();
        let in_force = routing.as_ref().and_then(|routing| routing.organisations.as_ref());
        match (self.request.organisation, in_force, self.request.head.key) {
            (Some(organisation), Some(in_force), key::Credential::Key(key)) => {
                in_force.find(&key).is_none_or(|found| found.name != organisation.name)
            }
            _ => false,
        }
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

    /// Returns the failure reason after a refusal, which is different if all upstreams have asked for a rest period.
    fn turned_away(&self) -> give_up::Reason {
        let mut dispatcher = self.server.state.dispatcher.borrow_mut();
        self.progress.reason_after_refusal(self.for_choice(), &mut dispatcher, Instant::now())
    }

    /// Sends the request on a pooled connection, or on a new one.
    async fn send(
        &mut self,
        upstream: &discovery::Entry,
    ) -> Result<(connection::Connection, exchange::Answer), exchange::Failure> {
        loop {
            self.progress.connecting();
            let (mut connection, is_reused) = self.connect(upstream).await?;
            // While the connection was being opened, another response may have changed the state of the upstream.
            if !self.server.state.dispatcher.borrow().takes_work(upstream, Instant::now()) {
                return Err(exchange::Failure::Withdrawn);
            }
            self.progress.sending();
            let guard = is_reused.then(|| {
                pool::SilenceGuard::new(&self.server.pool, upstream, self.request.deadline)
            });
            let left = self.request.deadline.saturating_duration_since(Instant::now());
            let body = self.request.body.take();
            let organisation = self.request.organisation.map(|o| &o.name);
            let answer = exchange::run(
                &mut connection,
                self.request.head.to_upstream(&upstream.id, left, organisation, body),
                &self.request.head.request_id,
                self.server.state.dialect,
                self.request.rules,
                |statement, headers| self.server.state.observe(upstream, statement, headers),
            )
            .await;
            if let Some(guard) = guard {
                guard.end();
            }
            match answer {
                Ok(answer) => return Ok((connection, answer)),
                // The upstream had closed the idle connection.
                Err(exchange::Failure::NotSent(_)) if is_reused && self.request.body.is_ready() => {
                }
                Err(failure) => return Err(failure),
            }
        }
    }

    async fn connect(
        &self,
        upstream: &discovery::Entry,
    ) -> Result<(connection::Connection, bool), exchange::Failure> {
        if let Some(connection) = self.server.pool.take(upstream) {
            return Ok((connection, true));
        }
        let state = &self.server.state;
        if state.dispatcher.borrow().access(upstream, Instant::now()) != Access::Full {
            return Err(exchange::Failure::Unreached);
        }
        state.metrics.connections.add(1);
        match connection::Connection::open(upstream.address).await {
            Ok(connection) => {
                state.dispatcher.borrow_mut().record_connection(upstream);
                Ok((connection, false))
            }
            Err(error) => {
                state.metrics.connections_failed.add(1);
                state.record_connection_failure(upstream);
                Err(exchange::Failure::NotSent(error.to_string()))
            }
        }
    }

    /// Ends a try whose upstream refused the request without executing it.
    fn refused(
        &mut self,
        attempt: attempt::Attempt,
        connection: connection::Connection,
        answer: exchange::Answer,
    ) -> Result<(), give_up::Reason> {
        let upstream = sync::Arc::clone(&attempt.upstream);
        let (for_dispatcher, for_retry) = match answer.execution {
            execution::Execution::Replaced => {
                (outcome::Outcome::Replaced, retry::Outcome::Replaced)
            }
            _ => {
                let load = answer.load;
                (outcome::Outcome::Refused { load }, retry::Outcome::Refused)
            }
        };
        attempt.end(for_dispatcher);
        self.server.state.metrics.turned_away.add(1);
        if let exchange::Payload::Whole(_) = answer.bytes {
            self.server.pool.put(&upstream, connection);
        }
        self.end(for_retry)
    }

    fn pass_on(
        &self,
        attempt: attempt::Attempt,
        connection: connection::Connection,
        answer: exchange::Answer,
    ) -> Response<body::Body> {
        let body = match answer.bytes {
            exchange::Payload::Whole(bytes) => {
                let upstream = sync::Arc::clone(&attempt.upstream);
                attempt.answered(answer.load);
                self.server.pool.put(&upstream, connection);
                body::full(bytes)
            }
            exchange::Payload::Partial(first, rest) => {
                let sent = self.identity.sent(&attempt.upstream, attempt.began());
                let state = rc::Rc::clone(&self.server.state);
                relay::rest(first, rest, connection, relay::Passed { state, attempt, sent })
            }
        };
        relay::answer(answer.head, body)
    }
}

/// Returns whether a response is forwarded to the caller rather than followed by another try.
fn is_final(answer: &exchange::Answer) -> bool {
    answer.execution == execution::Execution::Ran || answer.head.status() == StatusCode::BAD_REQUEST
}
