//! Checks of upstreams without a request of a caller.

use std::net;
use std::time::Duration;

use node::gateway::connection_check;
use steer::dispatch::connectivity::check::{self, Verdict};
use steer::dispatch::dispatcher::connectivity::Target;
use steer::dispatch::peer_load;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// Timeout of the check.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Pause of the process, longer than the timeout.
const PAUSE: Duration = Duration::from_millis(400);

fn target(address: net::SocketAddr, health_check_path: Option<&str>) -> Target {
    let health_check_path = health_check_path.map(str::to_owned);
    Target { key: peer_load::Key(1), address, health_check_path }
}

/// Returns what a check of `targets` shows by itself; `None` if it depends on other nodes.
async fn check(targets: &[Target]) -> Option<Verdict> {
    check::direct_verdict(&connection_check::probe(targets, TIMEOUT).await.replies)
}

async fn listen(health_check_path: Option<&str>) -> (TcpListener, [Target; 1]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    (listener, [target(address, health_check_path)])
}

/// Accepts a connection and reads the request.
async fn accept(listener: &TcpListener) -> (TcpStream, String) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut read = vec![0; 1_024];
    let length = stream.read(&mut read).await.expect("a request");
    (stream, String::from_utf8_lossy(&read[..length]).into_owned())
}

/// A pause of the process during a check was taken for a cut from all upstreams.
#[tokio::test]
async fn recover_a_paused_check_is_no_cut() {
    let (_listener, targets) = listen(None).await;
    let pause = async { std::thread::sleep(PAUSE) };
    let check = check(&targets);
    let local = task::LocalSet::new();
    let (verdict, ()) = local.run_until(async { tokio::join!(check, pause) }).await;
    assert_eq!(verdict, Some(Verdict::Reached), "the connection came up before the pause ended");
}

/// The same pause, while the response to the health check is under way.
#[tokio::test]
async fn recover_a_paused_health_check_is_no_cut() {
    let (listener, targets) = listen(Some("/health")).await;
    let upstream = async {
        let (mut stream, _) = accept(&listener).await;
        stream.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.expect("it is written");
        std::thread::sleep(PAUSE);
        stream
    };
    let check = check(&targets);
    let (verdict, _stream) = tokio::join!(check, upstream);
    assert_eq!(verdict, Some(Verdict::Reached), "the response came before the pause ended");
}

#[tokio::test]
async fn a_check_of_addresses_that_refuse_fails() {
    for path in [None, Some("/health")] {
        let (listener, targets) = listen(path).await;
        drop(listener);
        assert_eq!(check(&targets).await, Some(Verdict::Lost));
    }
}

/// An upstream that is full, draining or failing is reached: any response shows it.
#[tokio::test]
async fn a_health_check_of_any_status_succeeds() {
    for status in [200, 404, 429, 500, 503] {
        let (listener, targets) = listen(Some("/health")).await;
        let upstream = async {
            let (mut stream, head) = accept(&listener).await;
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.expect("it is written");
            (stream, head)
        };
        let check = check(&targets);
        let (verdict, (_stream, head)) = tokio::join!(check, upstream);
        assert_eq!(verdict, Some(Verdict::Reached), "{status}");
        assert!(head.starts_with("GET /health HTTP/1.1\r\n"), "{head}");
    }
}

/// A connection that was accepted and reset was taken for an upstream that is reached.
#[tokio::test]
async fn recover_a_health_check_whose_connection_is_reset_fails() {
    let (listener, targets) = listen(Some("/health")).await;
    let device = async {
        let (stream, _) = listener.accept().await.expect("a connection");
        socket2::SockRef::from(&stream).set_linger(Some(Duration::ZERO)).expect("an option");
    };
    let check = check(&targets);
    let (verdict, ()) = tokio::join!(check, device);
    assert_eq!(verdict, None, "it depends on other nodes");
}

/// A connection that was accepted and then silent was taken for an upstream that is reached.
#[tokio::test]
async fn recover_a_health_check_without_a_first_byte_fails() {
    let (_listener, targets) = listen(Some("/health")).await;
    assert_eq!(check(&targets).await, None);
}

/// A refusal was taken for service: a full upstream may refuse one check while another one waits for a slot.
#[tokio::test]
async fn a_check_for_a_peer_counts_only_success() {
    for (status, is_served) in [(200, true), (204, true), (429, false), (503, false)] {
        let (listener, targets) = listen(Some("/health")).await;
        let upstream = async {
            let (mut stream, _) = accept(&listener).await;
            let answer = format!("HTTP/1.1 {status} X\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.expect("it is written");
            stream
        };
        let check = connection_check::served(&targets, TIMEOUT);
        let (served, _stream) = tokio::join!(check, upstream);
        assert_eq!(served == [targets[0].key], is_served, "{status}");
    }
}

/// Guards against bytes that are no response, but have digits where one has its status.
#[tokio::test]
async fn a_check_for_a_peer_counts_no_broken_status_line() {
    for line in [
        "HTP/1.1x 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.1\t200 OK",
        "xxxxxxxxx200 OK",
        "HTTP/1.1 2000 X",
    ] {
        let (listener, targets) = listen(Some("/health")).await;
        let upstream = async {
            let (mut stream, _) = accept(&listener).await;
            let answer = format!("{line}\r\ncontent-length: 0\r\n\r\n");
            stream.write_all(answer.as_bytes()).await.expect("it is written");
            stream
        };
        let check = connection_check::served(&targets, TIMEOUT);
        let (served, _stream) = tokio::join!(check, upstream);
        assert_eq!(served, [], "{line}");
    }
}

#[tokio::test]
async fn a_check_for_a_peer_counts_no_silence() {
    let (_listener, targets) = listen(Some("/health")).await;
    assert_eq!(connection_check::served(&targets, TIMEOUT).await, []);
    let (_listener, targets) = listen(None).await;
    assert_eq!(connection_check::served(&targets, TIMEOUT).await, []);
}
