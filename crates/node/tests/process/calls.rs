//! Callers: requests, look-ups, tickets, verdicts, and requests that are malformed.

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::Value;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::rig;

#[tokio::test(flavor = "multi_thread")]
async fn callers_get_whole_answers_and_clear_errors() {
    let rig = rig::Rig::start(&["dakar", "thies"], 2).await;
    every_node_answers_every_size(&rig).await;
    unknown_hosts_are_refused(&rig).await;
    bodies_pass_whole_both_ways(&rig).await;
    look_ups_name_nodes_and_a_ticket(&rig).await;
    a_ticket_runs_its_request_once(&rig).await;
    a_deadline_that_has_passed_is_told(&rig).await;
    smuggled_and_huge_heads_are_refused(&rig).await;
    bodies_that_stop_half_way_disturb_nobody(&rig).await;
    slow_senders_are_shown_the_door(&rig).await;
    http_2_is_answered_too(&rig).await;
    short_answers_are_never_passed_on_as_whole(&rig).await;
    assert_eq!(rig.over_connections(), 0);
    assert_eq!(rig.truth.over_slots(), 0);
}

async fn every_node_answers_every_size(rig: &rig::Rig) {
    for node in rig.nodes.keys() {
        for bytes in [0, 1, 1_000, 70_000, 3_000_000] {
            let id = format!("{node}-{bytes}");
            let response = rig.get(node, &id, bytes).await.expect("the node answers");
            assert!(rig::is_whole(&id, bytes, &response), "{id}: {}", response.status());
            assert_eq!(rig.truth.runs(&id), 1, "{id}");
        }
    }
}

async fn unknown_hosts_are_refused(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    let request = Request::get(format!("http://{}/", node.callers))
        .header("host", "nobody.example")
        .body(Full::default())
        .expect("the request is valid");
    let response = rig.http.send(request).await.expect("the node answers");
    assert_eq!(response.status(), 421);
    assert_eq!(response.headers()["yokespoke-verdict"], "not-run");
    assert_eq!(response.headers()["yokespoke-reason"], "unknown-host");
}

/// Nodes that own upstreams check no keys, so none of them serves once organisations are declared.
pub async fn organisations_are_refused(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    for host in [rig::HOST, "nobody.example"] {
        let request = Request::get(format!("http://{}/", node.callers))
            .header("host", host)
            .header("x-api-key", "any")
            .body(Full::default())
            .expect("the request is valid");
        let response = rig.http.send(request).await.expect("the node answers");
        assert_eq!(response.status(), 421);
        assert_eq!(response.headers()["yokespoke-verdict"], "not-run");
        assert_eq!(response.headers()["yokespoke-reason"], "keys-not-checked");
    }
}

async fn bodies_pass_whole_both_ways(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    for bytes in [10, 60_000, 2_000_000] {
        let body = Bytes::from(vec![b'x'; bytes]);
        let request = Request::post(format!("http://{}/upload", node.callers))
            .header("host", rig::HOST)
            .header("x-request-id", format!("up-{bytes}"))
            .body(Full::new(body))
            .expect("the request is valid");
        let response = rig.http.send(request).await.expect("the node answers");
        assert_eq!(response.status(), 200);
        assert_eq!(response.headers()["x-received-bytes"], bytes.to_string().as_str());
    }
}

async fn look_up(rig: &rig::Rig, node: &rig::Process) -> Value {
    let uri = format!("http://{}/yokespoke/v1/lookup?service=catalogue", node.callers);
    let request = Request::get(uri).body(Full::default()).expect("the request is valid");
    let response = rig.http.send(request).await.expect("the node answers");
    serde_json::from_slice(response.body()).expect("the answer is JSON")
}

async fn look_ups_name_nodes_and_a_ticket(rig: &rig::Rig) {
    for node in rig.nodes.values() {
        let answer = look_up(rig, node).await;
        assert_eq!(answer["host"], rig::HOST);
        assert_eq!(answer["cache_ms"], 300);
        let regions: Vec<&Value> =
            answer["nodes"].as_array().expect("nodes").iter().map(|n| &n["region"]).collect();
        assert_eq!(regions.len(), 3, "{answer}");
        assert_eq!(regions[0], regions[1], "the nearest region comes first: {answer}");
        assert!(answer["ticket"].as_str().is_some_and(|t| t.len() > 20));
    }
}

