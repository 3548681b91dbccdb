//! The callers' server: proxies requests and answers look-ups.
//!
//! Owns the connections of callers and their bounds. Relies on [`entry`] for requests and on [`lookup`]
//! for look-ups; decides nothing itself.

use std::convert;
use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use http::{Method, Request, Response, header};
use http_body::Body as _;
use http_body_util::{BodyExt as _, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt;
use hyper_util::server::conn::auto;
use model::service;
use model::verdict;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, watch};

use crate::common::accepting;
use crate::common::body;
use crate::common::closing;
use crate::common::delivery;
use crate::common::head;
use crate::common::head_timer;
use crate::common::lingering;
use crate::common::sending;
use crate::common::socket;
use crate::owner::callers::entry;
use crate::owner::callers::ledger;
use crate::owner::callers::lookup;
use crate::owner::callers::respond;
use crate::owner::handle;
use crate::owner::in_flight;
use crate::owner::in_flight::passing;
use crate::owner::open;
use crate::owner::runner;
use crate::owner::settings;
use crate::owner::stats;
use crate::owner::stopping;
use crate::owner::view;

/// Requests that one HTTP/2 connection may have open. Not measured.
const STREAMS: u32 = 256;

/// Longest path with its query, in bytes. Not measured.
const LONGEST_PATH: usize = 8 * 1_024;

/// `Retry-After` of a node that is not ready. Not measured; half of the time in which it becomes so.
const NOT_READY_RETRY: Duration = Duration::from_secs(1);

/// The callers' server.
#[derive(Clone, Debug)]
pub struct Server {
    /// The decisions.
    pub handle: handle::Handle,
    /// Enters requests.
    pub entry: entry::Entry,
    /// Bounds.
    pub limits: settings::Limits,
    /// Figures.
    pub stats: sync::Arc<stats::Stats>,
    /// The node's planned stop.
    pub stopping: sync::Arc<stopping::Stopping>,
    /// The callers' connections.
    pub connections: open::Connections,
}

/// Accepts callers until `stop` turns true; every connection then ends after what it has in flight.
pub async fn serve(server: Server, listener: TcpListener, stop: watch::Receiver<bool>) {
    let permits = sync::Arc::new(Semaphore::new(server.limits.connections));
    let server = sync::Arc::new(server);
    let mut listener = accepting::Listener::new(listener, stop.clone());
    loop {
        let permit = tokio::select! {
            permit = sync::Arc::clone(&permits).acquire_owned() => permit,
            () = listener.stopped() => break,
        };
        let (stream, peer) = match listener.next().await {
            Some(Ok(accepted)) => accepted,
            Some(Err(error)) => {
                accepting::pause(&error).await;
                continue;
            }
            None => break,
        };
        let open = server.connections.begin();
        let served = connection(sync::Arc::clone(&server), stream, peer, stop.clone());
        tokio::spawn(async move {
            served.await;
            drop((permit, open));
        });
    }
    for accepted in listener.close().await {
        let (stream, peer) = match accepted {
            Ok(accepted) => accepted,
            Err(error) => {
                accepting::pause(&error).await;
                continue;
            }
        };
        let open = server.connections.begin();
        let permit = sync::Arc::clone(&permits).acquire_owned();
        let served = connection(sync::Arc::clone(&server), stream, peer, stop.clone());
        tokio::spawn(async move {
            let permit = permit.await;
            served.await;
            drop((permit, open));
        });
    }
    server.connections.close();
}

