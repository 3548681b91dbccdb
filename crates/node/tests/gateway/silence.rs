//! Open connections that say nothing more, while new ones work.

use std::net;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use model::id;
use node::gateway::datagram;
use node::gateway::member;
use standin::platform::listener::Mode;
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::repair;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, UdpSocket};

use crate::rig::{self, Rig};

/// Bound on contact of the deployment under test, as the settings' default.
const CONTACT: Duration = Duration::from_secs(3);

/// Bound on leaving upstreams of the deployment under test, as the settings' default.
const DRAIN: Duration = Duration::from_secs(2);

/// Changes of a test that looks at each.
const CHANGES: usize = 6;

/// Time in which a node learns a change from another one, with a margin: a heartbeat, the time to gather, and
/// one node that is asked in vain.
const SOON: Duration = Duration::from_millis(1_500);

/// Part of an answer that is too long to be read whole before it is passed on, in bytes.
const LONG_PART: usize = 700_000;

/// Time after which an answer that stalls has been cut off, with a margin: the route's time, and 3 s.
const STALLED: Duration = Duration::from_secs(6);

/// Time that an upstream works on a request, long enough for three requests to overlap.
const WORK: Duration = Duration::from_millis(50);

/// Time between two heartbeats.
const BEAT: Duration = Duration::from_millis(300);

/// Receive buffer of an upstream that does not read, in bytes; far less than the body that is sent to it.
const SMALL_BUFFER: usize = 4_096;

/// Length of a body that does not fit into such a buffer, but into the sender's, in bytes.
const BODY: usize = 65_536;

/// The store takes calls and never answers them, then answers new ones. What was accepted since is in force
/// within the bound on contact, although the calls from before are still open.
#[tokio::test]
async fn config_a_call_that_the_store_never_answers_delays_no_change_beyond_contact() {
    let mut rig = Rig::start(&rig::routes()).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let mut caller = gateway.caller().await;
    assert_eq!(caller.get("/read/a", "id-1").await.text(), "answer of i-desk to id-1");
    // The watch that waits is answered; the one after it is not.
    let before = door.calls();
    door.set(Mode::Silent);
    rig.store.put("op/wakes-the-watch", b"{}");
    rig::until("a call waits in vain", async || door.calls() > before).await;
    door.set(Mode::Open);
    let mut routes = rig::routes();
    routes[0].service = "shelf";
    rig.configure(&routes);
    let accepted = Instant::now();
    rig::until("the new version is in force", async || {
        caller.get("/read/a", "id-2").await.text() == "answer of i-shelf to id-2"
    })
    .await;
    let took = accepted.elapsed();
    assert!(took < CONTACT, "{took:?}");
}

/// The store stops answering the nodes that watch it, and answers another one. What was accepted just before
/// is in force at that one within the bound on leaving upstreams, although nobody told it of the change.
#[tokio::test]
async fn drain_a_node_that_is_served_takes_over_from_silenced_watchers_in_time() {
    let mut rig = Rig::start(&rig::routes()).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
    let silenced = rig.store.open().await.expect("the store opens");
    let served = rig.store.open().await.expect("the store opens");
    let first = rig.gateway("n-1", "north-1", &silenced).await;
    let seeds = [first.peers];
    let second = rig.gateway_at("n-2", "north-1", silenced.address, &seeds).await;
    let third = rig.gateway_at("n-3", "north-1", served.address, &seeds).await;
    for gateway in [&second, &third] {
        gateway.wait_ready().await;
    }
    rig::until("the second watches too", async || is_watching(&second)).await;
    // A node that starts waits a while before it watches.
    tokio::time::sleep(CONTACT).await;
    let watching = [&first, &second, &third].map(is_watching);
    assert_eq!(watching, [true, true, false], "the third leaves the watch to the others");
    // The watches that wait are answered; the ones after them are not.
    let before = silenced.calls();
    silenced.set(Mode::Silent);
    rig.store.put("op/wakes-the-watch", b"{}");
    rig::until("both watches wait in vain", async || silenced.calls() >= before + 2).await;
    let mut routes = rig::routes();
    routes[0].service = "shelf";
    rig.configure(&routes);
    let accepted = Instant::now();
    let mut caller = third.caller().await;
    rig::until("the new version is in force", async || {
        caller.get("/read/a", "id-1").await.text() == "answer of i-shelf to id-1"
    })
    .await;
    let took = accepted.elapsed();
    assert!(took < DRAIN, "{took:?}");
}

