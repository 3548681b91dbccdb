//! A small key-value store with compare-and-swap, leases and watches, over HTTP.
//!
//! | call | meaning |
//! | --- | --- |
//! | `GET /kv/KEY` | the value, its revision in `x-revision`; 404 when there is none |
//! | `GET /kv/KEY?after=R&wait_ms=N` | waits for a revision past `R`; 304 when none came |
//! | `PUT /kv/KEY?expect=R` | writes if the revision is `R` (0: no value); 409 otherwise |
//! | `PUT /kv/KEY?expect=R&lease=L` | the same; the value is removed when the lease ends |
//! | `POST /leases?ttl_ms=N` | a new lease; its id is the body |
//! | `POST /leases/L?ttl_ms=N` | renews a lease; 404 when it has ended |
//!
//! Nodes that own upstreams use it. It owns the values, the leases and the counters of calls; it
//! relies on [`crate::control`] for its faults.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use axum::body;
use axum::extract::{Path, Query, State};
use axum::http::{HeaderMap, HeaderName, HeaderValue, StatusCode};
use axum::routing;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::control;
use crate::server;

/// Largest value, in bytes; not measured.
pub const LARGEST_VALUE: usize = 1 << 20;

/// Longest time a watch waits; not measured.
const LONGEST_WAIT: Duration = Duration::from_secs(60);

const REVISION: HeaderName = HeaderName::from_static("x-revision");

/// A running store.
#[derive(Debug)]
pub struct Store {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its faults.
    pub faults: sync::Arc<control::Faults>,
    inner: sync::Arc<Inner>,
    server: server::Server,
}

/// Calls by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counters {
    /// Reads.
    pub gets: u64,
    /// Watches, each call one.
    pub waits: u64,
    /// Writes that took effect.
    pub puts: u64,
    /// Writes refused because the revision had changed.
    pub conflicts: u64,
    /// Lease calls.
    pub leases: u64,
    /// Calls that failed in an outage.
    pub refused: u64,
}

#[derive(Debug)]
struct Inner {
    faults: sync::Arc<control::Faults>,
    data: sync::Mutex<Data>,
    changed: watch::Sender<u64>,
}

#[derive(Debug, Default)]
struct Data {
    revision: u64,
    values: collections::BTreeMap<String, Value>,
    leases: collections::BTreeMap<u64, Instant>,
    counters: Counters,
}

