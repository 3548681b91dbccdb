//! An upstream as it behaves on the platform, byte by byte, so that it can misbehave.
//!
//! It owns its behavior and the record of what it ran; it relies on the platform's headers. It
//! writes its own HTTP/1.1, since a server library would not send malformed responses.

use std::collections;
use std::fmt::Write as _;
use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use ::platform::headers;
use http::header;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Notify, Semaphore, watch};

use crate::loopback;
use crate::platform::endless;

/// Largest head that is read, in bytes; not measured.
const LARGEST_HEAD: usize = 32 * 1_024;

/// Most headers of a head; not measured.
const MOST_HEADERS: usize = 64;

/// Bytes of a streamed body, more than a gateway buffers.
pub const LONG: usize = 600 * 1_024;

/// Bytes of a large body, less than a gateway buffers.
pub const LARGE: usize = 400 * 1_024;

/// Bytes at the end of a streamed body that are written late.
const LATE: usize = 64 * 1_024;

/// Bytes at the end of a short body that are written late.
const LATE_OF_SHORT: usize = 4;

/// 504 Gateway Timeout, with which it ends a request that it works on when its deadline passes.
const TIMED_OUT: u16 = 504;

/// Time by which links in this process see that it is down before its connections end.
const NOTICE: Duration = Duration::from_millis(3);

/// Path of its health check, which runs nothing.
pub const HEALTH_CHECK_PATH: &str = "/health";

/// How an upstream answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Behavior {
    /// It runs the request, and answers correctly.
    Sound,
    /// The same, after this time.
    Slow(Duration),
    /// It runs the request, and answers with [`LONG`] bytes, the last of them after this time.
    Streamed(Duration),
    /// It runs the request, and answers as the query of its path asks: `work_ms`, `answer_bytes`, `status`, and
    /// `early=1` for an answer before the body is complete, which is read afterwards.
    Asked,
    /// It runs the request, and answers with [`LARGE`] bytes.
    Large,
    /// It runs the request, and answers correctly but for this status.
    Failing(u16),
    /// It runs the request, and answers correctly, the end of the body after this time.
    Paused(Duration),
    /// It refuses requests without running them.
    Full,
    /// It runs the request, and then answers 503 without a header on whether it ran.
    UnprovedRefusal,
    /// It runs the request, and closes without an answer.
    Lost,
    /// It runs the request, and closes in the middle of the answer.
    Cut,
    /// It answers correctly, and then once more, as a faulty upstream may.
    Surplus,
    /// It answers for another request.
    Crossed,
    /// It answers with bytes that are no answer.
    Garbage,
    /// It answers without a length, and closes after the body.
    Unframed,
    /// It answers that it is another upstream.
    Replaced,
    /// It runs the request, and sends bytes until its caller closes the connection.
    Endless(endless::Endless),
}

/// A running upstream.
#[derive(Debug)]
pub struct Upstream {
    /// Its name.
    pub id: String,
    /// Where it listens.
    pub address: net::SocketAddr,
    shared: sync::Arc<Shared>,
    task: tokio::task::JoinHandle<()>,
}

#[derive(Debug)]
struct Shared {
    id: String,
    behavior: sync::Mutex<Behavior>,
    fragility: sync::Mutex<Option<Fragility>>,
    limits: sync::Mutex<Vec<String>>,
    leavings: sync::Mutex<Vec<String>>,
    rests: sync::Mutex<Vec<String>>,
    slots: sync::Mutex<Option<sync::Arc<Slots>>>,
    /// Whether it ends requests at the deadlines that their heads state.
    keeps_deadlines: sync::atomic::AtomicBool,
    /// Whether it resets new connections, as it does beyond those that it accepts.
    resets_connections: sync::atomic::AtomicBool,
    /// When its cold start ends; `None` if it was never cold.
    warm_at: sync::Mutex<Option<Instant>>,
    crashed: Notify,
    is_down: watch::Sender<bool>,
    record: sync::Mutex<Record>,
}