/// Returns whether a gateway watches the store, by its latest line about that.
fn is_watching(gateway: &rig::Gateway) -> bool {
    let lines = gateway.lines.lock().expect("no reader panics");
    let latest = lines.iter().rfind(|line| line.contains("event=watching-changed"));
    latest.is_some_and(|line| line.contains("watching=true"))
}

/// An upstream takes a connection and reads nothing; the request is given up at its route's time. When
/// the upstream reads again, perhaps having said that it leaves, the request no longer arrives whole.
#[tokio::test]
async fn drain_a_request_that_was_given_up_does_not_arrive_later() {
    let mut routes = rig::routes();
    for route in &mut routes {
        route.timeout = "500ms";
    }
    let rig = Rig::start(&routes).await;
    let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None);
    let socket = socket.expect("a socket");
    socket.set_recv_buffer_size(SMALL_BUFFER).expect("the buffer is set");
    let any_port = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    socket.bind(&any_port.into()).expect("a port is free");
    socket.listen(1).expect("it listens");
    socket.set_nonblocking(true).expect("it does not block");
    let listener = TcpListener::from_std(socket.into()).expect("a listener");
    let address = listener.local_addr().expect("it has an address");
    rig.enter_at("i-stuck", address, "desk", "north-1", "ready", 0);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let body = "x".repeat(BODY);
    let answer = gateway.caller().await.post("/upload/a", "id-1", &body).await;
    assert_eq!(answer.status, 504);
    let (mut stream, _) = listener.accept().await.expect("the gateway connected");
    // The answer may come just before the reset; reading earlier would make room for the rest of the body.
    rig::until("the connection is reset", async || {
        socket2::SockRef::from(&stream).take_error().expect("the socket is open").is_some()
    })
    .await;
    let mut arrived = Vec::new();
    // Fails or ends after what arrived before the reset.
    let _ = tokio::time::timeout(rig::PATIENCE, stream.read_to_end(&mut arrived)).await;
    assert!(arrived.len() < BODY, "{} bytes arrived", arrived.len());
}

/// Another node says that it is ahead and takes connections, but answers nothing, as one that is frozen
/// does. A node that the store turns away still learns each change soon, from the nodes that answer.
#[tokio::test]
async fn config_a_node_that_answers_nothing_delays_no_change_at_others() {
    let mut rig = Rig::start(&rig::routes()).await;
    let _desk = rig.upstream("i-desk", "desk", "north-1").await;
    let _shelf = rig.upstream("i-shelf", "shelf", "north-1").await;
    let open = rig.store.open().await.expect("the store opens");
    let closed = rig.store.open().await.expect("the store opens");
    closed.set(Mode::Busy);
    let served = rig.gateway("n-2", "north-1", &open).await;
    let turned_away = rig.gateway_at("n-3", "north-1", closed.address, &[served.peers]).await;
    turned_away.wait_ready().await;
    let frozen = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let frozen_at = frozen.local_addr().expect("it has an address");
    let beats = tokio::spawn(beat(frozen_at, turned_away.peers));
    rig::until("it is taken for alive", async || {
        turned_away.has_logged(&["event=peer-alive", "peer=n-1"])
    })
    .await;
    let mut caller = turned_away.caller().await;
    for index in 0..CHANGES {
        let service = ["shelf", "desk"][index % 2];
        let mut routes = rig::routes();
        routes[0].service = service;
        rig.configure(&routes);
        let accepted = Instant::now();
        let expected = format!("answer of i-{service} to id-{index}");
        rig::until("the new version is in force", async || {
            caller.get("/read/a", &format!("id-{index}")).await.text() == expected
        })
        .await;
        let took = accepted.elapsed();
        assert!(took < SOON, "change {index}: {took:?}");
    }
    beats.abort();
}

/// Sends the heartbeats of a node `n-1` at `frozen` that is far ahead, and does not say of which fleet it is.
pub async fn beat(frozen: net::SocketAddr, to: net::SocketAddr) {
    let socket = UdpSocket::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let mut member = member::Member {
        node: id::Node::new("n-1"),
        incarnation: 1,
        sequence: 0,
        region: id::Region::new("north"),
        hall: id::Hall::new("north-1"),
        callers: frozen,
        peers: frozen,
        is_ready: true,
        is_leaving: false,
        is_store_reached: true,
        at: u64::MAX / 2,
        era: 0,
        capacity: 0,
        requests: 0,
        leavings: repair::Digest::default(),
        fleet: None,
        connectivity: report::Report::default(),
        copy: None,
    };
    loop {
        member.sequence += 1;
        // A datagram that is lost is followed by the next.
        let _ = socket.send_to(&datagram::write(&member), to).await;
        tokio::time::sleep(BEAT).await;
    }
}

