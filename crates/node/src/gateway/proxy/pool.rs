//! Pool of idle connections to upstreams.
//!
//! Owns the idle connections and limits their number; a connection beyond the limits is closed.
//! When one connection turns out to be unresponsive, those to the same upstream that have been idle
//! as long are closed too.

use std::cell;
use std::collections;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::gateway::proxy::connection;

/// Maximum number of idle connections to one upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;

/// Maximum number of idle connections to all upstreams, so that descriptors are left for callers.
const MAX_IDLE: usize = 1_000;

/// A process of an upstream: its name and its start time. A connection to an earlier process is useless.
type Start = (id::Upstream, u64);

fn start_of(upstream: &discovery::Entry) -> Start {
    (upstream.id.clone(), upstream.born)
}

/// Idle connections to upstreams.
///
/// The connection that has been idle longest is used first, so that a surplus response on it is more
/// likely to be detected before the connection is used again.
#[derive(Debug, Default)]
pub struct Pool(cell::RefCell<Idle>);

/// Idle connections by upstream process, and their number.
///
/// The number is stored, because computing it for each request would take time that grows with the upstreams.
#[derive(Debug, Default)]
struct Idle {
    by_upstream: collections::HashMap<Start, collections::VecDeque<connection::Connection>>,
    count: usize,
}

impl Pool {
    /// Takes an idle connection to `upstream` that can still be used.
    pub fn take(&self, upstream: &discovery::Entry) -> Option<connection::Connection> {
        let now = Instant::now();
        let mut idle = self.0.borrow_mut();
        let Idle { by_upstream, count } = &mut *idle;
        let of_upstream = by_upstream.get_mut(&start_of(upstream))?;
        while let Some(connection) = of_upstream.pop_front() {
            *count -= 1;
            let idle_time = now.saturating_duration_since(connection.used);
            if idle_time < connection.idle_timeout && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Adds an idle connection.
    pub fn put(&self, upstream: &discovery::Entry, mut connection: connection::Connection) {
        if connection.sender.is_closed() || connection.idle_timeout.is_zero() {
            return;
        }
        connection.used = Instant::now();
        let mut idle = self.0.borrow_mut();
        if idle.count >= MAX_IDLE {
            return;
        }
        let Idle { by_upstream, count } = &mut *idle;
        let of_upstream = by_upstream.entry(start_of(upstream)).or_default();
        of_upstream.push_back(connection);
        *count += 1;
        if of_upstream.len() > MAX_IDLE_PER_UPSTREAM && of_upstream.pop_front().is_some() {
            *count -= 1;
        }
    }

    /// Closes connections to `upstream` that were last used before `sent`; returns their number.
    fn close_older(&self, upstream: &discovery::Entry, sent: Instant) -> usize {
        let mut idle = self.0.borrow_mut();
        let Some(of_upstream) = idle.by_upstream.get_mut(&start_of(upstream)) else { return 0 };
        let before = of_upstream.len();
        of_upstream.retain(|c| c.used >= sent);
        let closed = before - of_upstream.len();
        idle.count -= closed;
        closed
    }

    /// Closes connections whose idle timeout has passed.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut idle = self.0.borrow_mut();
        let Idle { by_upstream, count } = &mut *idle;
        by_upstream.retain(|_, of_upstream| {
            let before = of_upstream.len();
            of_upstream.retain(|c| {
                now.saturating_duration_since(c.used) < c.idle_timeout && !c.sender.is_closed()
            });
            *count -= before - of_upstream.len();
            !of_upstream.is_empty()
        });
    }
}

/// Closes the other idle connections to an upstream if a request on one of them gets no response.
///
/// All open connections may become unresponsive at once and stay so. When the deadline of a request
/// passes without a response, the connections to its upstream that were last used before the
/// request are closed. Connections that were used since then are known to work.
#[derive(Debug)]
pub struct SilenceGuard<'a> {
    pool: &'a Pool,
    upstream: &'a discovery::Entry,
    sent: Instant,
    deadline: Instant,
    is_over: bool,
}

impl<'a> SilenceGuard<'a> {
    /// Creates the guard when a request is sent on a pooled connection.
    #[must_use]
    pub fn new(pool: &'a Pool, upstream: &'a discovery::Entry, deadline: Instant) -> Self {
        Self { pool, upstream, sent: Instant::now(), deadline, is_over: false }
    }

    /// Ends with a response or a reported failure, after which no connection needs to be closed.
    pub fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for SilenceGuard<'_> {
    fn drop(&mut self) {
        if self.is_over || Instant::now() < self.deadline {
            return;
        }
        let closed = self.pool.close_older(self.upstream, self.sent);
        if closed > 0 {
            let upstream = self.upstream.id.as_str();
            log::info!(upstream, closed; "silent-connections-closed");
        }
    }
}
