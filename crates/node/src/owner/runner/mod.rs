//! Runs a request at an upstream, in a slot that the decisions gave.
//!
//! Owns the exchanges, and gives each slot back with the outcome of its own. Relies on the decisions for slots.

mod connection;
mod guarded;
mod pool;

use std::net;
use std::sync;
use std::time::Instant;

use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use model::id;
use model::leaving;
use model::rest;
use model::service;
use model::upstream;
use model::verdict;
use platform::framing;
use steer::ownership::event;
use steer::ownership::heartbeat;
use steer::ownership::request;

use crate::common::body;
use crate::common::head;
use crate::common::metered;
use crate::owner::event_loop::message;
use crate::owner::failed;
use crate::owner::handle;
use crate::owner::handle::offered;
use crate::owner::in_flight;
use crate::owner::in_flight::phase;

/// A request on its way to an upstream.
#[derive(Debug)]
pub struct Order {
    /// The service.
    pub service: sync::Arc<service::Service>,
    /// The caller's place.
    pub place: id::Place,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// The headers, cleaned.
    pub headers: HeaderMap,
    /// When the answer is of no use any more.
    pub deadline: Instant,
    /// Upstreams that earlier tries used.
    pub avoid: Vec<id::Upstream>,
    /// Whether it may wait for a slot at the owner it is sent to.
    pub may_wait: bool,
    /// Its entry among the requests in flight.
    pub request: sync::Arc<in_flight::Request>,
}

/// Runs requests; each thread that does so has its own connections.
#[derive(Clone, Debug)]
pub struct Runner {
    pool: pool::Pool,
    handle: handle::Handle,
}

/// A slot at an upstream.
#[derive(Debug)]
pub struct Slot {
    /// The upstream.
    pub upstream: id::Upstream,
    /// How much of its slots the service uses here.
    pub usage: heartbeat::Usage,
    address: net::SocketAddr,
    offered: offered::Offered,
}

