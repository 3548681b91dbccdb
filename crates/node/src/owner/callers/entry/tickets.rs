//! Requests under a ticket, which run at most once.
//!
//! Owns the way to the node that issued the ticket, and what is remembered of an answer. Relies on
//! [`ticket::Table`] for the claim.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use model::verdict;
use steer::ownership::ticket;
use wire::peer;

use super::{Entry, head_of};
use crate::common::body;
use crate::owner::answer;
use crate::owner::runner;

/// `Retry-After` for a ticket whose request is running. Not measured.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

impl Entry {
    /// Enters a request under a ticket, wherever it was issued.
    ///
    /// # Errors
    ///
    /// Fails with the verdict, which is the remembered one when the request ran before.
    pub async fn enter_with(
        &self,
        order: runner::Order,
        text: &str,
        kept: Bytes,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let Some(ticket) = ticket::Ticket::parse(text) else {
            return Err(verdict::Failure::not_run(verdict::Reason::BadRequest));
        };
        let view = self.handle.view();
        if ticket.node == view.me.node {
            return self.enter_ticket(order, text, kept).await;
        }
        // Another incarnation on that node answers for itself that the ticket is unknown.
        let Some(node) = view.node(&ticket.node) else {
            return Err(verdict::Failure::may_have_run(verdict::Reason::Ticket));
        };
        let mut head = head_of(&order, peer::Duty::Ticket, &self.handle);
        head.ticket = text.to_owned();
        let mut source = body::Source::Kept(kept);
        let forwarder = &self.forwarder;
        let result = forwarder.forward(node.peers, head, &mut source, &order.request, |_| {}).await;
        // That this try was not sent says nothing about the tries before it.
        result.map_err(|failed| match failed.failure.reason {
            verdict::Reason::NotReady => verdict::Failure::may_have_run(verdict::Reason::Ticket),
            _ => failed.failure,
        })
    }

    /// Enters a request under a ticket that this node must have issued.
    ///
    /// It goes on when the caller leaves, so that its outcome is known when the caller asks again.
    ///
    /// # Errors
    ///
    /// Fails with the verdict, which is the remembered one when the request ran before.
    pub async fn enter_ticket(
        &self,
        order: runner::Order,
        text: &str,
        kept: Bytes,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let Some(ticket) = ticket::Ticket::parse(text) else {
            return Err(verdict::Failure::not_run(verdict::Reason::BadRequest));
        };
        let claim = self.handle.claim(ticket.clone()).await;
        match claim {
            ticket::Claim::Run => {}
            ticket::Claim::Running => {
                let failure = verdict::Failure::may_have_run(verdict::Reason::Running);
                return Err(failure.with_retry_after(RUNNING_RETRY));
            }
            ticket::Claim::Done(outcome) => return remembered(outcome),
            ticket::Claim::Unknown => {
                return Err(verdict::Failure::may_have_run(verdict::Reason::Ticket));
            }
            ticket::Claim::Full => {
                let failure = verdict::Failure::not_run(verdict::Reason::Full);
                return Err(failure.with_retry_after(RUNNING_RETRY));
            }
        }
        let entry = self.clone();
        let run = tokio::spawn(async move {
            let result = entry.enter(order, body::Source::Kept(kept), None).await;
            entry.remember(ticket, result).await
        });
        let lost = verdict::Failure::may_have_run(verdict::Reason::Broken);
        run.await.unwrap_or(Err(lost))
    }

    /// Remembers how the request of a ticket ended.
    async fn remember(
        &self,
        ticket: ticket::Ticket,
        result: Result<Response<body::Body>, verdict::Failure>,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let response = match result {
            Ok(response) => response,
            Err(failure) => {
                self.handle.finish(ticket, ticket::Outcome::Failed(failure));
                return Err(failure);
            }
        };
        let (head, body) = response.into_parts();
        let body = match answer::take(body).await {
            Ok(answer::Taken::Whole(body)) => body,
            Ok(answer::Taken::Longer(body)) => {
                self.handle.finish(ticket, ticket::Outcome::Unkept);
                return Ok(Response::from_parts(head, body));
            }
            Err(_) => {
                let failure = verdict::Failure::may_have_run(verdict::Reason::Broken);
                self.handle.finish(ticket, ticket::Outcome::Failed(failure));
                return Err(failure);
            }
        };
        let answer =
            sync::Arc::new(answer::Answer { status: head.status, headers: head.headers, body });
        let outcome = ticket::Outcome::Answered(sync::Arc::clone(&answer));
        self.handle.finish(ticket, outcome);
        Ok(replay(&answer))
    }
}

fn remembered(
    outcome: ticket::Outcome<answer::Answer>,
) -> Result<Response<body::Body>, verdict::Failure> {
    match outcome {
        ticket::Outcome::Answered(answer) => Ok(replay(&answer)),
        ticket::Outcome::Unkept => Err(verdict::Failure::may_have_run(verdict::Reason::Ticket)),
        ticket::Outcome::Failed(failure) => Err(failure),
    }
}

fn replay(answer: &answer::Answer) -> Response<body::Body> {
    let mut response = Response::new(body::full(answer.body.clone()));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers.clone();
    response
}
