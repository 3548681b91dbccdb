//! Pool of idle connections to upstreams.
//!
//! Owns the idle connections, and closes those that are idle for too long or too many.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use tokio::task;
use tokio::time;

use crate::owner::handle;
use crate::owner::runner::connection;

/// Idle connections kept to one upstream; more than its slots are never of use.
const MAX_IDLE: usize = 8;

/// Time for which an idle connection is kept.
const IDLE_TIME: Duration = Duration::from_secs(30);

/// Time between two looks for connections that are idle for too long.
const SWEEP_PERIOD: Duration = Duration::from_secs(5);

/// Idle connections by the upstream's address, those that have been idle longest first.
type Idle = collections::HashMap<net::SocketAddr, collections::VecDeque<connection::Connection>>;

/// Idle connections to upstreams; its clones share them.
#[derive(Clone, Debug)]
pub(super) struct Pool {
    idle: sync::Arc<sync::Mutex<Idle>>,
    handle: handle::Handle,
}

impl Pool {
    /// Makes an empty pool.
    pub(super) fn new(handle: handle::Handle) -> Self {
        Self { idle: sync::Arc::default(), handle }
    }

    /// Takes the connection to the upstream at `address` that was used last, if there is one that works.
    pub(super) fn take(&self, address: net::SocketAddr) -> Option<connection::Connection> {
        let now = self.handle.now();
        let mut idle = self.idle();
        let of_upstream = idle.get_mut(&address)?;
        while let Some(connection) = of_upstream.pop_back() {
            if is_usable(&connection, now) {
                return Some(connection);
            }
        }
        idle.remove(&address);
        None
    }

    /// Keeps a connection whose exchange has ended, unless the upstream closes it.
    pub(super) fn put(&self, mut connection: connection::Connection) {
        if connection.sender.is_closed() {
            return;
        }
        connection.idle_since = self.handle.now();
        let mut idle = self.idle();
        if idle.is_empty() {
            task::spawn(self.clone().sweep());
        }
        let of_upstream = idle.entry(connection.address).or_default();
        of_upstream.push_back(connection);
        if of_upstream.len() > MAX_IDLE {
            of_upstream.pop_front();
        }
    }

    /// Closes connections that are idle for too long, until there is none.
    async fn sweep(self) {
        loop {
            time::sleep(SWEEP_PERIOD).await;
            let now = self.handle.now();
            let mut idle = self.idle();
            idle.retain(|_, of_upstream| {
                of_upstream.retain(|connection| is_usable(connection, now));
                !of_upstream.is_empty()
            });
            if idle.is_empty() {
                return;
            }
        }
    }

    fn idle(&self) -> sync::MutexGuard<'_, Idle> {
        self.idle.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Returns whether a request may be sent on `connection`.
fn is_usable(connection: &connection::Connection, now: Instant) -> bool {
    let idle_time = now.saturating_duration_since(connection.idle_since);
    idle_time < IDLE_TIME && connection.sender.is_ready()
}