impl Runner {
    /// Makes a runner without connections.
    #[must_use]
    pub fn new(handle: handle::Handle) -> Self {
        Self { pool: pool::Pool::new(handle.clone()), handle }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails, not run, when the decisions refuse the request.
    pub async fn reserve(&self, order: &Order) -> Result<Slot, failed::Failed> {
        order.request.enter(phase::Phase::WaitingForSlot);
        let offer = |id| request::Offer {
            id,
            service: order.service.name.clone(),
            place: order.place.clone(),
            deadline: order.deadline,
            avoid: order.avoid.clone(),
            may_wait: order.may_wait,
        };
        let (offered, answer) = self.handle.offer(offer).await;
        let message::Answer { decision, usage } = answer;
        match decision {
            message::Decision::Run { upstream, address } => {
                Ok(Slot { upstream, usage, address, offered })
            }
            message::Decision::Refuse(failure) => {
                Err(failed::Failed { usage: Some(usage), ..failed::Failed::before(failure) })
            }
            message::Decision::Forward { .. } => {
                Err(failed::Failed::before(verdict::Failure::not_run(verdict::Reason::NotHome)))
            }
        }
    }

    /// Runs a request in its slot; the slot is given back when the answer's body has ended, or at the deadline.
    ///
    /// # Errors
    ///
    /// Fails with the verdict that the exchange allows.
    pub async fn run(
        &self,
        slot: Slot,
        order: &Order,
        body: body::Body,
    ) -> Result<Response<body::Body>, failed::Failed> {
        order.request.name_upstream(&slot.upstream);
        order.request.enter(phase::Phase::Sent);
        match self.exchange(&slot, order, body).await {
            Ok((connection, answer)) => {
                let (mut parts, inner) = answer.into_parts();
                head::clean(&mut parts.headers);
                let (offered, deadline) = (slot.offered, order.deadline);
                let body = guarded::Guarded::new(inner, connection, offered, deadline, self);
                Ok(Response::from_parts(parts, body.boxed_unsync()))
            }
            Err(End { outcome, failure }) => {
                let upstream = Some(slot.upstream);
                slot.offered.done(outcome);
                Err(failed::Failed { upstream, ..failed::Failed::before(failure) })
            }
        }
    }

    /// Sends the request and waits for the answer's head.
    async fn exchange(
        &self,
        slot: &Slot,
        order: &Order,
        body: body::Body,
    ) -> Result<(connection::Connection, Response<Incoming>), End> {
        use request::Outcome;
        use verdict::Reason;
        let Some(request) = self.request(order, body) else {
            return Err(End::not_run(Outcome::Shed, Reason::BadRequest));
        };
        let left = order.deadline.saturating_duration_since(self.handle.now());
        let (connection, mut answer) =
            match tokio::time::timeout(left, self.send(slot, request)).await {
                Ok(answer) => answer?,
                Err(_) => return Err(End::may_have_run(Outcome::Abandoned, Reason::Deadline)),
            };
        framing::check(&order.method, &mut answer).map_err(|fault| broken(slot, fault.as_str()))?;
        if connection.meter.is_cut_short() {
            return Err(broken(slot, metered::CUT_SHORT));
        }
        self.pass_on_statement(slot, order, &answer);
        match order.service.shed.contains(&answer.status().as_u16()) {
            true => {
                // The library reads the rest of the body if that is short.
                drop(answer);
                self.pool.put(connection);
                Err(End::not_run(Outcome::Shed, Reason::Shed))
            }
            false => Ok((connection, answer)),
        }
    }

    /// Sends a request over an idle connection, or over a new one where none is left that works.
    async fn send(
        &self,
        slot: &Slot,
        mut request: Request<body::Body>,
    ) -> Result<(connection::Connection, Response<Incoming>), End> {
        let unreachable =
            || End::not_run(request::Outcome::Unreachable, verdict::Reason::Unreachable);
        loop {
            let idle = self.pool.take(slot.address);
            let is_reused = idle.is_some();
            let mut connection = match idle {
                Some(connection) => connection,
                None => connection::Connection::open(slot.address, self.handle.now())
                    .await
                    .map_err(|_| unreachable())?,
            };
            match connection.send(request).await {
                Ok(answer) => return Ok((connection, answer)),
                // The upstream had closed the idle connection.
                Err(connection::Failure::NotSent(unsent)) if is_reused => request = *unsent,
                Err(connection::Failure::NotSent(_)) => return Err(unreachable()),
                Err(connection::Failure::Broken(error)) => {
                    return Err(broken(slot, &format!("{error:#}")));
                }
            }
        }
    }

    /// Tells the decisions what an upstream says of leaving and rest.
    ///
    /// One that is lost where their ring is full is said again: both by the next answer.
    fn pass_on_statement(&self, slot: &Slot, order: &Order, answer: &Response<Incoming>) {
        let is_shed = order.service.shed.contains(&answer.status().as_u16());
        let statement = head::statement(answer.headers(), answer.status(), is_shed);
        let leaves = statement.leaving == leaving::Field::Leaving;
        if leaves || matches!(statement.rest, rest::Field::Rest(_)) {
            let service = order.service.name.clone();
            let upstream = upstream::Key { service, upstream: slot.upstream.clone() };
            self.handle.send(event::Event::Said { upstream, statement });
        }
    }

    /// Builds the request that the upstream sees.
    fn request(&self, order: &Order, body: body::Body) -> Option<Request<body::Body>> {
        let path = order.path.as_str();
        let mut request =
            Request::builder().method(order.method.clone()).uri(path).body(body).ok()?;
        let headers = request.headers_mut();
        *headers = order.headers.clone();
        headers.insert(header::HOST, HeaderValue::from_str(&order.service.host).ok()?);
        let clock = self.handle.clock();
        let left = order.deadline.saturating_duration_since(clock.now());
        let end = clock.wall_time() + left;
        let since = end.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        headers.insert(head::DEADLINE, HeaderValue::from(millis));
        Some(request)
    }
}

/// Logs that an upstream broke off or that its answer is invalid; the request may have run.
fn broken(slot: &Slot, error: &str) -> End {
    log::warn!(upstream = slot.upstream.as_str(), error; "upstream-broke-off");
    End::may_have_run(request::Outcome::Broken, verdict::Reason::Broken)
}

/// How an exchange without an answer ended: for the upstream, and for the caller.
struct End {
    outcome: request::Outcome,
    failure: verdict::Failure,
}

impl End {
    fn not_run(outcome: request::Outcome, reason: verdict::Reason) -> Self {
        Self { outcome, failure: verdict::Failure::not_run(reason) }
    }

    fn may_have_run(outcome: request::Outcome, reason: verdict::Reason) -> Self {
        Self { outcome, failure: verdict::Failure::may_have_run(reason) }
    }
}
