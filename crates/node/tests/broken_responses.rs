//! Broken responses wherever a process reads responses beside those to callers' requests.
//!
//! A response whose head does not tell where its body ends must be refused at once, and nothing in it believed.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::rt;
use model::id;
use node::common::store::client as own_store;
use node::common::store::edge::Store as _;
use node::gateway::{cold_check, peer};
use node::owner::probes;
use node::owner::store::vmlist;
use platform::store::{client as platform_store, lease};
use standin::raw;
use steer::dispatch::cold_check::Target;

/// Longest time for a response that is refused at once, on a busy machine.
const AT_ONCE: Duration = Duration::from_secs(1);

/// Time that a call may take.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Starts a server that answers with `body` and a spoilt transfer coding.
async fn server(body: &'static str, end: raw::End) -> raw::Server {
    let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, move |_| {
        let head = "HTTP/1.1 200 OK\r\nX-Revision: 7\r\nYokespoke-Instance-Id: i-0\r\n";
        let bytes = format!("{head}Transfer-Encoding: chunke\r\n\r\n{body}").into_bytes();
        raw::Answer { bytes, end }
    });
    server.await.expect("the server starts")
}

/// Checks that `call` fails at once, whether the server closes the connection or not.
async fn check_refused<T, E>(
    body: &'static str,
    call: impl AsyncFn(net::SocketAddr) -> Result<T, E>,
) {
    for end in [raw::End::Close, raw::End::Open] {
        let server = server(body, end).await;
        let asked = Instant::now();
        assert!(call(server.address).await.is_err(), "{end:?}");
        assert!(asked.elapsed() < AT_ONCE, "{end:?}: {:?}", asked.elapsed());
        assert!(server.requests() > 0, "{end:?}");
    }
}

/// Guards against a lease that counts as renewed though the store's answer cannot be read.
#[tokio::test]
async fn the_platform_s_store_renews_no_lease_by_a_broken_response() {
    let held = lease::Held { number: 1, era: 0 };
    check_refused("", async |address| {
        platform_store::Client::new(address).renew(held, CALL_TIME).await
    })
    .await;
}

/// Guards against waiting for the end of a page until the call times out.
#[tokio::test]
async fn the_platform_s_store_is_read_by_no_broken_response() {
    check_refused(r#"{"items": [], "more": false, "at": 3}"#, async |address| {
        let client = platform_store::Client::new(address);
        client.range("", platform_store::Freshness::Latest, CALL_TIME).await
    })
    .await;
}

/// Guards against a value that is the framing of the real one, and keeps its reader from the next.
#[tokio::test]
async fn the_store_of_declarations_has_no_value_by_a_broken_response() {
    check_refused("2\r\n{}\r\n0\r\n\r\n", async |address| {
        own_store::Client::new(address, sync::Arc::default()).get("config").await
    })
    .await;
}

/// Guards against changes from another node that are those of no node.
#[tokio::test]
async fn another_node_tells_nothing_by_a_broken_response() {
    check_refused("{}", async |address| peer::get(address, "/peer/changes", CALL_TIME).await).await;
}

/// Guards against an upstream that counts as warm by a head that is spoilt.
#[tokio::test]
async fn an_upstream_is_not_warm_by_a_broken_response() {
    check_refused("", async |address| {
        let upstream = id::Upstream::new("i-0");
        cold_check::request(&Target { upstream, address, path: "/health".to_owned() }).await
    })
    .await;
}

/// Guards against showing an operator what no node said.
#[tokio::test]
async fn an_operator_is_told_nothing_by_a_broken_response() {
    check_refused("{}", async |address| {
        let request =
            Request::get(format!("http://{address}/v1/state")).body(Full::<Bytes>::default());
        standin::client::Client::new(None).send(request?).await
    })
    .await;
}

/// Guards against VMs that come and go by a list that is none.
#[tokio::test]
async fn no_vm_is_listed_by_a_broken_response() {
    let http: vmlist::Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    check_refused(r#"{"vms": {}}"#, async |address| vmlist::read(&http, address).await).await;
}

/// Guards against an upstream that drains by a report that is none.
#[tokio::test]
async fn an_upstream_reports_nothing_by_a_broken_response() {
    let report = r#"{"draining": true, "in_flight": 0, "slots": 4, "uptime_ms": 1}"#;
    let http: probes::Http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    check_refused(report, async |address| {
        probes::probe(&http, address, "/report").await.ok_or("no report")
    })
    .await;
}