/// An upstream sends the beginning of a long answer and then nothing more, on a connection that stays open.
/// The caller's connection ends, so that what it got does not look whole.
#[tokio::test]
async fn mixed_an_answer_that_stalls_is_cut_off() {
    let mut routes = rig::routes();
    routes[0].timeout = "500ms";
    let rig = Rig::start(&routes).await;
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    rig.enter_at("i-stalls", address, "desk", "north-1", "ready", 0);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let upstream = tokio::spawn(stall(listener));
    let asked = Instant::now();
    let answer = gateway.caller().await.get("/read/a", "id-1").await;
    let took = asked.elapsed();
    assert_eq!((answer.status, answer.is_whole), (200, false));
    assert!(took < STALLED, "{took:?}");
    upstream.abort();
}

/// Accepts a request, sends the beginning of an answer, and keeps the connection.
async fn stall(listener: TcpListener) {
    let (mut stream, _) = listener.accept().await.expect("the gateway connects");
    let mut request = [0; 4_096];
    let _ = stream.read(&mut request).await.expect("the request comes");
    let head = format!(
        "HTTP/1.1 200 OK\r\nYokespoke-Request-Id: id-1\r\nYokespoke-Response-Seal: s\r\n\
         Content-Length: {}\r\n\r\n",
        2 * LONG_PART
    );
    stream.write_all(head.as_bytes()).await.expect("the gateway reads");
    stream.write_all(&vec![b'x'; LONG_PART]).await.expect("the gateway reads");
    std::future::pending::<()>().await;
}

/// All open connections to an upstream fall silent for good, while new ones work. One request finds out; those
/// after it go over new connections.
#[tokio::test]
async fn one_silent_connection_to_an_upstream_warns_of_the_others() {
    let mut routes = rig::routes();
    routes[0].timeout = "700ms";
    let rig = Rig::start(&routes).await;
    let listener = TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await.expect("a port is free");
    let address = listener.local_addr().expect("it has an address");
    rig.enter_at("i-0", address, "desk", "north-1", "ready", 0);
    let door = rig.store.open().await.expect("the store opens");
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    let generation = sync::Arc::new(AtomicU64::new(0));
    let upstream = tokio::spawn(accept(listener, sync::Arc::clone(&generation)));
    let (mut a, mut b, mut c) =
        (gateway.caller().await, gateway.caller().await, gateway.caller().await);
    let answers = tokio::join!(a.get("/read/a", "a"), b.get("/read/a", "b"), c.get("/read/a", "c"));
    assert_eq!((answers.0.status, answers.1.status, answers.2.status), (200, 200, 200));
    assert_eq!(gateway.metric("connections").await, 3);
    generation.fetch_add(1, Ordering::SeqCst);
    assert_eq!(a.get("/read/a", "first").await.status, 504);
    for index in 0..CHANGES {
        let id = format!("id-{index}");
        assert_eq!(a.get("/read/a", &id).await.status, 200, "{id}");
    }
    upstream.abort();
}

/// Serves connections; those of an earlier `generation` than the present one take requests and say nothing.
async fn accept(listener: TcpListener, generation: sync::Arc<AtomicU64>) {
    let mut connections = tokio::task::JoinSet::new();
    while let Ok((mut stream, _)) = listener.accept().await {
        let generation = sync::Arc::clone(&generation);
        connections.spawn(async move {
            let opened = generation.load(Ordering::SeqCst);
            let mut buffer = [0; 4_096];
            while let Ok(length @ 1..) = stream.read(&mut buffer).await {
                if generation.load(Ordering::SeqCst) != opened {
                    continue;
                }
                tokio::time::sleep(WORK).await;
                let head = String::from_utf8_lossy(&buffer[..length]).to_lowercase();
                let id = head.split_once("yokespoke-request-id: ").map_or("", |(_, rest)| rest);
                let id = id.split('\r').next().unwrap_or_default();
                let answer = format!(
                    "HTTP/1.1 200 OK\r\nYokespoke-Request-Id: {id}\r\n\
                     Yokespoke-Response-Seal: s\r\nContent-Length: 0\r\n\r\n"
                );
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
            }
        });
    }
}