/// Slots of an upstream that runs only some requests at once.
#[derive(Debug)]
struct Slots {
    /// Permits to run, given out in the order of the requests.
    running: Semaphore,
    /// Requests that run or wait.
    inside: sync::atomic::AtomicU32,
    count: u32,
    queue: u32,
    work: Duration,
}

/// A request that runs or waits at an upstream with slots, until it is dropped.
#[derive(Debug)]
struct Inside(sync::Arc<Slots>);

impl Slots {
    /// Lets a request in; none when the slots and the queue are full.
    fn enter(self: &sync::Arc<Self>) -> Option<Inside> {
        let order = sync::atomic::Ordering::SeqCst;
        let most = self.count + self.queue;
        let more = |inside| (inside < most).then_some(inside + 1);
        self.inside.fetch_update(order, order, more).ok()?;
        Some(Inside(sync::Arc::clone(self)))
    }

    /// Runs a request when a slot is free, and calls `begin` when it begins. Returns how it is answered if its
    /// deadline passes before or meanwhile; `None` for no deadline.
    async fn run(&self, deadline: Option<Instant>, begin: impl FnOnce()) -> Option<Behavior> {
        let _permit = tokio::select! {
            biased;
            () = passes(deadline) => return Some(Behavior::Full),
            permit = self.running.acquire() => permit,
        };
        begin();
        work(self.work, deadline).await
    }

    /// Returns its load in the form of the header.
    fn load(&self) -> String {
        let inside = self.inside.load(sync::atomic::Ordering::SeqCst);
        let running = inside.min(self.count);
        format!("{running},{},{}", inside - running, self.count)
    }
}

impl Drop for Inside {
    fn drop(&mut self) {
        self.0.inside.fetch_sub(1, sync::atomic::Ordering::SeqCst);
    }
}

/// What makes an upstream crash.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Fragility {
    /// Paths of requests under which it crashes begin so.
    path: String,
    /// Time from beginning such a request to the crash.
    after: Duration,
    /// Time for which nothing listens at its address then.
    down: Duration,
}

/// What an upstream did.
#[derive(Clone, Debug, Default)]
pub struct Record {
    /// How often each request ran, by its name.
    pub ran: collections::BTreeMap<String, u32>,
    /// Requests that it refused, since its slots and its queue were full.
    pub turned_away: u32,
    /// Requests that arrived.
    pub arrivals: u32,
    /// When each of them did.
    pub arrived_at: Vec<Instant>,
    /// Health checks that arrived.
    pub health_checks: u32,
    /// Requests whose caller left before the answer.
    pub abandoned: u32,
    /// Answers without end whose caller closed the connection.
    pub cut_short: u32,
    /// Requests that were meant for another upstream.
    pub misdirected: u32,
    /// How often it crashed.
    pub crashes: u32,
    /// Bodies, by the request's name.
    pub bodies: collections::BTreeMap<String, Vec<u8>>,
    /// Heads of requests that it did not refuse at once, by the request's name.
    pub heads: collections::BTreeMap<String, String>,
    /// When each request ran last, by its name.
    pub runs: collections::BTreeMap<String, Run>,
}

impl Record {
    /// Returns the most requests that arrived within `time`, of those from `since` on.
    #[must_use]
    pub fn most_within(&self, time: Duration, since: Instant) -> usize {
        let arrived: Vec<&Instant> = self.arrived_at.iter().filter(|at| **at >= since).collect();
        let count = |from: &&Instant| {
            arrived.iter().filter(|at| (**from..**from + time).contains(at)).count()
        };
        arrived.iter().map(count).max().unwrap_or_default()
    }
}

/// When a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Run {
    /// When it began.
    pub began: SystemTime,
    /// When its answer was written; none where none was, or not all of it.
    pub answered: Option<SystemTime>,
}

