//! The tries of one request, until an upstream answers or nothing more may be done.

use std::fmt::Write as _;
use std::rc;
use std::sync;
use std::time::{Duration, Instant};

use http::{Response, StatusCode};
use model::discovery;
use model::id;
use model::route;
use model::routing;
use steer::dispatch::ask;
use steer::dispatch::execution;
use steer::dispatch::outcome;
use steer::dispatch::refusal;

use crate::common::body;
use crate::gateway::proxy::answer;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::connection;
use crate::gateway::proxy::exchange;
use crate::gateway::proxy::head;
use crate::gateway::proxy::relay;
use crate::gateway::proxy::request_body;
use crate::gateway::proxy::server;

/// Most upstreams to which a connection is attempted in vain; several may have crashed together.
const MOST_UNREACHABLE: usize = 6;

/// Time after which a request that upstreams turned away should come back.
const COME_BACK: Duration = Duration::from_millis(60);

/// The tries of one request.
#[derive(Debug)]
pub struct Tries<'a> {
    server: &'a server::Server,
    head: &'a head::Head,
    route: &'a route::Route,
    service: id::Service,
    rules: Option<routing::ServiceRules>,
    body: request_body::Body,
    deadline: Instant,
    upstreams: Vec<id::Upstream>,
    sent: u32,
    unreachable: usize,
    may_have_run: bool,
    is_trying: bool,
    is_in_flight: bool,
    tried: String,
    inputs: String,
}

impl<'a> Tries<'a> {
    /// Starts without a try.
    #[must_use]
    pub fn new(
        server: &'a server::Server,
        head: &'a head::Head,
        route: &'a route::Route,
        service: id::Service,
        rules: Option<routing::ServiceRules>,
        body: request_body::Body,
        deadline: Instant,
    ) -> Self {
        Self {
            server,
            head,
            route,
            service,
            rules,
            body,
            deadline,
            upstreams: Vec::new(),
            sent: 0,
            unreachable: 0,
            may_have_run: false,
            is_trying: false,
            is_in_flight: false,
            tried: String::new(),
            inputs: String::new(),
        }
    }

    /// Returns the tries as `upstream:end`, separated by commas.
    #[must_use]
    pub fn tried(&self) -> &str {
        &self.tried
    }

    /// Returns what decided when the dispatcher refused the request, as pairs.
    #[must_use]
    pub fn inputs(&self) -> &str {
        &self.inputs
    }

    /// Returns the answer to a request whose time is up, and notes the try that was not answered.
    pub fn expired(&mut self) -> answer::Reason {
        if let Some(last) = self.upstreams.last().cloned().filter(|_| self.is_trying) {
            self.note(&last, if self.is_in_flight { "no-answer" } else { "no-connection" });
        }
        match self.may_have_run || self.is_in_flight {
            true => answer::Reason::TimedOut,
            false => answer::Reason::NotSent,
        }
    }

    /// Tries upstreams until one answers.
    ///
    /// # Errors
    ///
    /// Fails when nothing more may be done.
    pub async fn run(&mut self) -> Result<Response<body::Body>, answer::Reason> {
        loop {
            let upstream = self.choose()?;
            let attempt = attempt::Attempt::start(
                &self.server.state,
                sync::Arc::clone(&upstream),
                self.upstreams.is_empty(),
                self.deadline,
            );
            self.upstreams.push(upstream.id.clone());
            self.is_trying = true;
            let sent = self.send(&upstream).await;
            self.is_trying = false;
            match sent {
                Ok((connection, answer)) => {
                    if let Some(response) = self.take(attempt, connection, answer)? {
                        return Ok(response);
                    }
                }
                Err(exchange::Failure::NotSent(cause)) => {
                    attempt.end(outcome::Outcome::NotSent);
                    self.note(&upstream.id, &cause);
                    self.unreachable += 1;
                    if self.unreachable >= MOST_UNREACHABLE {
                        return Err(self.given_up("unreachable", COME_BACK));
                    }
                }
                Err(exchange::Failure::Broken(cause)) => {
                    attempt.end(outcome::Outcome::Broken);
                    self.note(&upstream.id, &cause);
                    self.server.state.metrics.broken.add(1);
                    self.may_have_run = true;
                    if !self.route.repetition.is_repeatable() || !self.may_go_on() {
                        return Err(answer::Reason::Unknown("broken"));
                    }
                }
            }
        }
    }

