//! Connectivity: checks whether this node can connect to the upstreams of a service in a region.
//!
//! Owns the task that makes the checks. [`steer::dispatch::connectivity`] decides when a check is made, which upstreams it
//! connects to, and what its result means. A change is announced in an immediate heartbeat.

use std::io;
use std::net;
use std::rc;
use std::time::{Duration, Instant};

use futures_util::future;
use model::discovery;
use rand::RngExt as _;
use steer::dispatch::connectivity::group::Change;
use steer::dispatch::dispatcher::connectivity::Check;
use tokio::net::TcpStream;
use tokio::{sync, task};

use crate::common::socket;
use crate::gateway::proxy::connection;
use crate::gateway::state;

/// Makes the checks that are due until the task ends.
pub async fn run(state: rc::Rc<state::State>) {
    let mut running = task::JoinSet::new();
    loop {
        tokio::select! {
            () = state.check_due.notified() => {}
            Some(_) = running.join_next() => continue,
        }
        let checks = state.dispatcher.borrow_mut().begin_checks(&mut draw, Instant::now());
        for check in checks {
            running.spawn_local(make(rc::Rc::clone(&state), check));
        }
    }
}

/// Draws a number below `end`.
pub fn draw(end: usize) -> usize {
    rand::rng().random_range(0..end)
}

async fn make(state: rc::Rc<state::State>, check: Check) {
    let addresses: Vec<net::SocketAddr> = check.upstreams.iter().map(|u| u.address).collect();
    state.metrics.connectivity_checks.add(1);
    // An empty sample does not show that this node is cut off.
    let is_connected =
        addresses.is_empty() || connects_to_any(&addresses, connection::CONNECT_TIMEOUT).await;
    let change = state.dispatcher.borrow_mut().end_check(&check.scope, is_connected);
    state.check_due.notify_one();
    let (service, region) = (check.scope.service.as_str(), check.scope.region.as_str());
    let upstreams = addresses.len();
    match change {
        None => return,
        Some(Change::Lost) => log::warn!(service, region, upstreams; "service-unreached"),
        Some(Change::Regained) => log::info!(service, region; "service-reached"),
    }
    state.beat.notify_one();
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
    /// Returns whether an upstream other than `upstream` accepted a connection after `since`.
    pub async fn are_reached(
        &self,
        state: &state::State,
        upstream: &discovery::Entry,
        since: Instant,
    ) -> bool {
        let mut latest = self.latest.lock().await;
        if let Some((began, are_reached)) = *latest
            && began >= since
        {
            return are_reached;
        }
        let began = Instant::now();
        let others = state.dispatcher.borrow().others_than(upstream, &mut draw, began);
        let addresses: Vec<net::SocketAddr> = others.iter().map(|other| other.address).collect();
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
    // Polled within this task and before the timer, so that a connection that was established while the process was paused
    // counts although the timeout has passed by then.
    let connections = addresses.iter().map(|address| Box::pin(connect(*address)));
    let first = future::select_ok(connections);
    tokio::time::timeout(timeout, first).await.is_ok_and(|connected| connected.is_ok())
}

async fn connect(address: net::SocketAddr) -> io::Result<()> {
    let stream = TcpStream::connect(address).await?;
    // With a reset, the upstream releases the connection immediately.
    socket::reset_when_closed(&stream)
}
