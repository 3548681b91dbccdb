//! A client of the HTTP protocol of the store of declarations.
//!
//! Owns the connections and the counts of calls; no other module knows the protocol.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt;
use platform::framing;
use serde::Serialize;

use crate::common::store::edge;

/// Time for an answer, beside what a watch waits.
const CALL_TIME: Duration = Duration::from_secs(2);

/// Time to make a connection.
const CONNECT_TIME: Duration = Duration::from_millis(500);

/// Most connections that rest. Few, since each of them may have fallen silent, and costs the time of a call then.
const MOST_RESTING: usize = 1;

/// Largest value that is read, in bytes.
const LARGEST_VALUE: usize = 2 << 20;

/// Header that carries a value's revision.
const REVISION: &str = "x-revision";

/// A client of the store.
#[derive(Debug)]
pub struct Client {
    base: String,
    http: legacy::Client<HttpConnector, Full<Bytes>>,
    calls: sync::Arc<Calls>,
}

/// Calls to the store, by kind.
#[derive(Debug, Default)]
pub struct Calls {
    gets: atomic::AtomicU64,
    watches: atomic::AtomicU64,
    puts: atomic::AtomicU64,
    failures: atomic::AtomicU64,
}

/// The same as plain numbers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    /// Reads.
    pub gets: u64,
    /// Watches, each call one.
    pub watches: u64,
    /// Writes.
    pub puts: u64,
    /// Calls of any kind without an answer.
    pub failures: u64,
}

impl Calls {
    /// Returns the calls so far.
    #[must_use]
    pub fn counts(&self) -> Counts {
        let read = |count: &atomic::AtomicU64| count.load(atomic::Ordering::Relaxed);
        Counts {
            gets: read(&self.gets),
            watches: read(&self.watches),
            puts: read(&self.puts),
            failures: read(&self.failures),
        }
    }
}

impl Client {
    /// Makes a client of the store at `address`.
    #[must_use]
    pub fn new(address: net::SocketAddr, calls: sync::Arc<Calls>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIME));
        connector.set_nodelay(true);
        let http = legacy::Client::builder(rt::TokioExecutor::new())
            .pool_timer(rt::TokioTimer::new())
            .pool_max_idle_per_host(MOST_RESTING)
            .build(connector);
        Self { base: format!("http://{address}/kv/"), http, calls }
    }

    async fn call(
        &self,
        method: Method,
        path: String,
        body: Bytes,
        wait: Duration,
    ) -> Result<(StatusCode, Option<edge::Value>), edge::Error> {
        let uri = format!("{}{path}", self.base);
        let request = Request::builder().method(method.clone()).uri(uri).body(Full::new(body));
        let request = request.map_err(|_| edge::Error::Refused)?;
        let exchange = async {
            let mut response =
                self.http.request(request).await.map_err(|error| match error.is_connect() {
                    true => edge::Error::Refused,
                    false => edge::Error::Lost,
                })?;
            framing::check(&method, &mut response).map_err(|_| edge::Error::Lost)?;
            read(response).await
        };
        let result = tokio::time::timeout(wait + CALL_TIME, exchange).await;
        let result = result.unwrap_or(Err(edge::Error::Lost));
        if result.is_err() {
            count(&self.calls.failures);
        }
        result
    }
}

impl edge::Store for Client {
    async fn get(&self, key: &str) -> Result<Option<edge::Value>, edge::Error> {
        count(&self.calls.gets);
        let path = key.to_owned();
        let (status, value) = self.call(Method::GET, path, Bytes::new(), Duration::ZERO).await?;
        match (status, value) {
            (StatusCode::OK, Some(value)) => Ok(Some(value)),
            (StatusCode::NOT_FOUND, _) => Ok(None),
            // Not a value and not the lack of one: an answer without a readable revision.
            (StatusCode::OK, None) => Err(edge::Error::Lost),
            _ => Err(edge::Error::Refused),
        }
    }

    async fn next(
        &self,
        key: &str,
        after: u64,
        wait: Duration,
    ) -> Result<Option<edge::Value>, edge::Error> {
        count(&self.calls.watches);
        let path = format!("{key}?after={after}&wait_ms={}", wait.as_millis());
        let (status, value) = self.call(Method::GET, path, Bytes::new(), wait).await?;
        match (status, value) {
            (StatusCode::OK, Some(value)) => Ok(Some(value)),
            (StatusCode::NOT_MODIFIED, _) => Ok(None),
            (StatusCode::OK, None) => Err(edge::Error::Lost),
            _ => Err(edge::Error::Refused),
        }
    }

    async fn put(&self, key: &str, bytes: Bytes, expect: u64) -> Result<edge::Put, edge::Error> {
        count(&self.calls.puts);
        let path = format!("{key}?expect={expect}");
        let (status, value) = self.call(Method::PUT, path, bytes, Duration::ZERO).await?;
        match (status, value) {
            (StatusCode::OK, Some(value)) => Ok(edge::Put::Written(value.revision)),
            (StatusCode::CONFLICT, _) => Ok(edge::Put::Conflict),
            (StatusCode::SERVICE_UNAVAILABLE, _) => Err(edge::Error::Refused),
            _ => Err(edge::Error::Lost),
        }
    }
}

async fn read(
    response: Response<Incoming>,
) -> Result<(StatusCode, Option<edge::Value>), edge::Error> {
    let (head, body) = response.into_parts();
    // None when it is absent or cannot be read; the call decides what that means.
    let revision = head.headers.get(REVISION).and_then(|v| v.to_str().ok()?.parse().ok());
    let body = Limited::new(body, LARGEST_VALUE).collect().await;
    let bytes = body.map_err(|_| edge::Error::Lost)?.to_bytes();
    Ok((head.status, revision.map(|revision| edge::Value { revision, bytes })))
}

fn count(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}
