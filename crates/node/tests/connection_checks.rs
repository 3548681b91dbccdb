//! Connections that are opened without a request.

use std::time::Duration;

use node::gateway::connection_check;
use tokio::net::TcpListener;
use tokio::task;

/// Timeout of the check.
const TIMEOUT: Duration = Duration::from_millis(100);

/// Pause of the process, longer than the timeout.
const PAUSE: Duration = Duration::from_millis(400);

/// A pause of the process during a check was taken for a cut from all upstreams.
#[tokio::test]
async fn recover_a_paused_check_is_no_cut() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addresses = [listener.local_addr().expect("it listens")];
    let pause = async { std::thread::sleep(PAUSE) };
    let check = connection_check::connects_to_any(&addresses, TIMEOUT);
    let local = task::LocalSet::new();
    let (is_connected, ()) = local.run_until(async { tokio::join!(check, pause) }).await;
    assert!(is_connected, "the connection came up before the pause ended");
}

#[tokio::test]
async fn a_check_of_addresses_that_refuse_fails() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port is free");
    let addresses = [listener.local_addr().expect("it listens")];
    drop(listener);
    assert!(!connection_check::connects_to_any(&addresses, TIMEOUT).await);
}