    fn choose(&mut self) -> Result<sync::Arc<discovery::Entry>, answer::Reason> {
        let now = Instant::now();
        let ask = ask::Ask {
            route: self.route,
            service: &self.service,
            key: self.head.object.unwrap_or_else(|| self.head.spread()),
            tried: &self.upstreams,
            left: self.deadline.saturating_duration_since(now),
        };
        let chosen = self.server.state.dispatcher.borrow_mut().choose(&ask, now);
        chosen.map_err(|refusal| {
            let after = match &refusal {
                refusal::Refusal::NoUpstream(_) => COME_BACK,
                refusal::Refusal::Overloaded { retry_after, .. } => *retry_after,
            };
            self.inputs = refusal.to_string();
            self.given_up(refusal.as_str(), after)
        })
    }

    /// Sends the request on a resting connection, or on a new one.
    async fn send(
        &mut self,
        upstream: &discovery::Entry,
    ) -> Result<(connection::Connection, exchange::Answer), exchange::Failure> {
        loop {
            let (mut connection, is_rested) = self.connect(upstream).await?;
            let left = self.deadline.saturating_duration_since(Instant::now());
            let body = self.body.take();
            let request = self.head.to_upstream(&upstream.id, left, body);
            self.is_in_flight = true;
            let answer = exchange::run(
                &mut connection,
                request,
                &self.head.request_id,
                self.server.state.dialect,
                self.rules.as_ref(),
            )
            .await;
            self.is_in_flight = false;
            match answer {
                Ok(answer) => {
                    self.sent += 1;
                    return Ok((connection, answer));
                }
                // The upstream closed the connection while it rested.
                Err(exchange::Failure::NotSent(_)) if is_rested && self.body.is_ready() => {}
                Err(failure) => {
                    if matches!(failure, exchange::Failure::Broken(_)) {
                        self.sent += 1;
                    }
                    return Err(failure);
                }
            }
        }
    }

    async fn connect(
        &self,
        upstream: &discovery::Entry,
    ) -> Result<(connection::Connection, bool), exchange::Failure> {
        if let Some(connection) = self.server.pool.take(&upstream.id) {
            return Ok((connection, true));
        }
        self.server.state.metrics.connections.add(1);
        match connection::Connection::open(upstream.address).await {
            Ok(connection) => Ok((connection, false)),
            Err(error) => Err(exchange::Failure::NotSent(error.to_string())),
        }
    }

    /// Takes an upstream's answer; returns the caller's, or none when another try is to follow.
    fn take(
        &mut self,
        attempt: attempt::Attempt,
        connection: connection::Connection,
        answer: exchange::Answer,
    ) -> Result<Option<Response<body::Body>>, answer::Reason> {
        let upstream = attempt.upstream.id.clone();
        let status = answer.head.status();
        let is_final =
            answer.execution == execution::Execution::Ran || status == StatusCode::BAD_REQUEST;
        if is_final {
            self.note(&upstream, status.as_str());
            return Ok(Some(self.pass_on(attempt, connection, answer)));
        }
        let (ended, end) = match answer.execution {
            execution::Execution::Replaced => (outcome::Outcome::Replaced, "replaced"),
            _ => (outcome::Outcome::TurnedAway { load: answer.load }, "turned-away"),
        };
        attempt.end(ended);
        self.note(&upstream, end);
        self.server.state.metrics.turned_away.add(1);
        if let exchange::Payload::Whole(_) = answer.bytes {
            self.server.pool.put(&upstream, connection);
        }
        match self.may_go_on() {
            true => Ok(None),
            false => Err(self.given_up("turned-away", COME_BACK)),
        }
    }

    fn pass_on(
        &self,
        attempt: attempt::Attempt,
        connection: connection::Connection,
        answer: exchange::Answer,
    ) -> Response<body::Body> {
        let body = match answer.bytes {
            exchange::Payload::Whole(bytes) => {
                let upstream = attempt.upstream.id.clone();
                attempt.answered(answer.load);
                self.server.pool.put(&upstream, connection);
                body::full(bytes)
            }
            exchange::Payload::Partial(first, rest) => {
                relay::rest(first, rest, connection, attempt)
            }
        };
        relay::answer(answer.head, body)
    }

    /// Returns whether the request may be sent to one more upstream, and counts that.
    fn may_go_on(&self) -> bool {
        if !self.body.is_ready() || self.sent >= self.route.max_attempts {
            return false;
        }
        let state = rc::Rc::clone(&self.server.state);
        let is_allowed = state.dispatcher.borrow_mut().may_retry(&self.service, Instant::now());
        if is_allowed {
            state.metrics.retries.add(1);
        }
        is_allowed
    }

    /// Returns the answer when nothing more can be done.
    fn given_up(&self, cause: &'static str, after: Duration) -> answer::Reason {
        match self.may_have_run {
            true => answer::Reason::Unknown("broken"),
            false => answer::Reason::NotRun(cause, after),
        }
    }

    fn note(&mut self, upstream: &id::Upstream, end: &str) {
        let separator = if self.tried.is_empty() { "" } else { "," };
        let _ = write!(self.tried, "{separator}{upstream}:{end}");
    }
}
