//! Entry of a request: from the caller's node to the owner that runs it, with retries.
//!
//! Owns the loop over tries and the tickets' way. Relies on the decisions for every choice.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt as _;
use model::id;
use model::verdict;
use steer::ownership::heartbeat;
use steer::ownership::ticket;
use wire::peer;

use crate::common::body;
use crate::owner::answer;
use crate::owner::event_loop::message;
use crate::owner::failed;
use crate::owner::handle;
use crate::owner::handle::routed;
use crate::owner::peers::forwarder;
use crate::owner::runner;

/// `Retry-After` for a ticket whose request is running. Not measured.
const RUNNING_RETRY: Duration = Duration::from_secs(1);

/// What entering needs; each duty that enters requests has its own connections.
#[derive(Clone, Debug)]
pub struct Entry {
    handle: handle::Handle,
    runner: runner::Runner,
    forwarder: forwarder::Forwarder,
}

impl Entry {
    /// Makes an entry without connections.
    #[must_use]
    pub fn new(
        handle: handle::Handle,
        runner: runner::Runner,
        forwarder: forwarder::Forwarder,
    ) -> Self {
        Self { handle, runner, forwarder }
    }

    /// Sends a request to the owner that the decisions choose, and retries while they allow it.
    ///
    /// The owner is in `region` when that was chosen already.
    ///
    /// # Errors
    ///
    /// Fails with the last try's verdict.
    pub async fn enter(
        &self,
        mut order: runner::Order,
        mut source: body::Source,
        region: Option<id::Region>,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let repetition = order.service.repetition(order.method.as_str(), &order.path);
        let name = order.service.name.clone();
        let place = order.place.clone();
        let (routed, mut decision) = self.handle.route(name, place, region).await;
        let mut so_far = verdict::Verdict::NotRun;
        loop {
            let view = self.handle.view();
            let (owner, peers, duty) = match decision {
                message::Decision::Forward { region, owner, peers, may_wait } => {
                    order.may_wait = may_wait;
                    let duty = match region == view.region {
                        true => peer::Duty::Home,
                        false => peer::Duty::Region,
                    };
                    (owner, peers, duty)
                }
                message::Decision::Refuse(failure) => return Err(failure),
                message::Decision::Run { .. } => {
                    return Err(verdict::Failure::not_run(verdict::Reason::NotReady));
                }
            };
            let report = |usage| self.handle.used(&owner.node, &order.service.name, usage);
            let result = match owner == view.me {
                true => self.run_here(&order, &mut source, report).await,
                false => {
                    let head = head_of(&order, duty, &self.handle);
                    self.forwarder.forward(peers, head, &mut source, report).await
                }
            };
            let failed = match result {
                Ok(answer) => return Ok(with_routed(answer, routed)),
                Err(failed) => failed,
            };
            order.avoid.extend(failed.upstream);
            let failure = failed.failure.after_tries(so_far);
            so_far = failure.verdict;
            if !source.is_ready() || order.deadline <= self.handle.now() {
                return Err(failure);
            }
            decision = routed.failed(failed.failure, repetition).await;
        }
    }

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
        let result = self.forwarder.forward(node.peers, head, &mut source, |_| {}).await;
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
                return Err(failure.after(RUNNING_RETRY));
            }
            ticket::Claim::Done(outcome) => return remembered(outcome),
            ticket::Claim::Unknown => {
                return Err(verdict::Failure::may_have_run(verdict::Reason::Ticket));
            }
            ticket::Claim::Full => {
                let failure = verdict::Failure::not_run(verdict::Reason::Full);
                return Err(failure.after(RUNNING_RETRY));
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

    async fn run_here(
        &self,
        order: &runner::Order,
        source: &mut body::Source,
        report: impl Fn(heartbeat::Usage),
    ) -> Result<Response<body::Body>, failed::Failed> {
        let slot = self.runner.reserve(order).await.inspect_err(|failed| {
            failed.usage.into_iter().for_each(&report);
        })?;
        report(slot.usage);
        self.runner.run(slot, order, source.take()).await
    }
}

fn head_of(order: &runner::Order, duty: peer::Duty, handle: &handle::Handle) -> peer::RequestHead {
    peer::RequestHead {
        duty: duty.into(),
        service: order.service.name.as_str().to_owned(),
        method: order.method.as_str().to_owned(),
        path: order.path.clone(),
        headers: forwarder::header_list(&order.headers),
        remaining_ms: forwarder::remaining_ms(order.deadline, handle.now()),
        place: order.place.as_str().to_owned(),
        avoid: order.avoid.iter().map(|u| u.as_str().to_owned()).collect(),
        ticket: String::new(),
        may_wait: order.may_wait,
    }
}

/// Counts the request as out at its owner until its answer has passed.
fn with_routed(answer: Response<body::Body>, routed: routed::Routed) -> Response<body::Body> {
    answer.map(|body| {
        let held = body.map_frame(move |frame| {
            let _ = &routed;
            frame
        });
        held.boxed_unsync()
    })
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