/// Serves one connection until it has ended.
async fn connection(
    server: sync::Arc<Server>,
    stream: TcpStream,
    peer: net::SocketAddr,
    stop: watch::Receiver<bool>,
) {
    socket::accepted(&stream);
    let addresses = sending::addresses(&stream);
    let stream = sending::Connection::new(stream, addresses);
    let settings::Limits { head_time, idle_time, .. } = server.limits;
    let (stream, timer) = head_timer::watch(stream, head_time, idle_time);
    let builder = builder(&server.limits, timer);
    let (activity, ledger) = (closing::Activity::default(), ledger::Ledger::default());
    let service = service_fn(|request| {
        let running = activity.begin();
        let (server, ledger) = (sync::Arc::clone(&server), ledger.clone());
        async move {
            let response = server.handle(request, peer.ip(), ledger).await;
            let response = response.map(|body| body::holding(body, running));
            Ok::<_, convert::Infallible>(response)
        }
    });
    let stream = lingering::Connection::new(stream, server.connections.lingering.clone());
    let stream = stream.with_addresses(addresses);
    let stream = delivery::Stream::new(stream, ledger.clone());
    let connection = builder.serve_connection(rt::TokioIo::new(stream), service);
    tokio::pin!(connection);
    let is_over = tokio::select! {
        // A caller that disconnects or sends what is not HTTP ends its own connection only.
        _ = connection.as_mut() => true,
        () = activity.ends(stop) => false,
    };
    if !is_over {
        connection.as_mut().graceful_shutdown();
        // As above.
        let _ = connection.await;
    }
}

fn builder(
    limits: &settings::Limits,
    timer: head_timer::Timer,
) -> auto::Builder<rt::TokioExecutor> {
    let mut builder = auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .timer(timer)
        .header_read_timeout(limits.head_time)
        .max_buf_size(limits.head_bytes);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_concurrent_streams(STREAMS)
        .keep_alive_interval(socket::PING_EVERY)
        .keep_alive_timeout(socket::PING_TIME)
        .max_header_list_size(u32::try_from(limits.head_bytes).unwrap_or(u32::MAX));
    builder
}

impl Server {
    async fn handle(
        &self,
        request: Request<Incoming>,
        caller: net::IpAddr,
        ledger: ledger::Ledger,
    ) -> Response<body::Body> {
        if request.uri().path() == lookup::PATH {
            self.stats.lookup();
            let query = request.uri().query().unwrap_or_default();
            return lookup::answer(query, caller, &self.handle, &self.limits);
        }
        let began = Instant::now();
        let tracked = self.stopping.requests.arrive();
        let result = self.proxy(request, caller, &tracked).await;
        self.stats.request(began.elapsed(), result.as_ref().err());
        tracked.respond(in_flight::Outcome::of(result.as_ref().map_err(|failure| *failure)));
        let response = result.unwrap_or_else(respond::failure);
        response.map(|body| passing::body(body, tracked, ledger))
    }

    async fn proxy(
        &self,
        request: Request<Incoming>,
        caller: net::IpAddr,
        tracked: &sync::Arc<in_flight::Request>,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let (parts, incoming) = request.into_parts();
        let ticket = text(&parts.headers, &head::TICKET);
        let order = self.order(parts, caller, sync::Arc::clone(tracked))?;
        tracked.describe(&order);
        let source = self.source(incoming, order.deadline).await?;
        self.send_in_time(order, source, ticket.as_deref()).await
    }

    /// Sends a request unless this node may exit before the request ends.
    async fn send_in_time(
        &self,
        mut order: runner::Order,
        source: body::Source,
        ticket: Option<&str>,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let admission = self.stopping.admit(&mut order).ok_or_else(stopping::refusal)?;
        admission.within(self.send(order, source, ticket), self.handle.now()).await
    }

    /// Checks a request's head and makes the order that is sent to owners.
    fn order(
        &self,
        mut parts: http::request::Parts,
        caller: net::IpAddr,
        request: sync::Arc<in_flight::Request>,
    ) -> Result<runner::Order, verdict::Failure> {
        let bad = verdict::Failure::not_run(verdict::Reason::BadRequest);
        let path = parts.uri.path_and_query().map_or("/", |p| p.as_str());
        let is_connect = parts.method == Method::CONNECT;
        if is_connect || head::is_ambiguous(&parts.headers) || path.len() > LONGEST_PATH {
            return Err(bad);
        }
        let host = parts.uri.authority().map(|a| a.as_str().to_owned());
        let host = host.or_else(|| text(&parts.headers, &header::HOST));
        let view = self.handle.view();
        let service = service(&view, host.as_deref())?;
        let allowed = match head::number(&parts.headers, &head::TIMEOUT) {
            head::Number::Absent => service.deadline,
            head::Number::Given(millis) => Duration::from_millis(millis).min(service.deadline),
            head::Number::Malformed => return Err(bad),
        };
        let deadline = self.handle.now() + allowed;
        let path = path.to_owned();
        head::clean(&mut parts.headers);
        head::add_caller(&mut parts.headers, caller);
        Ok(runner::Order {
            place: view.config.place_of(caller),
            method: parts.method,
            path,
            headers: parts.headers,
            deadline,
            avoid: Vec::new(),
            may_wait: false,
            request,
            service,
        })
    }

