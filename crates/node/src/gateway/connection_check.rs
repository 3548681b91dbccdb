//! Connections that are opened without a request, to find out whether upstreams can be connected to.
//!
//! Opens the connections and shares their result between requests; the callers decide which
//! upstreams are checked.

use std::io;
use std::net;
use std::time::{Duration, Instant};

use futures_util::future;
use rand::RngExt as _;
use tokio::net::TcpStream;
use tokio::sync;

use crate::common::socket;
use crate::gateway::proxy::connection;

/// Draws a number below `end`.
pub fn draw(end: usize) -> usize {
    rand::rng().random_range(0..end)
}

/// Determines whether this node can connect to any upstream besides one that refuses connections.
///
/// Requests that fail together share one attempt, because a crash or a partition ends many of them at once.
#[derive(Debug, Default)]
pub struct Others {
    /// Start time of the latest attempt, and whether a connection was established.
    latest: sync::Mutex<Option<(Instant, bool)>>,
}

impl Others {
    /// Returns whether any of the addresses that `others` returns accepted a connection after `since`.
    pub async fn are_reached(
        &self,
        since: Instant,
        others: impl FnOnce(Instant) -> Vec<net::SocketAddr>,
    ) -> bool {
        let mut latest = self.latest.lock().await;
        if let Some((began, are_reached)) = *latest
            && began >= since
        {
            return are_reached;
        }
        let began = Instant::now();
        let addresses = others(began);
        // Without other upstreams, the refusal is taken for a crash.
        let are_reached =
            addresses.is_empty() || connects_to_any(&addresses, connection::CONNECT_TIMEOUT).await;
        *latest = Some((began, are_reached));
        are_reached
    }
}

/// Returns whether a connection to any of `addresses` is established within `timeout`.
pub async fn connects_to_any(addresses: &[net::SocketAddr], timeout: Duration) -> bool {
    if addresses.is_empty() {
        return false;
    }
    // Polled within this task and before the timer, so that a connection that was established while
    // the process was paused counts although the timeout has passed by then.
    let connections = addresses.iter().map(|address| Box::pin(connect(*address)));
    let first = future::select_ok(connections);
    tokio::time::timeout(timeout, first).await.is_ok_and(|connected| connected.is_ok())
}

async fn connect(address: net::SocketAddr) -> io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    // With a reset, the upstream releases the connection immediately.
    socket::reset_when_closed(&stream)
}
