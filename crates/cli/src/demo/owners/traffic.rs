//! The demo's callers: they look up a node, send, and retry as the callers' pages say.
//!
//! It owns the record of what each caller saw; it relies on the stand-ins' HTTP client and their
//! answer pattern.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Method, Request, Response, header};
use http_body_util::Full;
use rand::rngs;
use rand::{RngExt as _, SeedableRng as _};
use serde::Deserialize;
use standin::pattern;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::demo::owners::example;
use standin::client as http1;

/// Times a caller sends one request.
const TRIES: usize = 3;

/// Share of a service's requests that must run at most once, where it has such.
const ONCE_SHARE: f64 = 0.3;

/// Longest answer that callers ask for, in bytes.
const LONGEST_ANSWER: usize = 32 * 1_024;

/// Time after which a caller stops waiting for an answer.
const PATIENCE: Duration = Duration::from_secs(12);

/// Longest pause before a caller asks again.
const LONGEST_PAUSE: Duration = Duration::from_secs(1);

/// How a request ended, as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The whole answer came.
    Whole,
    /// The response says that it did not run.
    NotRun,
    /// It may have run, by a verdict or for want of any answer.
    MayHaveRun,
    /// An answer came that was short, or another's.
    Lost,
}

/// One request, as its caller saw it.
#[derive(Clone, Debug)]
pub struct Record {
    /// Its id.
    pub id: String,
    /// The phase in which it was due.
    pub phase: usize,
    /// Whether it must run at most once.
    pub is_once: bool,
    /// How it ended.
    pub end: End,
    /// The reason, when there was a verdict.
    pub reason: String,
    /// From when it was due to its end.
    pub time: Duration,
}

/// All requests so far.
#[derive(Debug, Default)]
pub struct Log {
    records: sync::Mutex<Vec<Record>>,
}

impl Log {
    /// Returns the records so far.
    #[must_use]
    pub fn records(&self) -> Vec<Record> {
        self.records.lock().unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    fn push(&self, record: Record) {
        self.records.lock().unwrap_or_else(sync::PoisonError::into_inner).push(record);
    }
}

/// The load of one service from one place.
#[derive(Debug)]
pub struct Stream {
    /// What is asked for.
    pub load: example::Load,
    /// Where its callers are.
    pub source: example::Source,
    /// Requests a second.
    pub rate: f64,
    /// Addresses for callers of the nodes that a caller knows at the start.
    pub nodes: Vec<net::SocketAddr>,
    /// Seed of its random choices.
    pub seed: u64,
    /// The phase that runs.
    pub phase: sync::Arc<atomic::AtomicUsize>,
    /// Where records go.
    pub log: sync::Arc<Log>,
}

impl Stream {
    /// Sends at fixed times until `stop` is set, then waits for the requests in flight.
    pub async fn run(self, stop: watch::Receiver<bool>) {
        let began = Instant::now();
        let mut random = rngs::SmallRng::seed_from_u64(self.seed);
        let caller = sync::Arc::new(Caller::new(&self));
        let mut out = JoinSet::new();
        for number in 0_u32.. {
            let due = began + Duration::from_secs_f64(f64::from(number) / self.rate);
            tokio::time::sleep_until(due.into()).await;
            if *stop.borrow() {
                break;
            }
            while out.try_join_next().is_some() {}
            let is_once = self.load.once.is_some() && random.random_bool(ONCE_SHARE);
            let job = Job {
                id: format!("{:x}-{number}", self.seed),
                is_once,
                answer_bytes: random.random_range(16..LONGEST_ANSWER),
                phase: self.phase.load(atomic::Ordering::Relaxed),
                due,
            };
            let (caller, log) = (sync::Arc::clone(&caller), sync::Arc::clone(&self.log));
            out.spawn(async move { log.push(caller.carry_out(job).await) });
        }
        while out.join_next().await.is_some() {}
    }
}

/// One request to be sent.
#[derive(Clone, Debug)]
struct Job {
    id: String,
    is_once: bool,
    answer_bytes: usize,
    phase: usize,
    due: Instant,
}

/// The callers of one place for one service, with their cached look-up.
#[derive(Debug)]
struct Caller {
    load: example::Load,
    place: String,
    http: http1::Client,
    known: Vec<net::SocketAddr>,
    cached: sync::Mutex<Option<(Instant, Found)>>,
}

#[derive(Clone, Debug, Deserialize)]
struct Found {
    nodes: Vec<FoundNode>,
    cache_ms: u64,
    ticket: String,
}

#[derive(Clone, Debug, Deserialize)]
struct FoundNode {
    address: net::SocketAddr,
}

impl Caller {
    fn new(stream: &Stream) -> Self {
        Self {
            load: stream.load.clone(),
            place: stream.source.place.to_string(),
            http: http1::Client::new(Some(stream.source.from)),
            known: stream.nodes.clone(),
            cached: sync::Mutex::new(None),
        }
    }

