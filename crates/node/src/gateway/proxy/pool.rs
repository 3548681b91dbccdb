//! Connections to upstreams that rest until they are used again.
//!
//! Owns resting connections and their bounds; what does not fit is closed, and so is what rested as long as a
//! connection that turned out to be silent.

use std::cell;
use std::collections;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::gateway::proxy::connection;

/// Most connections that rest for one upstream.
const MOST_RESTING: usize = 16;

/// Most connections that rest for all upstreams, so that descriptors are left for callers.
const MOST_RESTING_IN_ALL: usize = 1_000;

/// One start of an upstream: its name, and when it started. A connection to an earlier start is of no use.
type Start = (id::Upstream, u64);

fn start_of(upstream: &discovery::Entry) -> Start {
    (upstream.id.clone(), upstream.born)
}

/// Connections to upstreams that rest.
///
/// The one that rested longest is used first, so that a surplus answer on a connection is more
/// likely to be seen before the connection is used again.
#[derive(Debug, Default)]
pub struct Pool(cell::RefCell<Resting>);

/// Resting connections by start of an upstream, and how many there are.
///
/// The count is kept, since adding the queues up for each request grew with the upstreams.
#[derive(Debug, Default)]
struct Resting {
    by_upstream: collections::HashMap<Start, collections::VecDeque<connection::Connection>>,
    count: usize,
}

impl Pool {
    /// Takes a connection to `upstream` that can be used now.
    pub fn take(&self, upstream: &discovery::Entry) -> Option<connection::Connection> {
        let now = Instant::now();
        let mut resting = self.0.borrow_mut();
        let Resting { by_upstream, count } = &mut *resting;
        let of_upstream = by_upstream.get_mut(&start_of(upstream))?;
        while let Some(connection) = of_upstream.pop_front() {
            *count -= 1;
            let rested = now.saturating_duration_since(connection.used);
            if rested < connection.rest && connection.sender.is_ready() {
                return Some(connection);
            }
        }
        None
    }

    /// Lets a connection rest.
    pub fn put(&self, upstream: &discovery::Entry, mut connection: connection::Connection) {
        if connection.sender.is_closed() || connection.rest.is_zero() {
            return;
        }
        connection.used = Instant::now();
        let mut resting = self.0.borrow_mut();
        if resting.count >= MOST_RESTING_IN_ALL {
            return;
        }
        let Resting { by_upstream, count } = &mut *resting;
        let of_upstream = by_upstream.entry(start_of(upstream)).or_default();
        of_upstream.push_back(connection);
        *count += 1;
        if of_upstream.len() > MOST_RESTING && of_upstream.pop_front().is_some() {
            *count -= 1;
        }
    }

    /// Closes connections to `upstream` that have rested since before `sent`; returns how many.
    fn close_older(&self, upstream: &discovery::Entry, sent: Instant) -> usize {
        let mut resting = self.0.borrow_mut();
        let Some(of_upstream) = resting.by_upstream.get_mut(&start_of(upstream)) else { return 0 };
        let before = of_upstream.len();
        of_upstream.retain(|c| c.used >= sent);
        let closed = before - of_upstream.len();
        resting.count -= closed;
        closed
    }

    /// Closes connections that have rested for too long.
    pub fn sweep(&self) {
        let now = Instant::now();
        let mut resting = self.0.borrow_mut();
        let Resting { by_upstream, count } = &mut *resting;
        by_upstream.retain(|_, of_upstream| {
            let before = of_upstream.len();
            of_upstream.retain(|c| {
                now.saturating_duration_since(c.used) < c.rest && !c.sender.is_closed()
            });
            *count -= before - of_upstream.len();
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
    upstream: &'a discovery::Entry,
    sent: Instant,
    deadline: Instant,
    is_over: bool,
}

impl<'a> Doubt<'a> {
    /// Begins when a request is sent on a connection that has rested.
    #[must_use]
    pub fn new(pool: &'a Pool, upstream: &'a discovery::Entry, deadline: Instant) -> Self {
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
            let upstream = self.upstream.id.as_str();
            log::info!(upstream, closed; "silent-connections-closed");
        }
    }
}
