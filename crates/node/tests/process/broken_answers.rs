//! Upstreams that send broken answers, and unusual ones that are right.

use std::net;
use std::time::{Duration, Instant};

use futures_util::{StreamExt as _, stream};
use serde_json::json;
use standin::raw;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::answers::{self, Case, Told};
use crate::rig;

/// Longest time for an answer that does not wait for a deadline, on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(2);

/// Time after which an answer counts as one that does not end.
const LONGEST_ANSWER: Duration = Duration::from_secs(6);

/// Time after which a test gives up waiting.
const PATIENCE: Duration = Duration::from_secs(20);

/// Time between two requests to a service whose upstream has no slots yet.
const PAUSE: Duration = Duration::from_millis(100);

/// Bytes of an answer that takes many pieces.
const LONG: usize = 2 * 1_024 * 1_024;

/// Bytes of it that its length leaves out.
const LEFT_OUT: usize = 3;

/// Requests at once.
const CONCURRENCY: usize = 8;

/// Returns the number of the case that a path names, as in `/7`.
fn number(target: &str) -> Option<usize> {
    target.strip_prefix('/')?.parse().ok()
}

/// Sends a request on a connection of its own to the service of a case; returns what its caller reads, and how
/// long that takes.
pub async fn ask(node: &rig::Process, method: &str, number: usize) -> (Vec<u8>, Duration) {
    let asked = Instant::now();
    let mut stream = TcpStream::connect(node.callers).await.expect("the node accepts");
    let request = format!(
        "{method} /{number} HTTP/1.1\r\nHost: case-{number}.example\r\nConnection: close\r\n\
         Content-Length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).await.expect("the node reads");
    let mut bytes = Vec::new();
    // A reset ends an answer that is broken off; one that does not end is seen by its time.
    let _ = tokio::time::timeout(LONGEST_ANSWER, stream.read_to_end(&mut bytes)).await;
    (bytes, asked.elapsed())
}

/// Asks as [`ask`] does, until the request has been sent to the upstream, for which it must have slots.
pub async fn ask_until_sent(
    node: &rig::Process,
    method: &str,
    number: usize,
) -> (Vec<u8>, Duration) {
    let began = Instant::now();
    loop {
        let (bytes, took) = ask(node, method, number).await;
        let text = String::from_utf8_lossy(&bytes);
        if !text.contains("yokespoke-verdict: not-run") {
            return (bytes, took);
        }
        assert!(began.elapsed() < PATIENCE, "case {number} does not run: {text}");
        tokio::time::sleep(PAUSE).await;
    }
}

/// Declares a service of its own for each case, so that the failures of one have no effect on another.
pub async fn declare(rig: &rig::Rig, cases: usize, address: net::SocketAddr) {
    for number in 0..cases {
        declare_one(rig, number, address).await;
    }
}

/// Declares the service with this number, whose only upstream is at `address`.
pub async fn declare_one(rig: &rig::Rig, number: usize, address: net::SocketAddr) {
    let name = format!("case-{number}");
    let hall = rig.halls().first().expect("a hall").clone();
    let service = json!({
        "name": name,
        "host": format!("{name}.example"),
        "deadline": "4s",
        "hold": "500ms",
        "repeatable": [{ "method": "GET" }],
        "shed": [429],
        "upstreams": [{
            "name": "only",
            "region": "dakar",
            "hall": hall,
            "address": address,
            "slots": 4,
            "connections": 28,
        }],
    });
    let path = format!("/v1/services/{name}");
    let (status, answer) = rig.operate("PUT", &path, &service.to_string()).await;
    assert_eq!(status, 200, "{answer}");
}

/// Returns whether a caller is told that its request may have run.
fn is_refused(told: &Told) -> bool {
    told.status == 502
}

/// Asks for each of `cases` by a request that may be repeated and by one that may not; returns what is wrong with
/// what their callers are told.
async fn faults(cases: &'static [Case]) -> Vec<String> {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, move |request| {
        let case = number(request.target()).and_then(|number| cases.get(number));
        case.expect("a path of a case").answer("")
    });
    let server = server.await.expect("the server starts");
    rig.vms.fill([server.address.ip()]);
    declare(&rig, cases.len(), server.address).await;
    let node = rig.nodes.values().next().expect("a node");
    let asks = cases
        .iter()
        .enumerate()
        .flat_map(|(number, case)| ["GET", "POST"].map(|method| (number, case, method)));
    let faults = stream::iter(asks).map(async |(number, case, method)| {
        let (bytes, took) = ask_until_sent(node, method, number).await;
        let fault = case.fault(&bytes, is_refused);
        let fault = fault.or_else(|| (took > AT_ONCE).then(|| format!("after {took:?}")));
        fault.map(|fault| format!("{method} {case:?}: {fault}"))
    });
    faults.buffer_unordered(CONCURRENCY).filter_map(std::future::ready).collect().await
}

/// Guards against passing on an answer whose head is spoilt, or refusing one that the protocol allows.
#[tokio::test(flavor = "multi_thread")]
async fn broken_answers_are_told_as_broken_and_right_ones_whole() {
    let cases = answers::all().leak();
    let faults = faults(cases).await;
    assert!(faults.is_empty(), "{} of {}:\n{}", faults.len(), 2 * cases.len(), faults.join("\n"));
}

/// Guards against an answer that looks whole, though its length is that of a part.
#[tokio::test(flavor = "multi_thread")]
async fn a_length_too_short_is_told_as_broken_by_owners() {
    let faults = faults(answers::SHORT_LENGTHS).await;
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against the same in a body whose beginning has been passed on: it must not look complete.
#[tokio::test(flavor = "multi_thread")]
async fn a_long_answer_with_a_length_too_short_does_not_look_whole() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, |_| {
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", LONG - LEFT_OUT);
        let bytes = [head.into_bytes(), vec![b'x'; LONG]].concat();
        raw::Answer { bytes, end: raw::End::Open }
    });
    let server = server.await.expect("the server starts");
    rig.vms.fill([server.address.ip()]);
    declare(&rig, 1, server.address).await;
    let node = rig.nodes.values().next().expect("a node");
    for method in ["GET", "POST"] {
        let (bytes, took) = ask_until_sent(node, method, 0).await;
        assert!(Told::read(&bytes).is_none(), "{method}");
        assert!(took < AT_ONCE, "{method}: {took:?}");
    }
}
