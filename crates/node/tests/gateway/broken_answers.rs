//! Upstreams that send broken answers, and unusual ones that are right.

use std::future;
use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant};

use futures_util::{StreamExt as _, stream};
use platform::headers;
use standin::platform::upstream;
use standin::raw;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::answers::{self, BODY, Case, Told};
use crate::client;
use crate::rig::{self, Gateway, Rig};

/// Time after which the routes' requests end.
const TIMEOUT: &str = "4s";

/// Longest time for an answer that does not wait for a deadline, on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(2);

/// Time after which a test gives a request up.
const PATIENCE: Duration = Duration::from_secs(10);

/// Bytes of a long answer that its length leaves out.
const LEFT_OUT: usize = 3;

/// Number of no upstream.
const NONE: usize = usize::MAX;

/// Requests at once.
const CONCURRENCY: usize = 8;

/// A request on a connection of its own; returns what its caller reads, and how long that takes.
async fn ask(gateway: &Gateway, method: &str, path: &str, id: &str) -> (Vec<u8>, Duration) {
    let asked = Instant::now();
    let mut stream = TcpStream::connect(gateway.callers).await.expect("the gateway accepts");
    let request = client::request(method, path, id, if method == "GET" { "" } else { "x" });
    let request = request.replacen("Cookie:", "Connection: close\r\nCookie:", 1);
    stream.write_all(request.as_bytes()).await.expect("the gateway reads");
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(PATIENCE, stream.read_to_end(&mut bytes)).await;
    read.expect("the answer ends").expect("the connection ends");
    (bytes, asked.elapsed())
}

/// Returns the lines that prove whose answer it is.
fn proof(request: &raw::Request) -> String {
    let id = request.field(headers::REQUEST_ID.as_str());
    format!("{}: {id}\r\n{}: seal-{id}\r\n", headers::REQUEST_ID, headers::SEAL)
}

/// Returns the number of the case that a path names, as in `/read/7/a`.
fn number(target: &str) -> Option<usize> {
    target.split('/').nth(2)?.parse().ok()
}

/// Returns a route to the service of a case.
fn route(kind: &str, prefix: &str, number: usize, service: &str) -> serde_json::Value {
    serde_json::json!([
        format!("{prefix}-{number}"),
        "site.example",
        format!("/{prefix}/{number}/"),
        kind,
        TIMEOUT,
        2,
        service
    ])
}

/// A deployment with two routes and a service of its own for each case, so that the failures of one have no
/// effect on another.
struct Place {
    _rig: Rig,
    gateway: Gateway,
    server: raw::Server,
}

async fn place(cases: &'static [Case]) -> Place {
    let mut rig = Rig::start(&[]).await;
    let server = raw::Server::start(rig.store.ip(), move |request: &raw::Request| {
        let case = number(request.target()).and_then(|number| cases.get(number));
        case.expect("a path of a case").answer(&proof(request))
    });
    let server = server.await.expect("the server starts");
    let services: Vec<String> = (0..cases.len()).map(|number| format!("s-{number}")).collect();
    let routes = services.iter().enumerate().flat_map(|(number, service)| {
        let read = route("idempotent", "read", number, service);
        [read, route("non_idempotent", "write", number, service)]
    });
    let routes: Vec<serde_json::Value> = routes.collect();
    let names: Vec<[&str; 1]> = services.iter().map(|service| [service.as_str()]).collect();
    let columns = ["name", "host", "path_prefix", "kind", "timeout", "max_attempts", "service"];
    rig.put(serde_json::json!({
        "routes": { "columns": columns, "rows": routes },
        "services": { "columns": ["name"], "rows": names },
    }));
    for (number, service) in services.iter().enumerate() {
        rig.enter_at(&format!("i-{number}"), server.address, service, "north-1", "ready", 0);
    }
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    Place { _rig: rig, gateway, server }
}

/// Two upstreams of one service, each of which answers with `broken` while it is told to.
struct Pair {
    servers: Vec<raw::Server>,
    /// Number of the upstream that sends broken answers; [`NONE`] if neither does.
    broken: sync::Arc<atomic::AtomicUsize>,
}

impl Pair {
    async fn start(rig: &Rig, broken: Case) -> Self {
        let turn = sync::Arc::new(atomic::AtomicUsize::new(NONE));
        let mut servers = Vec::new();
        for index in 0..2 {
            let turn = sync::Arc::clone(&turn);
            let choose = move |request: &raw::Request| match turn.load(atomic::Ordering::SeqCst) {
                turn if turn == index => broken.answer(&proof(request)),
                _ => answers::SOUND.answer(&proof(request)),
            };
            let server = raw::Server::start(rig.store.ip(), choose).await;
            let server = server.expect("the server starts");
            rig.enter_at(&format!("i-{index}"), server.address, "desk", "north-1", "ready", 0);
            servers.push(server);
        }
        Self { servers, broken: turn }
    }

    /// Lets the upstream send broken answers that has got all requests so far.
    fn break_preferred(&self) {
        let preferred = usize::from(self.servers[1].requests() > 0);
        self.broken.store(preferred, atomic::Ordering::SeqCst);
    }
}