    async fn send(
        &self,
        order: runner::Order,
        source: body::Source,
        ticket: Option<&str>,
    ) -> Result<Response<body::Body>, verdict::Failure> {
        let repetition = order.service.retry_policy(order.method.as_str(), &order.path);
        match (repetition, ticket, source) {
            (service::RetryPolicy::Ticketed, Some(ticket), body::Source::Kept(kept)) => {
                self.entry.enter_with(order, ticket, kept).await
            }
            // A ticket's request must be repeatable by its caller, so its body must be small.
            (service::RetryPolicy::Ticketed, Some(_), _) => {
                Err(verdict::Failure::not_run(verdict::Reason::BadRequest))
            }
            (_, _, source) => self.entry.enter(order, source, None).await,
        }
    }

    /// Reads a small body whole; leaves a large one, or one of unknown size, to be streamed.
    ///
    /// Nothing has been sent on while a small one is read, so that it can be refused before this node exits.
    async fn source(
        &self,
        incoming: Incoming,
        deadline: Instant,
    ) -> Result<body::Source, verdict::Failure> {
        let size = incoming.size_hint().exact();
        let limit = body::LARGEST_KEPT;
        match size {
            Some(0) => Ok(body::Source::Kept(bytes::Bytes::new())),
            Some(size) if size <= limit as u64 => {
                let left = deadline.saturating_duration_since(self.handle.now());
                let read = Limited::new(incoming, limit).collect();
                let read = tokio::time::timeout(left, read);
                let read = tokio::select! {
                    biased;
                    read = read => read,
                    () = self.stopping.refuses_incomplete() => return Err(stopping::refusal()),
                };
                match read {
                    Ok(Ok(body)) => Ok(body::Source::Kept(body.to_bytes())),
                    Ok(Err(_)) => Err(verdict::Failure::not_run(verdict::Reason::BadRequest)),
                    Err(_) => Err(verdict::Failure::not_run(verdict::Reason::Deadline)),
                }
            }
            _ => Ok(body::Source::Streamed(body::incoming(incoming))),
        }
    }
}

/// Returns the service of a host, as far as this node may serve it now.
fn service(
    view: &view::View,
    host: Option<&str>,
) -> Result<sync::Arc<service::Service>, verdict::Failure> {
    if !view.is_ready {
        let failure = verdict::Failure::not_run(verdict::Reason::NotReady);
        return Err(failure.with_retry_after(NOT_READY_RETRY));
    }
    // Serving callers without a look at their keys would let anybody in.
    if !view.config.snapshot.organisations.is_empty() {
        return Err(verdict::Failure::not_run(verdict::Reason::KeysNotChecked));
    }
    let service = host.and_then(|host| view.config.service_of(host));
    let unknown = verdict::Failure::not_run(verdict::Reason::UnknownHost);
    service.map(sync::Arc::clone).ok_or(unknown)
}

fn text(headers: &http::HeaderMap, name: &http::HeaderName) -> Option<String> {
    headers.get(name).and_then(|v| v.to_str().ok()).map(str::to_owned)
}

/// Binds a listener.
///
/// # Errors
///
/// Fails when the address is taken or not of this machine.
pub fn bind(address: net::SocketAddr) -> io::Result<std::net::TcpListener> {
    let listener = std::net::TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}
