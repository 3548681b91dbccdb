//! Runs a request at an upstream, in a slot that the decisions gave.
//!
//! Owns the connections to upstreams, and gives each slot back with the outcome of its exchange. Relies on
//! the decisions for slots.

use std::future::Future as _;
use std::io;
use std::pin::Pin;
use std::sync;
use std::task;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Request, Response, header};
use http_body::{Body as _, Frame, SizeHint};
use http_body_util::BodyExt as _;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use model::id;
use model::service;
use model::verdict;
use steer::ownership::heartbeat;
use steer::ownership::request;

use crate::common::body;
use crate::common::head;
use crate::owner::event_loop::message;
use crate::owner::failed;
use crate::owner::handle;
use crate::owner::handle::offered;

/// Time to make a connection to an upstream.
const CONNECT_TIME: Duration = Duration::from_secs(1);

/// Idle connections kept to one upstream; more than its slots are never of use.
const IDLE_CONNECTIONS: usize = 8;

/// Time for which an idle connection is kept.
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
}

/// Runs requests; each thread that does so has its own connections.
#[derive(Clone, Debug)]
pub struct Runner {
    client: legacy::Client<HttpConnector, body::Body>,
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
            .build(connector);
        Self { client, handle }
    }

    /// Waits for a slot.
    ///
    /// # Errors
    ///
    /// Fails, not run, when the decisions refuse the request.
    pub async fn reserve(&self, order: &Order) -> Result<Slot, failed::Failed> {
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

    /// Runs a request in its slot; the slot is given back when the answer's body has ended.
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
        let upstream = slot.upstream.clone();
        let fail = |failure| failed::Failed {
            upstream: Some(upstream.clone()),
            ..failed::Failed::before(failure)
        };
        let Some(request) = self.request(&slot, order, body) else {
            slot.offered.done(request::Outcome::Shed);
            return Err(fail(verdict::Failure::not_run(verdict::Reason::BadRequest)));
        };
        let left = order.deadline.saturating_duration_since(self.handle.now());
        let answer = match tokio::time::timeout(left, self.client.request(request)).await {
            Ok(Ok(answer)) => answer,
            Ok(Err(error)) if error.is_connect() => {
                slot.offered.done(request::Outcome::Unreachable);
                return Err(fail(verdict::Failure::not_run(verdict::Reason::Unreachable)));
            }
            Ok(Err(error)) => {
                let (name, error) = (upstream.as_str(), format!("{:#}", anyhow::Error::new(error)));
                log::warn!(upstream = name, error = error.as_str(); "upstream-broke-off");
                slot.offered.done(request::Outcome::Broken);
                return Err(fail(verdict::Failure::may_have_run(verdict::Reason::Broken)));
            }
            Err(_) => {
                slot.offered.done(request::Outcome::Abandoned);
                return Err(fail(verdict::Failure::may_have_run(verdict::Reason::Deadline)));
            }
        };
        if order.service.shed.contains(&answer.status().as_u16()) {
            slot.offered.done(request::Outcome::Shed);
            return Err(fail(verdict::Failure::not_run(verdict::Reason::Shed)));
        }
        let left = order.deadline.saturating_duration_since(self.handle.now());
        let (mut parts, inner) = answer.into_parts();
        head::clean(&mut parts.headers);
        let guarded = Guarded {
            inner,
            offered: Some(slot.offered),
            deadline: Box::pin(tokio::time::sleep(left)),
        };
        Ok(Response::from_parts(parts, guarded.boxed_unsync()))
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
        let end = clock.wall() + left;
        let since = end.duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
        let millis = u64::try_from(since.as_millis()).unwrap_or(u64::MAX);
        headers.insert(head::DEADLINE, HeaderValue::from(millis));
        Some(request)
    }
}

/// An answer's body that holds its slot until it ends.
struct Guarded {
    inner: hyper::body::Incoming,
    offered: Option<offered::Offered>,
    deadline: Pin<Box<tokio::time::Sleep>>,
}

impl Guarded {
    fn end(&mut self, outcome: request::Outcome) {
        if let Some(offered) = self.offered.take() {
            offered.done(outcome);
        }
    }
}

impl http_body::Body for Guarded {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<Frame<Bytes>, io::Error>>> {
        let this = &mut *self;
        if let task::Poll::Ready(frame) = Pin::new(&mut this.inner).poll_frame(context) {
            return task::Poll::Ready(match frame {
                Some(Ok(frame)) => {
                    if this.inner.is_end_stream() {
                        this.end(request::Outcome::Answered);
                    }
                    Some(Ok(frame))
                }
                Some(Err(error)) => {
                    this.end(request::Outcome::Broken);
                    Some(Err(io::Error::other(error)))
                }
                None => {
                    this.end(request::Outcome::Answered);
                    None
                }
            });
        }
        if this.deadline.as_mut().poll(context).is_ready() && this.offered.is_some() {
            this.end(request::Outcome::Abandoned);
            return task::Poll::Ready(Some(Err(io::ErrorKind::TimedOut.into())));
        }
        task::Poll::Pending
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}

impl Drop for Guarded {
    fn drop(&mut self) {
        let outcome = match self.inner.is_end_stream() {
            true => request::Outcome::Answered,
            false => request::Outcome::Abandoned,
        };
        self.end(outcome);
    }
}