/// Checks that a request is tried again where that is allowed after an answer that is broken as `broken` is, for a
/// reason that the log names by `cause`.
async fn check_next_try(broken: Case, cause: &str) {
    let rig = Rig::start(&rig::routes()).await;
    let pair = Pair::start(&rig, broken).await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let mut caller = gateway.caller().await;
    assert_eq!(caller.get("/read/a", "first").await.status, 200);
    pair.break_preferred();
    let asked = Instant::now();
    let answer = caller.get("/read/a", "second").await;
    assert_eq!((answer.status, answer.text().as_str()), (200, BODY));
    assert!(asked.elapsed() < AT_ONCE, "{:?}", asked.elapsed());
    let requests = || pair.servers.iter().map(raw::Server::requests).sum::<usize>();
    assert_eq!(requests(), 3);
    let words = ["event=request-retried", "request=second", cause];
    rig::until("it is logged", async || gateway.has_logged(&words)).await;
    // One that may not be repeated is sent once, to either of them.
    let answer = caller.post("/write/a", "third", "x").await;
    assert!([200, 502].contains(&answer.status), "{answer:?}");
    assert_eq!(requests(), 4);
}

/// Guards against holding a request to its deadline although the head of the answer is known to be broken, and
/// against passing that on where another upstream would do.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_a_broken_head_is_followed_by_another_try_where_that_is_allowed() {
    check_next_try(answers::UNKNOWN_END, "unknown transfer coding").await;
}

/// The same where the length is too short.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_a_length_too_short_is_followed_by_another_try_where_that_is_allowed() {
    check_next_try(answers::SHORT_LENGTH, "more bytes than its length").await;
}

/// Asks for each of `cases` by a request that may be repeated and by one that may not; returns what is wrong with
/// what their callers are told.
async fn faults(cases: &'static [Case]) -> Vec<String> {
    let place = place(cases).await;
    let asks = cases
        .iter()
        .enumerate()
        .flat_map(|(number, case)| ["GET", "POST"].map(|method| (number, case, method)));
    let gateway = &place.gateway;
    let faults = stream::iter(asks).map(async |(number, case, method)| {
        let prefix = if method == "GET" { "read" } else { "write" };
        let id = format!("{prefix}-{number}");
        let (bytes, took) = ask(gateway, method, &format!("/{prefix}/{number}/a"), &id).await;
        let fault = case.fault(&bytes, |told: &Told| told.status == 502);
        let fault = fault.or_else(|| (took > AT_ONCE).then(|| format!("after {took:?}")));
        fault.map(|fault| format!("{method} {case:?}: {fault}"))
    });
    let faults = faults.buffer_unordered(CONCURRENCY).filter_map(future::ready).collect().await;
    assert!(place.server.requests() >= 2 * cases.len(), "each request reached the upstream");
    faults
}

/// Guards against passing on an answer whose head is spoilt, or refusing one that the protocol allows.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_broken_answers_are_told_as_broken_and_right_ones_whole() {
    let cases = answers::all().leak();
    let faults = faults(cases).await;
    assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), 2 * cases.len(), faults.join("\n"));
}

/// Guards against an answer that looks whole, though its length is that of a part.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_answers_with_a_length_too_short_are_told_as_broken() {
    let faults = faults(answers::SHORT_LENGTHS).await;
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against the same in a body that is passed on while it arrives: it must not look complete.
#[tokio::test(flavor = "multi_thread")]
async fn mixed_a_long_answer_with_a_length_too_short_does_not_look_whole() {
    let rig = Rig::start(&rig::routes()).await;
    let server = raw::Server::start(rig.store.ip(), |request: &raw::Request| {
        let size = number(request.target()).expect("a size");
        let length = size - LEFT_OUT;
        let head = format!("HTTP/1.1 200 OK\r\n{}Content-Length: {length}\r\n\r\n", proof(request));
        let bytes = [head.into_bytes(), vec![b'x'; size]].concat();
        raw::Answer { bytes, end: raw::End::Open }
    });
    let server = server.await.expect("the server starts");
    rig.enter_at("i-0", server.address, "desk", "north-1", "ready", 0);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let ask = async |method, path: String| {
        let mut caller = gateway.caller().await;
        caller.write(client::request(method, &path, method, "").as_bytes()).await;
        caller.read().await
    };
    for (method, kind) in [("GET", "read"), ("POST", "write")] {
        // Its end is there, or not yet, when the gateway decides to pass it on.
        let answer = ask(method, format!("/{kind}/{}", upstream::LONG)).await;
        let told = (answer.status, answer.is_whole);
        assert!([(502, true), (200, false)].contains(&told), "{method}: {told:?}");
        // Its beginning has been passed on by then.
        let answer = ask(method, format!("/{kind}/{}", 4 * upstream::LONG)).await;
        assert_eq!((answer.status, answer.is_whole), (200, false), "{method}");
    }
    let words = ["event=answer-cut-off", "upstream=i-0", "more bytes than its length"];
    rig::until("it is logged", async || gateway.has_logged(&words)).await;
}
