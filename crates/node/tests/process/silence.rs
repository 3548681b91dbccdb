//! Watches of the store that are never answered, while later calls are.

use std::net;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::Full;
use serde_json::{Value, json};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::rig;

/// Time in which an accepted configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(8);

/// Time after which a connection whose client says nothing more has ended, with a margin.
const GIVEN_UP: Duration = Duration::from_secs(15);

/// What a client of HTTP/2 sends first: the preface and empty settings (RFC 9113, section 3.4).
const PREFACE: &[u8] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n\0\0\0\x04\0\0\0\0\0";

const PLACE: &str = r#"{"name": "quai", "blocks": ["192.0.2.0/24"],
                        "links": [{"region": "dakar", "delay": "3ms"}]}"#;

/// A configuration that another region wrote, and of which no peer has told, is in force in time although
/// a watch from before is still open.
#[tokio::test(flavor = "multi_thread")]
async fn a_watch_that_is_never_answered_delays_no_configuration() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let node = rig.nodes.values().next().expect("a node");
    // A change ends the watch of the configuration; the one after it is silenced.
    rig.store.faults.silence_watches(1);
    let (status, _) = rig.operate("PUT", "/v1/places/quai", PLACE).await;
    assert_eq!(status, 200);
    rig.wait("a watch waits in vain", async |rig| rig.store.faults.watches_to_silence() == 0).await;
    let written = write_as_another_region(&rig).await;
    let accepted = Instant::now();
    rig.wait("it is in force", async |rig| rig.state(node).await["revision"] == written).await;
    let took = accepted.elapsed();
    assert!(took < IN_FORCE, "{took:?}");
}

/// Writes the next revision of the configuration into the store; returns that revision.
async fn write_as_another_region(rig: &rig::Rig) -> Value {
    let at = format!("http://{}/kv/config", rig.store.address);
    let read = Request::get(&at).body(Full::default()).expect("the request is valid");
    let standing = rig.http.send(read).await.expect("the store answers");
    let mut snapshot: Value = serde_json::from_slice(standing.body()).expect("JSON");
    let next = json!(snapshot["revision"].as_u64().expect("a number") + 1);
    snapshot["revision"] = next.clone();
    let expected = standing.headers()["x-revision"].to_str().expect("text").to_owned();
    let write = Request::put(format!("{at}?expect={expected}"))
        .body(Full::new(Bytes::from(snapshot.to_string())))
        .expect("the request is valid");
    let answer = rig.http.send(write).await.expect("the store answers");
    assert_eq!(answer.status(), 200);
    next
}

/// A caller's connection that falls silent for good does not hold one of the node's connections for ever.
#[tokio::test(flavor = "multi_thread")]
async fn a_silent_caller_s_connection_ends() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let node = rig.nodes.values().next().expect("a node");
    let (by_callers, by_peers) = tokio::join!(ends(node.callers), ends(node.peers));
    assert!(by_callers, "the callers' server keeps the connection for {GIVEN_UP:?}");
    assert!(by_peers, "the peers' server keeps the connection for {GIVEN_UP:?}");
}

/// Opens a connection and says nothing more; returns whether the node ends it.
async fn ends(address: net::SocketAddr) -> bool {
    let mut stream = TcpStream::connect(address).await.expect("the node accepts");
    stream.write_all(PREFACE).await.expect("the node reads");
    let mut read = Vec::new();
    tokio::time::timeout(GIVEN_UP, stream.read_to_end(&mut read)).await.is_ok()
}
