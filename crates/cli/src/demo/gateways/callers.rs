//! Callers of the demo: an even stream of requests, each with its own name.
//!
//! It owns what each response says; it relies on the platform's headers.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use ::platform::{directory, headers};
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt as _, Empty, Full};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use rand::{RngExt as _, SeedableRng as _, rngs};
use tokio::task;

/// Requests a second.
const RATE: f64 = 250.0;

/// One request in this many may not be repeated.
const BOOKING_EVERY: u32 = 3;

/// Objects that requests are about.
const OBJECTS: u32 = 60;

/// Time a caller waits.
const DEADLINE: Duration = Duration::from_secs(2);

/// What the response says about a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The whole answer to its own request.
    Whole,
    /// Something else as a success.
    Wrong,
    /// That it did not run.
    NotRun,
    /// That it may have run, or nothing.
    Unknown,
}

/// A request, and what became of it.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Its name.
    pub id: String,
    /// Whether it may run more than once.
    pub is_repeatable: bool,
    /// What the response says.
    pub verdict: Verdict,
    /// Time to that response.
    pub took: Duration,
}

/// Where requests may be sent.
pub type Addresses = sync::Arc<sync::RwLock<Vec<net::SocketAddr>>>;

type Client = legacy::Client<HttpConnector, Full<Bytes>>;

/// Sends requests for `length`; returns what became of all of them.
pub async fn run(phase: &str, addresses: &Addresses, length: Duration, seed: u64) -> Vec<Outcome> {
    let client: Client = legacy::Client::builder(TokioExecutor::new()).build_http();
    let mut random = rngs::StdRng::seed_from_u64(seed);
    let mut tasks = task::JoinSet::new();
    let began = Instant::now();
    let mut number: u32 = 0;
    while began.elapsed() < length {
        let due = began + Duration::from_secs_f64(f64::from(number) / RATE);
        tokio::time::sleep_until(due.into()).await;
        let target = pick(addresses, &mut random);
        let object = random.random_range(0..OBJECTS);
        let is_repeatable = !number.is_multiple_of(BOOKING_EVERY);
        let id = format!("{phase}-{number}").replace(' ', "-");
        if let Some(target) = target {
            tasks.spawn(send(client.clone(), target, id, object, is_repeatable));
        }
        number += 1;
    }
    tasks.join_all().await
}

fn pick(addresses: &Addresses, random: &mut rngs::StdRng) -> Option<net::SocketAddr> {
    let addresses = addresses.read().unwrap_or_else(sync::PoisonError::into_inner);
    match addresses.len() {
        0 => None,
        count => addresses.get(random.random_range(0..count)).copied(),
    }
}

async fn send(
    client: Client,
    target: net::SocketAddr,
    id: String,
    object: u32,
    is_repeatable: bool,
) -> Outcome {
    let began = Instant::now();
    let exchange = exchange(&client, target, &id, object, is_repeatable);
    let verdict = match tokio::time::timeout(DEADLINE, exchange).await {
        Ok(Ok(verdict)) => verdict,
        Ok(Err(_)) | Err(_) => Verdict::Unknown,
    };
    Outcome { id, is_repeatable, verdict, took: began.elapsed() }
}

async fn exchange(
    client: &Client,
    target: net::SocketAddr,
    id: &str,
    object: u32,
    is_repeatable: bool,
) -> anyhow::Result<Verdict> {
    let (method, path) = match is_repeatable {
        true => (Method::GET, "read"),
        false => (Method::POST, "book"),
    };
    let request = Request::builder()
        .method(method)
        .uri(format!("http://{target}/{path}/{object}"))
        .header(http::header::HOST, "demo.example")
        .header(headers::REQUEST_ID, id)
        .header(headers::DEADLINE, DEADLINE.as_millis().to_string())
        .header(http::header::COOKIE, format!("{}={object}", headers::AFFINITY_COOKIE))
        .body(Full::default())?;
    let answer = client.request(request).await?;
    let status = answer.status();
    let body = answer.into_body().collect().await?.to_bytes();
    let is_own = body.ends_with(format!(" to {id}").as_bytes());
    Ok(match status {
        StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => Verdict::NotRun,
        status if status.is_success() && is_own => Verdict::Whole,
        status if status.is_success() => Verdict::Wrong,
        _ => Verdict::Unknown,
    })
}

/// Returns whether the gateway that serves its readiness at `address` is ready.
pub async fn is_ready(address: net::SocketAddr) -> bool {
    let client: legacy::Client<HttpConnector, Empty<Bytes>> =
        legacy::Client::builder(TokioExecutor::new()).build_http();
    let Ok(uri) = format!("http://{address}{}", directory::READY).parse() else { return false };
    client.get(uri).await.is_ok_and(|answer| answer.status().is_success())
}
