//! Checks of upstreams without a request of a caller.

use std::time::Duration;

use node::gateway::connection_check;
use steer::dispatch::dispatcher::connectivity::Target;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task;

/// Timeout of the check.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Pause of the process, longer than the timeout.
const PAUSE: Duration = Duration::from_millis(400);

async fn listen(health_check_path: Option<&str>) -> (TcpListener, [Target; 1]) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let address = listener.local_addr().expect("it listens");
    (listener, [Target { address, health_check_path: health_check_path.map(str::to_owned) }])
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
    let check = connection_check::reaches_any(&targets, TIMEOUT);
    let local = task::LocalSet::new();
    let (is_reached, ()) = local.run_until(async { tokio::join!(check, pause) }).await;
    assert!(is_reached, "the connection came up before the pause ended");
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
    let check = connection_check::reaches_any(&targets, TIMEOUT);
    let (is_reached, _stream) = tokio::join!(check, upstream);
    assert!(is_reached, "the response came before the pause ended");
}

#[tokio::test]
async fn a_check_of_addresses_that_refuse_fails() {
    for path in [None, Some("/health")] {
        let (listener, targets) = listen(path).await;
        drop(listener);
        assert!(!connection_check::reaches_any(&targets, TIMEOUT).await);
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
        let check = connection_check::reaches_any(&targets, TIMEOUT);
        let (is_reached, (_stream, head)) = tokio::join!(check, upstream);
        assert!(is_reached, "{status}");
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
    let check = connection_check::reaches_any(&targets, TIMEOUT);
    let (is_reached, ()) = tokio::join!(check, device);
    assert!(!is_reached);
}

/// A connection that was accepted and then silent was taken for an upstream that is reached.
#[tokio::test]
async fn recover_a_health_check_without_a_first_byte_fails() {
    let (_listener, targets) = listen(Some("/health")).await;
    assert!(!connection_check::reaches_any(&targets, TIMEOUT).await);
}