async fn book(rig: &rig::Rig, node: &rig::Process, id: &str, ticket: &str) -> (u16, String, Bytes) {
    let request = Request::post(format!("http://{}/handover", node.callers))
        .header("host", rig::HOST)
        .header("x-request-id", id)
        .header("yokespoke-ticket", ticket)
        .body(Full::default())
        .expect("the request is valid");
    let response = rig.http.send(request).await.expect("the node answers");
    let reason = response.headers().get("yokespoke-reason");
    let reason = reason.and_then(|v| v.to_str().ok()).unwrap_or_default().to_owned();
    (response.status().as_u16(), reason, response.into_body())
}

async fn a_ticket_runs_its_request_once(rig: &rig::Rig) {
    let issuer = rig.nodes.values().next().expect("a node");
    let answer = look_up(rig, issuer).await;
    let ticket = answer["ticket"].as_str().expect("a ticket");
    let (status, _, first) = book(rig, issuer, "booking", ticket).await;
    assert_eq!(status, 200);
    // Asked again, at the issuer and at every other node, the same answer comes back.
    for node in rig.nodes.values() {
        let (status, _, again) = book(rig, node, "booking", ticket).await;
        assert_eq!((status, &again), (200, &first));
    }
    assert_eq!(rig.truth.runs("booking"), 1);
    // A ticket that this incarnation did not issue may have run, so it runs no more.
    let (name, _) = rig.nodes.iter().next().expect("a node");
    let forged = format!("1-0-7-{name}");
    let (status, reason, _) = book(rig, issuer, "forged", &forged).await;
    assert_eq!((status, reason.as_str()), (409, "ticket"));
    assert_eq!(rig.truth.runs("forged"), 0);
    let (status, reason, _) = book(rig, issuer, "nonsense", "nonsense").await;
    assert_eq!((status, reason.as_str()), (400, "bad-request"));
}

async fn a_deadline_that_has_passed_is_told(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    let send = |timeout: &'static str, work: &'static str| {
        let request = Request::get(format!("http://{}/slow", node.callers))
            .header("host", rig::HOST)
            .header("yokespoke-timeout-ms", timeout)
            .header("x-work-ms", work)
            .body(Full::default())
            .expect("the request is valid");
        rig.http.send(request)
    };
    let response = send("200", "2000").await.expect("the node answers");
    assert_eq!(response.status(), 504);
    assert_eq!(response.headers()["yokespoke-verdict"], "may-have-run");
    let response = send("soon", "1").await.expect("the node answers");
    assert_eq!(response.status(), 400);
}

async fn raw(node: &rig::Process, text: &[u8]) -> String {
    let mut stream = TcpStream::connect(node.callers).await.expect("the node listens");
    stream.write_all(text).await.expect("the node reads");
    let mut answer = vec![0; 512];
    let read = stream.read(&mut answer).await.unwrap_or(0);
    String::from_utf8_lossy(&answer[..read]).into_owned()
}

async fn smuggled_and_huge_heads_are_refused(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    let smuggled = b"POST /x HTTP/1.1\r\nhost: catalogue.example\r\ncontent-length: 4\r\n\
                     transfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    // Chunks decide and the length is dropped, as RFC 9112 (section 6.3) asks of a proxy: both
    // ends see one request, without a body.
    let answer = raw(node, smuggled).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(answer.contains("x-received-bytes: 0\r\n"), "{answer}");
    let doubled = b"POST /x HTTP/1.1\r\nhost: catalogue.example\r\ncontent-length: 4\r\n\
                    content-length: 5\r\n\r\nabcd";
    assert!(raw(node, doubled).await.starts_with("HTTP/1.1 400"));
    let mut huge = b"GET / HTTP/1.1\r\nhost: catalogue.example\r\nx: ".to_vec();
    huge.extend(std::iter::repeat_n(b'a', 40_000));
    huge.extend(b"\r\n\r\n");
    let answer = raw(node, &huge).await;
    assert!(answer.starts_with("HTTP/1.1 431") || answer.is_empty(), "{answer}");
    let response = rig.get(rig.nodes.keys().next().expect("a node"), "after", 10).await;
    assert!(rig::is_whole("after", 10, &response.expect("the node answers")));
}