/// A request as it arrived.
struct Request {
    id: String,
    target: String,
    /// Time that is left until its deadline; none where its head states none.
    left: Option<Duration>,
    head: String,
    body: Vec<u8>,
    /// Bytes of the body that are to be read yet.
    rest: usize,
}

/// How a request asks to be answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Wish {
    work: Duration,
    bytes: usize,
    status: u16,
    is_early: bool,
}

impl Wish {
    /// Reads the query of the request's path; what it leaves out is no work, no bytes and status 200.
    fn of(head: &str) -> Self {
        let path = head.split(' ').nth(1).unwrap_or_default();
        let (_, query) = path.split_once('?').unwrap_or_default();
        let field = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse::<u32>().ok())
        };
        let bytes = field("answer_bytes").and_then(|bytes| usize::try_from(bytes).ok());
        let status = field("status").and_then(|status| u16::try_from(status).ok());
        Self {
            work: Duration::from_millis(field("work_ms").unwrap_or_default().into()),
            bytes: bytes.unwrap_or_default(),
            status: status.unwrap_or(200),
            is_early: field("early") == Some(1),
        }
    }
}

impl Upstream {
    /// Starts an upstream on a free port of this process's address, inside a runtime.
    ///
    /// # Errors
    ///
    /// Fails when no address can be listened on.
    pub async fn start(id: &str) -> io::Result<Self> {
        Self::start_at(id, loopback::address()).await
    }

    /// Starts an upstream on a free port of `ip`, inside a runtime.
    ///
    /// # Errors
    ///
    /// Fails when no address can be listened on.
    pub async fn start_at(id: &str, ip: net::Ipv4Addr) -> io::Result<Self> {
        let listener = TcpListener::bind((ip, 0)).await?;
        let address = listener.local_addr()?;
        let shared = sync::Arc::new(Shared {
            id: id.to_owned(),
            behavior: sync::Mutex::new(Behavior::Sound),
            fragility: sync::Mutex::default(),
            limits: sync::Mutex::default(),
            leavings: sync::Mutex::default(),
            rests: sync::Mutex::default(),
            slots: sync::Mutex::default(),
            keeps_deadlines: sync::atomic::AtomicBool::new(false),
            resets_connections: sync::atomic::AtomicBool::new(false),
            warm_at: sync::Mutex::default(),
            crashed: Notify::new(),
            is_down: watch::Sender::new(false),
            record: sync::Mutex::default(),
        });
        let task = tokio::spawn(accept(listener, sync::Arc::clone(&shared)));
        Ok(Self { id: id.to_owned(), address, shared, task })
    }

    /// Sets how it answers from now on.
    pub fn set(&self, behavior: Behavior) {
        *lock(&self.shared.behavior) = behavior;
    }

    /// Lets it be cold for `time` from now on, as its health checks say; its answers stay as they are.
    pub fn go_cold(&self, time: Duration) {
        *lock(&self.shared.warm_at) = Some(Instant::now() + time);
    }

    /// Lets it run `count` requests at once from now on, each for `work`; `queue` more wait in their
    /// order, and it refuses the rest.
    pub fn run_at_once(&self, count: u32, queue: u32, work: Duration) {
        let running = Semaphore::new(usize::try_from(count).unwrap_or(Semaphore::MAX_PERMITS));
        let inside = sync::atomic::AtomicU32::new(0);
        let slots = Slots { running, inside, count, queue, work };
        *lock(&self.shared.slots) = Some(sync::Arc::new(slots));
    }

    /// Lets it keep to the deadlines of requests from now on, as the platform's protocol has it: one whose deadline
    /// passes in its queue is refused and never runs, and one that it works on is answered with 504, and its work
    /// ends.
    ///
    /// A request that waits for a slot is on record as run only from when it begins to run.
    pub fn keep_deadlines(&self) {
        self.shared.keeps_deadlines.store(true, sync::atomic::Ordering::SeqCst);
    }

