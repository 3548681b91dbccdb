//! Connections to upstreams that rest until they are used again.
//!
//! Owns resting connections and their bounds; what does not fit is closed, and so is what rested as long as a
//! connection that turned out to be silent.

use std::cell;
use std::collections;
use std::time::Instant;

use model::id;

use crate::gateway::proxy::connection;

/// Most connections that rest for one upstream. Not measured.
const MOST_RESTING: usize = 16;

/// Most connections that rest for all upstreams, so that descriptors are left for callers. Not
/// measured.
const MOST_RESTING_IN_ALL: usize = 1_000;

/// Connections to upstreams that rest.
///
/// The one that rested longest is used first, so that a surplus answer on a connection is more
/// likely to be seen before the connection is used again.
#[derive(Debug, Default)]
pub struct Pool {
    resting: cell::RefCell<
        collections::HashMap<id::Upstream, collections::VecDeque<connection::Connection>>,
    >,
}

impl Pool {
    /// Takes a connection to `upstream` that can be used now.
    pub fn take(&self, upstream: &id::Upstream) -> Option<connection::Connection> {
        let now = Instant::now();
        let mut resting = self.resting.borrow_mut();
        let of_upstream = resting.get_mut(upstream)?;
        while let Some(connection) = of_upstream.pop_front() {
            let rested = now.saturating_duration_since(connection.used);
            if rested < connection.rest && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Lets a connection rest.
    pub fn put(&self, upstream: &id::Upstream, mut connection: connection::Connection) {
        if connection.sender.is_closed() || connection.rest.is_zero() {
            return;
        }
        connection.used = Instant::now();
        let mut resting = self.resting.borrow_mut();
        let in_all: usize = resting.values().map(collections::VecDeque::len).sum();
        if in_all >= MOST_RESTING_IN_ALL {
            return;
        }
        let of_upstream = resting.entry(upstream.clone()).or_default();
        of_upstream.push_back(connection);
        if of_upstream.len() > MOST_RESTING {
            of_upstream.pop_front();
        }
    }

    /// Closes connections to `upstream` that have rested since before `sent`; returns how many.
    fn close_older(&self, upstream: &id::Upstream, sent: Instant) -> usize {
        let mut resting = self.resting.borrow_mut();
        let Some(of_upstream) = resting.get_mut(upstream) else { return 0 };
        let before = of_upstream.len();
        of_upstream.retain(|c| c.used >= sent);
        before - of_upstream.len()
    }

    /// Closes connections that have rested for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.resting.borrow_mut().retain(|_, of_upstream| {
            of_upstream.retain(|c| {
                now.saturating_duration_since(c.used) < c.rest && !c.sender.is_closed()
            });
            !of_upstream.is_empty()
        });
    }
}

/// Doubt about the connections that rested beside one that was taken, until that one brings an answer.
///
/// All open connections may fall silent at once, for good. When the deadline of a request passes without an
/// answer, those to its upstream that rested since before it was sent are closed; those that were used since
/// have shown that they work.
#[derive(Debug)]
pub struct Doubt<'a> {
    pool: &'a Pool,
    upstream: &'a id::Upstream,
    sent: Instant,
    deadline: Instant,
    is_over: bool,
}

impl<'a> Doubt<'a> {
    /// Begins when a request is sent on a connection that has rested.
    #[must_use]
    pub fn new(pool: &'a Pool, upstream: &'a id::Upstream, deadline: Instant) -> Self {
        Self { pool, upstream, sent: Instant::now(), deadline, is_over: false }
    }

    /// Ends with an answer, or with a failure that shows itself.
    pub fn end(mut self) {
        self.is_over = true;
    }
}

impl Drop for Doubt<'_> {
    fn drop(&mut self) {
        if self.is_over || Instant::now() < self.deadline {
            return;
        }
        let closed = self.pool.close_older(self.upstream, self.sent);
        if closed > 0 {
            let upstream = self.upstream.as_str();
            log::info!(upstream, closed; "silent-connections-closed");
        }
    }
}