async fn bodies_that_stop_half_way_disturb_nobody(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    for length in [100, 100_000] {
        let mut stream = TcpStream::connect(node.callers).await.expect("the node listens");
        let head = format!(
            "POST /half HTTP/1.1\r\nhost: {}\r\ncontent-length: {length}\r\n\r\nhalf",
            rig::HOST
        );
        stream.write_all(head.as_bytes()).await.expect("the node reads");
        drop(stream);
    }
    // The slots that were held for them are free again.
    rig.wait("nothing is in flight", async |rig| {
        let mut at_home = 0;
        for node in rig.nodes.values() {
            at_home += rig.state(node).await["requests"]["at_home"].as_u64().unwrap_or(1);
        }
        at_home == 0
    })
    .await;
    let response = rig.get(rig.nodes.keys().next().expect("a node"), "whole", 10).await;
    assert!(rig::is_whole("whole", 10, &response.expect("the node answers")));
}

async fn http_2_is_answered_too(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    let stream = TcpStream::connect(node.callers).await.expect("the node listens");
    let io = hyper_util::rt::TokioIo::new(stream);
    let executor = hyper_util::rt::TokioExecutor::new();
    let handshake = hyper::client::conn::http2::handshake(executor, io);
    let (mut client, connection) = handshake.await.expect("the node speaks HTTP/2");
    tokio::spawn(connection);
    let request = Request::get(format!("http://{}/search", rig::HOST))
        .header("x-request-id", "two")
        .header("x-answer-bytes", 100_000)
        .body(Full::<Bytes>::default())
        .expect("the request is valid");
    let response = client.send_request(request).await.expect("the node answers");
    assert_eq!(response.version(), http::Version::HTTP_2);
    let (head, body) = response.into_parts();
    let body = http_body_util::BodyExt::collect(body).await.expect("the body is whole").to_bytes();
    assert!(rig::is_whole("two", 100_000, &http::Response::from_parts(head, body)));
}

async fn slow_senders_are_shown_the_door(rig: &rig::Rig) {
    let node = rig.nodes.values().next().expect("a node");
    let mut stream = TcpStream::connect(node.callers).await.expect("the node listens");
    stream.write_all(b"GET / HTTP/1.1\r\nhost: cata").await.expect("the node reads");
    // The head's time is one second; without it this would never end.
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    assert!(!answer.starts_with(b"HTTP/1.1 200"));
}

/// An upstream that breaks off in the middle of its answer, asked by way of its home and of others.
async fn short_answers_are_never_passed_on_as_whole(rig: &rig::Rig) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    rig.vms.fill([address.ip()]);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut request = [0; 2_048];
            let _ = stream.read(&mut request).await;
            // Without a length, only the missing last chunk tells that the answer is short.
            let answer = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n";
            let _ = stream.write_all(answer).await;
        }
    });
    let service = serde_json::json!({
        "name": "short",
        "host": "short.example",
        "upstreams": [{ "name": "s", "region": "dakar", "hall": "dakar-1", "address": address,
                        "slots": 8 }],
    });
    let (status, told) = rig.operate("PUT", "/v1/services/short", &service.to_string()).await;
    assert_eq!(status, 200, "{told}");
    for node in rig.nodes.values() {
        rig.wait("the upstream is asked", async |rig| {
            let request = Request::get(format!("http://{}/", node.callers))
                .header("host", "short.example")
                .body(Full::default())
                .expect("the request is valid");
            match rig.http.send(request).await {
                // Cut off, as it must be.
                Err(_) => true,
                Ok(answer) => {
                    assert!(!answer.status().is_success(), "a short answer looked whole");
                    false
                }
            }
        })
        .await;
    }
}