    /// Lets it reset new connections from now on, or accept them again; open ones go on.
    pub fn reset_connections(&self, resets: bool) {
        self.shared.resets_connections.store(resets, sync::atomic::Ordering::SeqCst);
    }

    /// Lets its answers name these limits from now on, one in a field; none where there are none.
    pub fn name_limits(&self, limits: &[&str]) {
        *lock(&self.shared.limits) = limits.iter().map(|&limit| limit.to_owned()).collect();
    }

    /// Lets its answers say this of its leaving from now on, one in a field; nothing where there are none.
    pub fn say_leaving(&self, values: &[&str]) {
        *lock(&self.shared.leavings) = values.iter().map(|&value| value.to_owned()).collect();
    }

    /// Lets all of its answers ask for this rest from now on, one in a field; for none where there are none.
    pub fn ask_for_rest(&self, values: &[&str]) {
        *lock(&self.shared.rests) = values.iter().map(|&value| value.to_owned()).collect();
    }

    /// Lets it crash `after` it begins a request whose path begins with `path`; it is back when it
    /// was `down` that long.
    pub fn crash_on(&self, path: &str, after: Duration, down: Duration) {
        *lock(&self.shared.fragility) = Some(Fragility { path: path.to_owned(), after, down });
    }

    /// Ends it and all its connections now; it is back when it was `down` that long.
    pub fn crash(&self, down: Duration) {
        *lock(&self.shared.fragility) =
            Some(Fragility { path: String::from("none"), after: Duration::ZERO, down });
        self.shared.crashed.notify_one();
    }

    /// Returns whether nothing listens at its address, since it crashed; true shortly before its
    /// connections end.
    #[must_use]
    pub fn is_down(&self) -> watch::Receiver<bool> {
        self.shared.is_down.subscribe()
    }

    /// Returns what it did so far.
    #[must_use]
    pub fn record(&self) -> Record {
        lock(&self.shared.record).clone()
    }

    /// Stops accepting connections, as a crashed upstream does.
    pub fn stop(&self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, shared: sync::Arc<Shared>) {
    let Ok(address) = listener.local_addr() else { return };
    let mut listener = listener;
    loop {
        serve_until_crash(listener, &shared).await;
        lock(&shared.record).crashes += 1;
        let down = lock(&shared.fragility).as_ref().map_or(Duration::ZERO, |f| f.down);
        tokio::time::sleep(down).await;
        let Ok(again) = TcpListener::bind(address).await else { return };
        shared.is_down.send_replace(false);
        listener = again;
    }
}

/// Serves connections until the upstream crashes, which ends all of them.
async fn serve_until_crash(listener: TcpListener, shared: &sync::Arc<Shared>) {
    let mut connections = tokio::task::JoinSet::new();
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = shared.crashed.notified() => {
                shared.is_down.send_replace(true);
                tokio::time::sleep(NOTICE).await;
                return;
            }
        };
        let Ok((stream, _)) = accepted else { return };
        if shared.resets_connections.load(sync::atomic::Ordering::SeqCst) {
            // Without it the connection is closed in order.
            let _ = socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO));
            continue;
        }
        // Without it answers are only slower.
        let _ = stream.set_nodelay(true);
        let shared = sync::Arc::clone(shared);
        connections.spawn(async move {
            // A connection that fails ends; what ran on it is in the record.
            let _ = serve(stream, &shared).await;
        });
    }
}