    async fn carry_out(&self, job: Job) -> Record {
        let patience = job.due + PATIENCE;
        let work = self.try_all(&job);
        let result = tokio::time::timeout_at(patience.into(), work).await;
        let (end, reason) = result.unwrap_or((End::MayHaveRun, "patience".to_owned()));
        Record {
            id: job.id,
            phase: job.phase,
            is_once: job.is_once,
            end,
            reason,
            time: job.due.elapsed(),
        }
    }

    /// Sends a request up to [`TRIES`] times, as far as its caller may.
    async fn try_all(&self, job: &Job) -> (End, String) {
        let mut last = (End::NotRun, "no-node".to_owned());
        let mut ticket = None;
        // Once a try may have run, a later "not run" speaks only of itself.
        let mut may_have_run = false;
        for number in 0..TRIES {
            let Some(found) = self.look_up(job.is_once && ticket.is_none()).await else { continue };
            let ticket = ticket.get_or_insert_with(|| found.ticket.clone());
            let Some(node) = found.nodes.get(number % found.nodes.len().max(1)) else { continue };
            let sent = self.send(job, node.address, job.is_once.then_some(ticket.as_str())).await;
            let (end, reason, wait) = match sent {
                Ok(response) => judge(job, &response),
                Err(_) => {
                    self.forget();
                    (End::MayHaveRun, "no-answer".to_owned(), Duration::ZERO)
                }
            };
            last = (end, reason);
            match end {
                End::Whole | End::Lost => return last,
                End::NotRun => {}
                End::MayHaveRun => may_have_run = true,
            }
            // A ticket makes asking again safe; a GET is declared repeatable.
            tokio::time::sleep(wait.min(LONGEST_PAUSE)).await;
        }
        match may_have_run {
            true => (End::MayHaveRun, last.1),
            false => last,
        }
    }

    async fn look_up(&self, wants_ticket: bool) -> Option<Found> {
        let cached = self.lock().clone();
        match cached {
            Some((until, found)) if !wants_ticket && Instant::now() < until => return Some(found),
            _ => {}
        }
        let service = &self.load.service;
        for node in &self.known {
            let uri = format!("http://{node}/yokespoke/v1/lookup?service={service}");
            let request = Request::get(uri).body(Full::new(Bytes::new())).ok()?;
            let Ok(response) = self.http.send(request).await else { continue };
            let Ok(found) = serde_json::from_slice::<Found>(response.body()) else { continue };
            let until = Instant::now() + Duration::from_millis(found.cache_ms);
            *self.lock() = Some((until, found.clone()));
            return Some(found);
        }
        None
    }

    fn forget(&self) {
        *self.lock() = None;
    }

    async fn send(
        &self,
        job: &Job,
        node: net::SocketAddr,
        ticket: Option<&str>,
    ) -> anyhow::Result<Response<Bytes>> {
        let once = self.load.once.as_deref().filter(|_| job.is_once);
        let (method, path) = match once {
            Some(path) => (Method::POST, path),
            None => (Method::GET, "/search?q=case"),
        };
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{node}{path}"))
            .header(header::HOST, &self.load.host)
            .header("x-request-id", &job.id)
            .header("x-place", &self.place)
            .header("x-answer-bytes", job.answer_bytes);
        if let Some(ticket) = ticket {
            request = request.header("yokespoke-ticket", ticket);
        }
        self.http.send(request.body(Full::new(Bytes::new()))?).await
    }

    fn lock(&self) -> sync::MutexGuard<'_, Option<(Instant, Found)>> {
        self.cached.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Says how a request ended by its answer, and how long its caller should wait to ask again.
fn judge(job: &Job, response: &Response<Bytes>) -> (End, String, Duration) {
    let text = |name: &str| {
        let value = response.headers().get(name).and_then(|v| v.to_str().ok());
        value.unwrap_or_default().to_owned()
    };
    let reason = text("yokespoke-reason");
    let wait = Duration::from_secs(text("retry-after").parse().unwrap_or(0));
    match text("yokespoke-verdict").as_str() {
        "not-run" => (End::NotRun, reason, wait),
        "may-have-run" => (End::MayHaveRun, reason, wait),
        _ if !response.status().is_success() => {
            (End::MayHaveRun, response.status().to_string(), wait)
        }
        _ => match pattern::is_whole(&job.id, job.answer_bytes, response.body()) {
            true => (End::Whole, String::new(), Duration::ZERO),
            false => (End::Lost, "wrong answer".to_owned(), Duration::ZERO),
        },
    }
}
