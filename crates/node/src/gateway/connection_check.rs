//! Checks whether upstreams respond, without a request of a caller.
//!
//! Requests the health check of upstreams and shares the result between requests; the callers decide
//! which upstreams are checked. The first byte is enough: an upstream that is full, draining or failing
//! responds too, and a response of any status shows that it is reached.

use std::io;
use std::net;
use std::time::{Duration, Instant};

use futures_util::future;
use rand::RngExt as _;
use steer::dispatch::dispatcher::connectivity::Target;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::sync;

use crate::common::socket;
use crate::gateway::proxy::connection;

/// Draws a number below `end`.
pub fn draw(end: usize) -> usize {
    rand::rng().random_range(0..end)
}

/// Determines whether this node reaches any upstream besides one that refuses connections.
///
/// Requests that fail together share one attempt, because a crash or a partition ends many of them at once.
#[derive(Debug, Default)]
pub struct Others {
    /// Start time of the latest attempt, and whether an upstream responded.
    latest: sync::Mutex<Option<(Instant, bool)>>,
}

impl Others {
    /// Returns whether any of the upstreams that `others` returns responded after `since`.
    pub async fn are_reached(
        &self,
        since: Instant,
        others: impl FnOnce(Instant) -> Vec<Target>,
    ) -> bool {
        let mut latest = self.latest.lock().await;
        if let Some((began, are_reached)) = *latest
            && began >= since
        {
            return are_reached;
        }
        let began = Instant::now();
        let targets = others(began);
        // Without other upstreams, the refusal is taken for a crash.
        let are_reached =
            targets.is_empty() || reaches_any(&targets, connection::CONNECT_TIMEOUT).await;
        *latest = Some((began, are_reached));
        are_reached
    }
}

/// Returns whether any of `targets` responds. `timeout` applies to opening the connection, and then
/// to the first byte.
pub async fn reaches_any(targets: &[Target], timeout: Duration) -> bool {
    if targets.is_empty() {
        return false;
    }
    // Polled within this task and before the timers, so that a connection or a response that arrived
    // while the process was paused counts although the timeout has passed by then.
    let checks = targets.iter().map(|target| Box::pin(check(target, timeout)));
    future::select_ok(checks).await.is_ok()
}

/// Opens a connection to an upstream and waits for the first byte of its health check.
async fn check(target: &Target, timeout: Duration) -> io::Result<()> {
    let mut stream = tokio::time::timeout(timeout, TcpStream::connect(target.address)).await??;
    // With a reset, the upstream releases the connection immediately.
    socket::reset_when_closed(&stream)?;
    match &target.health_check_path {
        Some(path) => {
            let first_byte = request(&mut stream, path, target.address);
            tokio::time::timeout(timeout, first_byte).await?
        }
        None => Ok(()),
    }
}

/// Sends the request of a health check and waits for the first byte of the response.
///
/// It is a `GET`, as health checks are defined for it; an upstream may take another method for work.
async fn request(stream: &mut TcpStream, path: &str, host: net::SocketAddr) -> io::Result<()> {
    let head = format!("GET {path} HTTP/1.1\r\nHost: {host}\r\nConnection: close\r\n\r\n");
    stream.write_all(head.as_bytes()).await?;
    match stream.read(&mut [0; 1]).await? {
        0 => Err(io::ErrorKind::UnexpectedEof.into()),
        _ => Ok(()),
    }
}