#[derive(Clone, Debug)]
struct Value {
    revision: u64,
    bytes: bytes::Bytes,
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct GetQuery {
    after: Option<u64>,
    wait_ms: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct PutQuery {
    expect: u64,
    lease: Option<u64>,
}

#[derive(Debug, Deserialize)]
struct LeaseQuery {
    ttl_ms: u64,
}

type Answer = (StatusCode, HeaderMap, bytes::Bytes);

impl Store {
    /// Starts a store that is empty.
    ///
    /// # Errors
    ///
    /// Fails when the address cannot be listened on.
    pub async fn start(address: net::SocketAddr) -> io::Result<Self> {
        let faults = sync::Arc::new(control::Faults::default());
        let inner = sync::Arc::new(Inner {
            faults: sync::Arc::clone(&faults),
            data: sync::Mutex::default(),
            changed: watch::channel(0).0,
        });
        let router = axum::Router::new()
            .route("/kv/{*key}", routing::get(get).put(put))
            .route("/leases", routing::post(grant))
            .route("/leases/{id}", routing::post(renew))
            .layer(axum::extract::DefaultBodyLimit::max(LARGEST_VALUE))
            .with_state(sync::Arc::clone(&inner));
        let server =
            server::Server::start(address, router, server::MANY, sync::Arc::default()).await?;
        Ok(Self { address: server.address, faults, inner, server })
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.inner.data().counters
    }

    /// Stops the store.
    pub fn stop(&self) {
        self.server.stop();
    }
}

impl Inner {
    fn data(&self) -> sync::MutexGuard<'_, Data> {
        self.data.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the answer to a call in an outage, and counts it.
    fn refusal(&self) -> Option<Answer> {
        match self.faults.is_out() {
            true => {
                self.data().counters.refused += 1;
                Some(status(StatusCode::SERVICE_UNAVAILABLE))
            }
            false => None,
        }
    }
}

impl Data {
    /// Returns a value unless its lease has ended.
    fn value(&mut self, key: &str) -> Option<Value> {
        let now = Instant::now();
        self.leases.retain(|_, end| now < *end);
        let leases = &self.leases;
        self.values.retain(|_, v| v.lease.is_none_or(|lease| leases.contains_key(&lease)));
        self.values.get(key).cloned()
    }
}

async fn get(
    State(inner): State<sync::Arc<Inner>>,
    Path(key): Path<String>,
    Query(query): Query<GetQuery>,
) -> Answer {
    if let Some(answer) = inner.refusal() {
        return answer;
    }
    let Some(after) = query.after else {
        inner.data().counters.gets += 1;
        return inner.data().value(&key).map_or_else(|| status(StatusCode::NOT_FOUND), found);
    };
    inner.data().counters.waits += 1;
    if inner.faults.silences_watch() {
        std::future::pending::<()>().await;
    }
    let wait = Duration::from_millis(query.wait_ms.unwrap_or(0)).min(LONGEST_WAIT);
    let mut changed = inner.changed.subscribe();
    let newer = async {
        loop {
            changed.borrow_and_update();
            match inner.data().value(&key) {
                Some(value) if value.revision > after && inner.faults.cuts_value() => {
                    let bytes = value.bytes.slice(..value.bytes.len() / 2);
                    return found(Value { bytes, ..value });
                }
                Some(value) if value.revision > after => return found(value),
                _ => {}
            }
            if changed.changed().await.is_err() {
                return status(StatusCode::SERVICE_UNAVAILABLE);
            }
        }
    };
    match tokio::time::timeout(wait, newer).await {
        Ok(_) if inner.faults.is_out() => status(StatusCode::SERVICE_UNAVAILABLE),
        Ok(answer) => answer,
        Err(_) => status(StatusCode::NOT_MODIFIED),
    }
}

async fn put(
    State(inner): State<sync::Arc<Inner>>,
    Path(key): Path<String>,
    Query(query): Query<PutQuery>,
    body: bytes::Bytes,
) -> Answer {
    if let Some(answer) = inner.refusal() {
        return answer;
    }
    let answer = write(&inner, &key, &query, body);
    if answer.0 == StatusCode::OK && inner.faults.loses_answer() {
        std::future::pending::<()>().await;
    }
    answer
}

fn write(inner: &Inner, key: &str, query: &PutQuery, body: bytes::Bytes) -> Answer {
    let mut data = inner.data();
    let standing = data.value(key).map_or(0, |v| v.revision);
    if standing != query.expect {
        data.counters.conflicts += 1;
        return with_revision(StatusCode::CONFLICT, standing, bytes::Bytes::new());
    }
    if query.lease.is_some_and(|lease| !data.leases.contains_key(&lease)) {
        return status(StatusCode::GONE);
    }
    data.counters.puts += 1;
    data.revision += 1;
    let revision = data.revision;
    let value = Value { revision, bytes: body, lease: query.lease };
    data.values.insert(key.to_owned(), value);
    drop(data);
    inner.changed.send_replace(revision);
    with_revision(StatusCode::OK, revision, bytes::Bytes::new())
}

async fn grant(State(inner): State<sync::Arc<Inner>>, Query(query): Query<LeaseQuery>) -> Answer {
    if let Some(answer) = inner.refusal() {
        return answer;
    }
    let mut data = inner.data();
    data.counters.leases += 1;
    data.revision += 1;
    let id = data.revision;
    data.leases.insert(id, Instant::now() + Duration::from_millis(query.ttl_ms));
    (StatusCode::OK, HeaderMap::new(), id.to_string().into())
}

async fn renew(
    State(inner): State<sync::Arc<Inner>>,
    Path(id): Path<u64>,
    Query(query): Query<LeaseQuery>,
) -> Answer {
    if let Some(answer) = inner.refusal() {
        return answer;
    }
    let mut data = inner.data();
    data.counters.leases += 1;
    let now = Instant::now();
    match data.leases.get_mut(&id) {
        Some(end) if now < *end => {
            *end = now + Duration::from_millis(query.ttl_ms);
            status(StatusCode::OK)
        }
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn found(value: Value) -> Answer {
    with_revision(StatusCode::OK, value.revision, value.bytes)
}

fn with_revision(status: StatusCode, revision: u64, body: bytes::Bytes) -> Answer {
    let mut headers = HeaderMap::new();
    headers.insert(REVISION, HeaderValue::from(revision));
    (status, headers, body)
}

fn status(status: StatusCode) -> Answer {
    (status, HeaderMap::new(), body::Bytes::new())
}