async fn serve(mut stream: TcpStream, shared: &Shared) -> io::Result<()> {
    let mut buffer = Vec::new();
    while let Some(request) = read(&mut stream, &mut buffer).await? {
        if request.head.split(' ').nth(1) == Some(HEALTH_CHECK_PATH) {
            lock(&shared.record).health_checks += 1;
            let Some(status) = health(&mut stream, shared).await else { return Ok(()) };
            let says = health_statement(shared);
            stream.write_all(&plain(status, &request.id, &says, "")).await?;
            continue;
        }
        let slots = lock(&shared.slots).clone();
        let inside = slots.as_ref().map(Slots::enter);
        let deadline = deadline(shared, &request);
        let mut behavior = match inside {
            Some(None) => Behavior::Full,
            _ => *lock(&shared.behavior),
        };
        note(shared, &request, behavior);
        let is_queued = deadline.is_some() && matches!(inside, Some(Some(_)));
        if !is_queued {
            note_run(shared, &request, behavior);
        }
        if let Some(None) = inside {
            lock(&shared.record).turned_away += 1;
        }
        if let Some(fragility) = fatal(shared, &request) {
            tokio::time::sleep(fragility.after).await;
            shared.crashed.notify_one();
            return std::future::pending().await;
        }
        let time = match behavior {
            Behavior::Slow(time) => Some(time),
            // What comes of its body would look like a caller that leaves.
            Behavior::Asked if request.rest > 0 => None,
            Behavior::Asked => Some(Wish::of(&request.head).work),
            _ => None,
        };
        if let Some(time) = time {
            let mut probe = [0; 1];
            tokio::select! {
                end = work(time, deadline) => behavior = end.unwrap_or(behavior),
                _ = stream.peek(&mut probe) => {
                    lock(&shared.record).abandoned += 1;
                    return Ok(());
                }
            }
        }
        if let Some(Some(inside)) = &inside {
            let Inside(slots) = inside;
            let mut probe = [0; 1];
            let begin = || {
                if is_queued {
                    note_run(shared, &request, behavior);
                }
            };
            tokio::select! {
                end = slots.run(deadline, begin) => behavior = end.unwrap_or(behavior),
                _ = stream.peek(&mut probe) => {
                    lock(&shared.record).abandoned += 1;
                    return Ok(());
                }
            }
        }
        drop(inside);
        if let Behavior::Endless(endless) = behavior {
            let seal = format!("{}: seal-{}\r\n", headers::SEAL, request.id);
            endless::write(&mut stream, endless, &request.id, &seal).await;
            lock(&shared.record).cut_short += 1;
            return Ok(());
        }
        let (bytes, is_last) = answer(shared, &request, behavior);
        let late = match behavior {
            Behavior::Streamed(_) => LATE.min(bytes.len()),
            Behavior::Paused(_) => LATE_OF_SHORT,
            _ => 0,
        };
        let (first, rest) = bytes.split_at(bytes.len() - late);
        stream.write_all(first).await?;
        if let Behavior::Streamed(pause) | Behavior::Paused(pause) = behavior {
            tokio::time::sleep(pause).await;
            stream.write_all(rest).await?;
        }
        if let Some(run) = lock(&shared.record).runs.get_mut(&request.id) {
            run.answered = Some(SystemTime::now());
        }
        if is_last {
            return stream.shutdown().await;
        }
        let mut rest = (&mut stream).take(request.rest.try_into().unwrap_or(u64::MAX));
        tokio::io::copy(&mut rest, &mut tokio::io::sink()).await?;
    }
    Ok(())
}

/// Returns when the deadline of a request passes; none where it keeps to no deadlines, or the head states none.
fn deadline(shared: &Shared, request: &Request) -> Option<Instant> {
    let keeps = shared.keeps_deadlines.load(sync::atomic::Ordering::SeqCst);
    keeps.then(|| request.left.map(|left| Instant::now() + left)).flatten()
}

/// Waits until the deadline, for ever where there is none.
async fn passes(deadline: Option<Instant>) {
    match deadline {
        Some(deadline) => tokio::time::sleep_until(deadline.into()).await,
        None => std::future::pending().await,
    }
}

