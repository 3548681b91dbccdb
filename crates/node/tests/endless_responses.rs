//! Responses without end wherever a process reads responses beside those to callers' requests.
//!
//! One test in a process of its own, whose memory it measures.

use std::net;
use std::sync;
use std::time::Duration;

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
use platform::store::client as platform_store;
use standin::raw;
use steer::dispatch::cold_check::Target;

/// Time that a call may take.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Longest time for a call that has no time of its own, on a busy machine.
const PATIENCE: Duration = Duration::from_secs(20);

/// Most memory that a response without end may cost, in kilobytes: a few times the largest response that any reader
/// takes, 64 MB.
const MAX_GROWTH_KB: u64 = 256 * 1_024;

/// What comes before the bytes without end: they are in the head, in a body with a length, in a chunk, in a body
/// without a length.
const BEGINNINGS: [&str; 4] = [
    "X-Endless: ",
    "Content-Length: 999999999999999\r\n\r\n",
    "Transfer-Encoding: chunked\r\n\r\nfffffffffff\r\n",
    "\r\n",
];

/// Checks that `call` fails in time and without much memory.
async fn check<T, E>(reader: &str, call: impl AsyncFn(net::SocketAddr) -> Result<T, E>) {
    for beginning in BEGINNINGS {
        let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, move |_| {
            let head = "HTTP/1.1 200 OK\r\nX-Revision: 7\r\n";
            let bytes = format!("{head}{beginning}").into_bytes();
            raw::Answer { bytes, end: raw::End::Endless }
        });
        let server = server.await.expect("the server starts");
        let before = peak_memory_kb();
        let ended = tokio::time::timeout(PATIENCE, call(server.address)).await;
        let growth = peak_memory_kb().saturating_sub(before);
        assert!(matches!(ended, Ok(Err(_))), "{reader}: {beginning:?} does not fail in time");
        assert!(growth <= MAX_GROWTH_KB, "{reader}: {beginning:?} costs {growth} KB");
        println!("{reader}: {beginning:?}: memory +{growth} KB");
    }
}

/// Returns the most memory that this process has held, in kilobytes; by the system's approximate count, which may
/// become a little less.
fn peak_memory_kb() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").expect("the system tells");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
    number.expect("the system tells the memory of processes")
}

/// Guards against a reader that keeps all that it is sent until its process runs out of memory.
#[tokio::test(flavor = "multi_thread")]
async fn responses_without_end_fail_in_time_and_in_little_memory() {
    check("platform's store", async |address| {
        let client = platform_store::Client::new(address);
        client.range("", platform_store::Freshness::Latest, CALL_TIME).await
    })
    .await;
    check("store of declarations", async |address| {
        own_store::Client::new(address, sync::Arc::default()).get("config").await
    })
    .await;
    check("other node", async |address| peer::get(address, "/peer/changes", CALL_TIME).await).await;
    let http: vmlist::Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    check("list of VMs", async |address| vmlist::read(&http, address).await).await;
    check("probe", async |address| {
        probes::probe(&http, address, "/report").await.ok_or("no report")
    })
    .await;
    check("check of a cold upstream", async |address| {
        let upstream = id::Upstream::new("i-0");
        let target = Target { upstream, address, path: "/health".to_owned() };
        // Its body is not read.
        match cold_check::request(&target).await {
            Ok(_) => Err(anyhow::anyhow!("only a head")),
            Err(error) => Err::<(), _>(error),
        }
    })
    .await;
    check("operators' tool", async |address| {
        let request =
            Request::get(format!("http://{address}/v1/state")).body(Full::<Bytes>::default());
        standin::client::Client::new(None).send(request?).await
    })
    .await;
}
