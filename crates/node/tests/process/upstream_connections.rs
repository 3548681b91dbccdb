//! Connections of a node to the upstreams that it owns.

use std::net;
use std::time::{Duration, Instant};

use standin::raw;

use crate::answers::{self, BODY, Told};
use crate::broken_answers::{ask, ask_until_sent, declare};
use crate::rig;

/// Time after which a test gives up waiting.
const PATIENCE: Duration = Duration::from_secs(20);

/// Requests one after another.
const REQUESTS: usize = 30;

/// Time in which the end of a connection arrives.
const ARRIVAL: Duration = Duration::from_millis(20);

/// Sends requests that may not be repeated, one after another, to an upstream that ends each answer so; returns the
/// connections that it accepted.
async fn connections(end: raw::End) -> usize {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let case = answers::Case { end, ..answers::SOUND };
    let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, move |_| case.answer(""));
    let server = server.await.expect("the server starts");
    rig.vms.fill([server.address.ip()]);
    declare(&rig, 1, server.address).await;
    let node = rig.nodes.values().next().expect("a node");
    for _ in 0..REQUESTS {
        let (bytes, _) = ask_until_sent(node, "POST", 0).await;
        let told = Told::read(&bytes).expect("a whole answer");
        assert_eq!((told.status, told.body.as_slice()), (200, BODY.as_bytes()));
        tokio::time::sleep(ARRIVAL).await;
    }
    assert_eq!(server.requests(), REQUESTS);
    server.connections()
}

/// Guards against a connection for each request that a full upstream turns away.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_used_again_after_a_refusal() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, |_| {
        let bytes = b"HTTP/1.1 429 Full\r\nContent-Length: 4\r\n\r\nfull".to_vec();
        raw::Answer { bytes, end: raw::End::Open }
    });
    let server = server.await.expect("the server starts");
    rig.vms.fill([server.address.ip()]);
    declare(&rig, 1, server.address).await;
    let node = rig.nodes.values().next().expect("a node");
    let began = Instant::now();
    while server.requests() < REQUESTS {
        assert!(began.elapsed() < PATIENCE, "{} requests", server.requests());
        let (bytes, _) = ask(node, "POST", 0).await;
        let told = String::from_utf8_lossy(&bytes).into_owned();
        assert!(told.contains("yokespoke-verdict: not-run"), "{told}");
    }
    assert!(server.connections() <= 2, "{} connections", server.connections());
}

/// Guards against a connection for each request.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_is_used_again() {
    // Each thread that runs requests has connections of its own.
    let connections = connections(raw::End::Open).await;
    assert!(connections <= 2, "{connections} connections");
}

/// Guards against a failure where the upstream has closed the idle connection.
#[tokio::test(flavor = "multi_thread")]
async fn a_connection_that_its_upstream_closed_costs_no_request() {
    assert_eq!(connections(raw::End::Close).await, REQUESTS);
}
