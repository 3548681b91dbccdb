//! An upstream: slots, a cold start, reports that lag, shedding, cancellation and deadlines.
//!
//! `GET /report` answers its own view of its load. Every other request runs: it takes the time that
//! the header `x-work-ms` asks for, or the upstream's usual time, and is answered with
//! [`crate::pattern::body`] of its `x-request-id`, as long as `x-answer-bytes` asks for.
//!
//! It owns its slots and its reports, and writes what ran into a [`record::Record`].

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant, SystemTime};

use axum::Json;
use axum::extract::State;
use axum::http::{HeaderMap, StatusCode};
use axum::response::{IntoResponse, Response};
use axum::routing;
use serde::Serialize;

use crate::pattern;
use crate::record;
use crate::server;

/// Status by which it proves that it did not run a request.
pub const SHED: StatusCode = StatusCode::TOO_MANY_REQUESTS;

/// Requests after which a cold cache has warmed by two thirds; not measured.
const WARMING: f64 = 60.0;

/// How late it detects that a deadline has passed; not measured.
const NOTICE: Duration = Duration::from_millis(100);

/// Longest answer a request may ask for, in bytes; not measured.
const LONGEST_ANSWER: usize = 64 << 20;

/// What one upstream is like.
#[derive(Clone, Debug)]
pub struct Spec {
    /// Its service.
    pub service: String,
    /// Its name.
    pub name: String,
    /// Its region.
    pub region: String,
    /// Its hall.
    pub hall: String,
    /// Requests it can run at once.
    pub slots: u32,
    /// Connections it accepts.
    pub connections: u32,
    /// Usual time of a request when warm.
    pub time: Duration,
    /// How many times longer a request takes when it is cold; 1 for one that starts warm.
    pub cold_factor: f64,
    /// How far its reports lag.
    pub report_lag: Duration,
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Connections that it closed because it had too many.
    pub refused: sync::Arc<atomic::AtomicU64>,
    state: sync::Arc<Inner>,
    server: server::Server,
}

#[derive(Debug)]
struct Inner {
    spec: Spec,
    record: sync::Arc<record::Record>,
    in_flight: atomic::AtomicU32,
    served: atomic::AtomicU32,
    is_draining: atomic::AtomicBool,
    started: Instant,
    reported: sync::Mutex<(Instant, Report)>,
}

#[derive(Clone, Copy, Debug, Default, Serialize)]
struct Report {
    draining: bool,
    in_flight: u32,
    slots: u32,
    uptime_ms: u64,
}

impl Upstream {
    /// Starts an upstream that records into `record`.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(
        address: net::SocketAddr,
        spec: Spec,
        record: sync::Arc<record::Record>,
    ) -> io::Result<Self> {
        let now = Instant::now();
        let first = Report { slots: spec.slots, ..Report::default() };
        let state = sync::Arc::new(Inner {
            spec,
            record,
            in_flight: atomic::AtomicU32::new(0),
            served: atomic::AtomicU32::new(0),
            is_draining: atomic::AtomicBool::new(false),
            started: now,
            reported: sync::Mutex::new((now, first)),
        });
        let most = usize::try_from(state.spec.connections).unwrap_or(server::MANY);
        let refused = sync::Arc::default();
        let router = axum::Router::new()
            .route("/report", routing::get(report))
            .fallback(run)
            .layer(axum::extract::DefaultBodyLimit::disable())
            .with_state(sync::Arc::clone(&state));
        let server =
            server::Server::start(address, router, most, sync::Arc::clone(&refused)).await?;
        Ok(Self { address: server.address, refused, state, server })
    }

    /// Reports from now on that it is draining.
    pub fn drain(&self) {
        self.state.is_draining.store(true, atomic::Ordering::SeqCst);
    }

    /// Returns what it is like.
    #[must_use]
    pub fn spec(&self) -> &Spec {
        &self.state.spec
    }

    /// Stops accepting; requests that run are finished.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Inner {
    fn time(&self, headers: &HeaderMap) -> Duration {
        let asked = number(headers, "x-work-ms").map(Duration::from_millis);
        let time = asked.unwrap_or(self.spec.time);
        let served = f64::from(self.served.load(atomic::Ordering::Relaxed));
        let extra = (self.spec.cold_factor - 1.0).max(0.0) * (-served / WARMING).exp();
        time.mul_f64(1.0 + extra)
    }

    fn report(&self) -> Report {
        let mut reported = self.reported.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if reported.0.elapsed() >= self.spec.report_lag {
            let uptime = self.started.elapsed().as_millis();
            let fresh = Report {
                draining: self.is_draining.load(atomic::Ordering::SeqCst),
                in_flight: self.in_flight.load(atomic::Ordering::SeqCst),
                slots: self.spec.slots,
                uptime_ms: u64::try_from(uptime).unwrap_or(u64::MAX),
            };
            *reported = (Instant::now(), fresh);
        }
        reported.1
    }
}

/// Holds a slot; dropped when the request ends, also when its connection is closed.
struct Slot(sync::Arc<Inner>);

impl Drop for Slot {
    fn drop(&mut self) {
        self.0.in_flight.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

async fn report(State(state): State<sync::Arc<Inner>>) -> Json<Report> {
    Json(state.report())
}

async fn run(State(state): State<sync::Arc<Inner>>, request: axum::extract::Request) -> Response {
    let (head, body) = request.into_parts();
    let headers = &head.headers;
    if let Some(left) = deadline(headers)
        && left.is_none()
    {
        state.record.late();
        return (SHED, "the deadline has passed").into_response();
    }
    let id = text(headers, "x-request-id");
    let slot = Slot(sync::Arc::clone(&state));
    let in_flight = state.in_flight.fetch_add(1, atomic::Ordering::SeqCst) + 1;
    let arrival = record::Arrival {
        at: Instant::now(),
        service: state.spec.service.clone(),
        place: text(headers, "x-place").to_owned(),
        region: state.spec.region.clone(),
        hall: state.spec.hall.clone(),
        upstream: state.spec.name.clone(),
    };
    state.record.began(id, arrival, in_flight, state.spec.slots);
    let len = number(headers, "x-answer-bytes").unwrap_or(64);
    let len = usize::try_from(len).unwrap_or(LONGEST_ANSWER).min(LONGEST_ANSWER);
    let Ok(received) = axum::body::to_bytes(body, usize::MAX).await else {
        return StatusCode::BAD_REQUEST.into_response();
    };
    let time = state.time(headers);
    let limit = deadline(headers).flatten().map_or(Duration::MAX, |left| left + NOTICE);
    if tokio::time::timeout(limit, tokio::time::sleep(time)).await.is_err() {
        return StatusCode::GATEWAY_TIMEOUT.into_response();
    }
    state.served.fetch_add(1, atomic::Ordering::Relaxed);
    drop(slot);
    let received = received.len().to_string();
    ([("x-received-bytes", received)], pattern::body(id, len)).into_response()
}

/// Returns the time left until the request's deadline; the inner none when it has passed.
fn deadline(headers: &HeaderMap) -> Option<Option<Duration>> {
    let unix_ms = number(headers, "yokespoke-deadline")?;
    let end = SystemTime::UNIX_EPOCH + Duration::from_millis(unix_ms);
    Some(end.duration_since(SystemTime::now()).ok())
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> &'a str {
    headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default()
}

fn number(headers: &HeaderMap, name: &str) -> Option<u64> {
    text(headers, name).parse().ok()
}
