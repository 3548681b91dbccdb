//! Runs a request at an upstream, in a slot that the decisions gave.
//!
//! Owns the connections to upstreams, and gives each slot back with the outcome of its exchange. Relies on
//! the decisions for slots.

mod guarded;

use std::sync;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body_util::BodyExt as _;
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
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
use crate::common::socket;
use crate::owner::event_loop::message;
use crate::owner::failed;
use crate::owner::handle;
use crate::owner::handle::offered;
use crate::owner::in_flight;
use crate::owner::in_flight::phase;

/// Time to make a connection to an upstream. Not measured.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Idle connections kept to one upstream. Not measured; more than its slots are never of use.
const IDLE_CONNECTIONS: usize = 8;

/// Time for which an idle connection is kept. Not measured.
const IDLE_TIME: Duration = Duration::from_secs(30);

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
    client: legacy::Client<socket::Connector, body::Body>,
    handle: handle::Handle,
}

/// A slot at an upstream.
#[derive(Debug)]
pub struct Slot {
    /// The upstream.
    pub upstream: id::Upstream,
    /// How much of its slots the service uses here.
    pub usage: heartbeat::Usage,
    address: std::net::SocketAddr,
    offered: offered::Offered,
}

impl Runner {
    /// Makes a runner without connections.
    #[must_use]
    pub fn new(handle: handle::Handle) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIME));
        connector.set_nodelay(true);
        let client = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_max_idle_per_host(IDLE_CONNECTIONS)
            .pool_idle_timeout(IDLE_TIME)
            .build(socket::connector(connector));
        Self { client, handle }
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
            Ok(answer) => {
                let (mut parts, inner) = answer.into_parts();
                head::clean(&mut parts.headers);
                let handle = self.handle.clone();
                let body = guarded::Guarded::new(inner, slot.offered, order.deadline, handle);
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
    ) -> Result<Response<Incoming>, End> {
        use request::Outcome;
        use verdict::Reason;
        let Some(request) = self.request(slot, order, body) else {
            return Err(End::not_run(Outcome::Shed, Reason::BadRequest));
        };
        let left = order.deadline.saturating_duration_since(self.handle.now());
        let answer = tokio::time::timeout(left, self.client.request(request)).await;
        let mut answer = match answer {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.is_connect() => {
                return Err(End::not_run(Outcome::Unreachable, Reason::Unreachable));
            }
            Ok(Err(error)) => {
                return Err(broken(slot, &format!("{:#}", anyhow::Error::new(error))));
            }
            Err(_) => return Err(End::may_have_run(Outcome::Abandoned, Reason::Deadline)),
        };
        framing::check(&order.method, &mut answer).map_err(|fault| broken(slot, fault.as_str()))?;
        self.pass_on_statement(slot, order, &answer);
        match order.service.shed.contains(&answer.status().as_u16()) {
            true => Err(End::not_run(Outcome::Shed, Reason::Shed)),
            false => Ok(answer),
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
    fn request(&self, slot: &Slot, order: &Order, body: body::Body) -> Option<Request<body::Body>> {
        let uri = format!("http://{}{}", slot.address, order.path);
        let mut request =
            Request::builder().method(order.method.clone()).uri(uri).body(body).ok()?;
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
