//! Entry of a request: from the caller's node to the owner that runs it, with retries.
//!
//! Owns the loop over tries and the tickets' way. Relies on the decisions for every choice.

mod tickets;

use std::net;

use http::Response;
use model::id;
use model::member;
use model::verdict;
use steer::ownership::heartbeat;
use wire::peer;

use crate::common::body;
use crate::owner::event_loop::message;
use crate::owner::failed;
use crate::owner::handle;
use crate::owner::handle::routed;
use crate::owner::in_flight::phase;
use crate::owner::peers::forwarder;
use crate::owner::runner;

/// Enters requests; each thread that does so has its own connections.
#[derive(Clone, Debug)]
pub struct Entry {
    handle: handle::Handle,
    runner: runner::Runner,
    forwarder: forwarder::Forwarder,
}

/// Where one try of a request goes.
struct Hop {
    owner: member::Key,
    peers: net::SocketAddr,
    duty: peer::Duty,
    may_wait: bool,
}

impl Hop {
    /// Returns where `decision` sends a request that is in the region `own`.
    fn of(decision: message::Decision, own: &id::Region) -> Result<Self, verdict::Failure> {
        match decision {
            message::Decision::Forward { region, owner, peers, may_wait } => {
                let duty = match region == *own {
                    true => peer::Duty::Home,
                    false => peer::Duty::Region,
                };
                Ok(Self { owner, peers, duty, may_wait })
            }
            message::Decision::Refuse(failure) => Err(failure),
            message::Decision::Run { .. } => {
                Err(verdict::Failure::not_run(verdict::Reason::NotReady))
            }
        }
    }
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
        let repetition = order.service.retry_policy(order.method.as_str(), &order.path);
        order.request.enter(phase::Phase::WaitingForSlot);
        let name = order.service.name.clone();
        let place = order.place.clone();
        let (routed, mut decision) = self.handle.route(name, place, region).await;
        let mut so_far = verdict::Verdict::NotRun;
        loop {
            let hop = Hop::of(decision, &self.handle.view().region)?;
            order.may_wait = hop.may_wait;
            let failed = match self.send(&hop, &order, &mut source).await {
                Ok(answer) => return Ok(with_routed(answer, routed)),
                Err(failed) => failed,
            };
            order.avoid.extend(failed.upstream);
            let failure = failed.failure.with_earlier_verdict(so_far);
            so_far = failure.verdict;
            if !source.is_ready() || order.deadline <= self.handle.now() {
                return Err(failure);
            }
            order.request.enter(phase::Phase::WaitingForSlot);
            decision = routed.failed(failed.failure, repetition).await;
        }
    }

    /// Sends a request to one owner, and reports the usage of slots that it answers with.
    async fn send(
        &self,
        hop: &Hop,
        order: &runner::Order,
        source: &mut body::Source,
    ) -> Result<Response<body::Body>, failed::Failed> {
        let report = |usage| self.handle.used(&hop.owner.node, &order.service.name, usage);
        match hop.owner == self.handle.view().me {
            true => self.run_here(order, source, report).await,
            false => {
                let head = head_of(order, hop.duty, &self.handle);
                self.forwarder.forward(hop.peers, head, source, &order.request, report).await
            }
        }
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
    answer.map(|body| body::holding(body, routed))
}
