//! Sending of a request to the selected upstream, and what happens to the connection after the response.
//!
//! Uses a pooled connection if there is one, and opens a new one otherwise.

use std::future;
use std::rc;
use std::sync;
use std::time::Instant;

use http::Response;
use model::discovery;
use platform::field;
use steer::dispatch::execution;
use steer::dispatch::give_up;
use steer::dispatch::outcome;
use steer::dispatch::retry;

use crate::common::body;
use crate::gateway::proxy::attempt;
use crate::gateway::proxy::connection;
use crate::gateway::proxy::exchange;
use crate::gateway::proxy::in_flight;
use crate::gateway::proxy::pool;
use crate::gateway::proxy::relay;
use crate::gateway::proxy::tries::Tries;

impl Tries<'_> {
    /// Sends the request on a pooled connection, or on a new one.
    pub(super) async fn send(
        &mut self,
        upstream: &discovery::Entry,
    ) -> Result<(connection::Connection, exchange::Answer), exchange::Failure> {
        loop {
            self.progress.connecting();
            self.request.in_flight.set_phase(in_flight::Phase::WaitingForUpstream);
            let (mut connection, is_reused) = self.connect(upstream).await?;
            let opened = Instant::now();
            // While the connection was being opened, another response may have changed the state of
            // the upstream.
            if !self.server.state.dispatcher.borrow().takes_work(upstream, Instant::now()) {
                return Err(exchange::Failure::Withdrawn);
            }
            self.upstream_deadline = self.deadline_for_upstream();
            if self.upstream_deadline.has_passed_early(Instant::now()) {
                return Err(exchange::Failure::Late);
            }
            self.progress.sending();
            self.request.in_flight.set_phase(in_flight::Phase::Sent);
            let guard = is_reused.then(|| {
                pool::SilenceGuard::new(&self.server.pool, upstream, self.request.deadline)
            });
            let deadline = self.upstream_deadline.instant();
            let left = deadline.saturating_duration_since(Instant::now());
            let body = self.request.body.take();
            let organisation = self.request.organisation.map(|o| &o.name);
            let answer = exchange::run(
                &mut connection,
                self.request.head.to_upstream(&upstream.id, left, organisation, body),
                &self.request.head.request_id,
                self.server.state.dialect,
                self.request.rules,
                |statement, headers| self.server.state.observe(upstream, statement, headers),
                self.wait_until_repeatable(upstream),
            )
            .await;
            if let Some(guard) = guard {
                guard.end();
            }
            if !is_reused {
                self.record_new_connection(upstream, opened, answer.as_ref().err());
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

    /// Waits until the upstream of the current attempt is out of reach, if the request may then be sent to
    /// another one. A request that may not be repeated keeps its connection until its deadline.
    async fn wait_until_repeatable(&self, upstream: &discovery::Entry) {
        match self.progress.may_repeat(self.request.body.is_ready()) {
            true => self.server.state.wait_until_out_of_reach(upstream).await,
            false => future::pending().await,
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
        if !state.dispatcher.borrow_mut().may_open_connection(upstream, Instant::now()) {
            return Err(exchange::Failure::Unreached);
        }
        state.metrics.connections.add(1);
        let on_surplus = {
            let (state, upstream) = (rc::Rc::clone(state), upstream.clone());
            move || state.record_surplus(&upstream)
        };
        match connection::Connection::open(upstream.address, on_surplus).await {
            Ok(connection) => Ok((connection, false)),
            Err(error) if connection::is_own_shortage(&error) => {
                state.metrics.connections_failed.add(1);
                Err(exchange::Failure::Shortage(error.to_string()))
            }
            Err(error) => {
                state.metrics.connections_failed.add(1);
                state.record_connection_failure(upstream);
                Err(exchange::Failure::NotSent(error.to_string()))
            }
        }
    }

    /// Records what the first exchange on a new connection shows about whether the upstream is reached.
    ///
    /// That the connection was opened shows nothing, since a device on the way may have accepted it.
    fn record_new_connection(
        &self,
        upstream: &discovery::Entry,
        opened: Instant,
        failure: Option<&exchange::Failure>,
    ) {
        let state = &self.server.state;
        match failure {
            None | Some(exchange::Failure::Broken(_)) => {
                state.dispatcher.borrow_mut().record_new_connection_response(upstream, opened);
            }
            Some(exchange::Failure::NotSent(_)) => state.record_connection_failure(upstream),
            // Recorded where the try ends, or found by a check.
            Some(_) => {}
        }
    }

    /// Ends a try whose upstream refused the request without executing it.
    pub(super) fn refused(
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
            _ if self.is_curtailed(&attempt, &answer) => {
                let load = answer.load;
                (outcome::Outcome::Curtailed { load }, retry::Outcome::Refused)
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

    /// Returns whether the upstream ended or refused the request only because this node, which is stopping,
    /// shortened its deadline.
    fn is_curtailed(&self, attempt: &attempt::Attempt, answer: &exchange::Answer) -> bool {
        let status = answer.head.status().as_u16();
        let now = Instant::now();
        let is_curtailed = self.upstream_deadline.has_ended(status, answer.execution, now);
        if is_curtailed {
            log::info!(
                request = self.request.head.request_id.as_str(),
                upstream = attempt.upstream.id.as_str(),
                status,
                left_ms = field::whole_millis(attempt.deadline().saturating_duration_since(now));
                "request-curtailed"
            );
        }
        is_curtailed
    }

    pub(super) fn pass_on(
        &self,
        attempt: attempt::Attempt,
        connection: connection::Connection,
        answer: exchange::Answer,
    ) -> Response<body::Body> {
        let is_curtailed = self.is_curtailed(&attempt, &answer);
        let body = match answer.bytes {
            exchange::Payload::Whole(bytes) => {
                let upstream = sync::Arc::clone(&attempt.upstream);
                match is_curtailed {
                    true => attempt.end(outcome::Outcome::Curtailed { load: answer.load }),
                    false => attempt.answered(answer.load),
                }
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