/// Works on a request for `time`; returns how it is answered if its deadline passes before.
async fn work(time: Duration, deadline: Option<Instant>) -> Option<Behavior> {
    tokio::select! {
        () = tokio::time::sleep(time) => None,
        () = passes(deadline) => Some(Behavior::Failing(TIMED_OUT)),
    }
}

/// Returns the status of a health check, which waits for a slot or is refused just like a request; none when its
/// caller left.
async fn health(stream: &mut TcpStream, shared: &Shared) -> Option<u16> {
    let slots = lock(&shared.slots).clone();
    let inside = slots.as_ref().map(Slots::enter);
    if *lock(&shared.behavior) == Behavior::Full || matches!(inside, Some(None)) {
        return Some(503);
    }
    if let Some(Some(Inside(slots))) = &inside {
        let mut probe = [0; 1];
        tokio::select! {
            _ = slots.running.acquire() => {}
            _ = stream.peek(&mut probe) => return None,
        }
    }
    Some(200)
}

/// Returns how the upstream crashes under `request`; none when it does not.
fn fatal(shared: &Shared, request: &Request) -> Option<Fragility> {
    let fragility = lock(&shared.fragility).clone()?;
    let path = request.head.split(' ').nth(1)?;
    let is_mine = request.target == shared.id;
    (is_mine && path.starts_with(&fragility.path)).then_some(fragility)
}

fn note(shared: &Shared, request: &Request, behavior: Behavior) {
    let mut record = lock(&shared.record);
    record.arrivals += 1;
    record.arrived_at.push(Instant::now());
    let is_mine = request.target == shared.id && behavior != Behavior::Replaced;
    match (is_mine, behavior) {
        (false, _) => record.misdirected += 1,
        (true, Behavior::Full) => {}
        (true, _) => {
            record.bodies.insert(request.id.clone(), request.body.clone());
            record.heads.insert(request.id.clone(), request.head.clone());
        }
    }
}

/// Records that a request runs, which one meant for another upstream or refused does not.
fn note_run(shared: &Shared, request: &Request, behavior: Behavior) {
    let is_mine = request.target == shared.id && behavior != Behavior::Replaced;
    if !is_mine || behavior == Behavior::Full {
        return;
    }
    let mut record = lock(&shared.record);
    *record.ran.entry(request.id.clone()).or_default() += 1;
    let run = Run { began: SystemTime::now(), answered: None };
    record.runs.insert(request.id.clone(), run);
}

/// Returns the bytes of an answer, and whether the connection ends after them.
fn answer(shared: &Shared, request: &Request, behavior: Behavior) -> (Vec<u8>, bool) {
    let id = request.id.as_str();
    let whole = format!("answer of {} to {id}", shared.id);
    if request.target != shared.id || behavior == Behavior::Replaced {
        let other = format!("{}: other\r\n", headers::INSTANCE_ID);
        return (plain(421, id, &other, ""), false);
    }
    let said = statement(shared);
    let load = lock(&shared.slots).as_ref().map_or("1,0,4".to_owned(), |slots| slots.load());
    let seal = format!("{}: seal-{id}\r\n{}: {load}\r\n{said}", headers::SEAL, headers::LOAD);
    let sound = plain(200, id, &seal, &whole);
    match behavior {
        Behavior::Sound | Behavior::Slow(_) | Behavior::Paused(_) => (sound, false),
        Behavior::Streamed(_) => (plain(200, id, &seal, &"x".repeat(LONG)), false),
        Behavior::Asked => {
            let Wish { status, bytes, .. } = Wish::of(&request.head);
            (plain(status, id, &seal, &"x".repeat(bytes)), false)
        }
        Behavior::Large => (plain(200, id, &seal, &"x".repeat(LARGE)), false),
        Behavior::Failing(status) => (plain(status, id, &seal, &whole), false),
        Behavior::Full => {
            let extra = format!("{}: 1\r\n{said}", headers::NOT_EXECUTED);
            (plain(503, id, &extra, ""), false)
        }
        Behavior::UnprovedRefusal => (plain(503, id, &said, "no"), false),
        Behavior::Lost => (Vec::new(), true),
        Behavior::Cut => (sound[..sound.len() - whole.len() / 2].to_vec(), true),
        Behavior::Surplus => ([sound, plain(200, "surplus", &seal, "surplus")].concat(), false),
        Behavior::Crossed => (plain(200, "another", &seal, &whole), false),
        Behavior::Garbage => (b"\x00\x01\x02 no answer\r\n\r\n".to_vec(), true),
        Behavior::Unframed => {
            let head = format!("HTTP/1.1 200 OK\r\n{}: {id}\r\n{seal}\r\n", headers::REQUEST_ID);
            ([head.into_bytes(), whole.into_bytes()].concat(), true)
        }
        Behavior::Replaced | Behavior::Endless(_) => (Vec::new(), true),
    }
}

/// Returns the headers by which it says something of itself.
fn statement(shared: &Shared) -> String {
    let fields = [
        (headers::LIMIT, &shared.limits),
        (headers::LEAVING, &shared.leavings),
        (header::RETRY_AFTER, &shared.rests),
    ];
    let lines = fields.iter().flat_map(|(name, values)| {
        let line = move |value: &String| format!("{name}: {value}\r\n");
        lock(values).iter().map(line).collect::<Vec<_>>()
    });
    lines.collect()
}

/// Returns the headers by which a health check names the upstream and the rest of its cold start.
fn health_statement(shared: &Shared) -> String {
    let id = format!("{}: {}\r\n", headers::INSTANCE_ID, shared.id);
    let left = lock(&shared.warm_at).map(|at| at.saturating_duration_since(Instant::now()));
    match left.filter(|left| !left.is_zero()) {
        Some(left) => format!("{id}{}: {}\r\n", headers::COLD_REMAINING, left.as_millis()),
        None => id,
    }
}

fn plain(status: u16, id: &str, extra: &str, body: &str) -> Vec<u8> {
    let mut text = format!("HTTP/1.1 {status} X\r\n{}: {id}\r\n{extra}", headers::REQUEST_ID);
    // Writing into a string does not fail.
    let _ = write!(text, "content-length: {}\r\n\r\n{body}", body.len());
    text.into_bytes()
}

/// Reads one request; none when the connection ended between two.
async fn read(stream: &mut TcpStream, buffer: &mut Vec<u8>) -> io::Result<Option<Request>> {
    loop {
        let mut parsed = [httparse::EMPTY_HEADER; MOST_HEADERS];
        let mut request = httparse::Request::new(&mut parsed);
        let status = request.parse(buffer).map_err(io::Error::other)?;
        if let httparse::Status::Complete(length) = status {
            let field = |name: &str| {
                let found = request.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name));
                found.map(|h| String::from_utf8_lossy(h.value).into_owned()).unwrap_or_default()
            };
            let id = field(headers::REQUEST_ID.as_str());
            let target = field(headers::TARGET.as_str());
            let left = field(headers::DEADLINE.as_str()).parse().ok().map(Duration::from_millis);
            let body_length = field("content-length").parse::<usize>().unwrap_or(0);
            let head = String::from_utf8_lossy(&buffer[..length]).into_owned();
            let is_early = Wish::of(&head).is_early;
            while !is_early && buffer.len() < length + body_length {
                if stream.read_buf(buffer).await? == 0 {
                    return Ok(None);
                }
            }
            let end = buffer.len().min(length + body_length);
            let body = buffer[length..end].to_vec();
            buffer.drain(..end);
            let rest = length + body_length - end;
            return Ok(Some(Request { id, target, left, head, body, rest }));
        }
        if buffer.len() > LARGEST_HEAD {
            return Err(io::ErrorKind::InvalidData.into());
        }
        if stream.read_buf(buffer).await? == 0 {
            return Ok(None);
        }
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
