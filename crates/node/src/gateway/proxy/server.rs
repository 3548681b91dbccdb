//! State shared by the tasks that serve callers: the gateway's state, the pool and the open connections.
//!
//! Counts open connections; [`in_flight`] knows the requests. A planned shutdown waits for both.

use std::cell;
use std::rc;

use tokio::sync::watch;

use crate::common::lingering;
use crate::gateway::proxy::in_flight;
use crate::gateway::proxy::pool;
use crate::gateway::state;

/// Callers' open connections and requests.
#[derive(Debug, Default)]
pub struct Open {
    connections: cell::Cell<usize>,
    refused: cell::Cell<usize>,
    /// Connections that wait for their callers' close.
    pub lingering: lingering::Group,
    /// The requests in flight.
    pub requests: rc::Rc<in_flight::Registry>,
}

impl Open {
    /// Returns the number of open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the number of open connections that are being refused.
    #[must_use]
    pub fn refused(&self) -> usize {
        self.refused.get()
    }

    /// Counts a connection until the guard is dropped.
    #[must_use]
    pub fn connection(self: &rc::Rc<Self>) -> Guard {
        Guard::new(self, |open| &open.connections)
    }

    /// Counts a connection as one that is being refused until the guard is dropped.
    #[must_use]
    pub fn refusal(self: &rc::Rc<Self>) -> Guard {
        Guard::new(self, |open| &open.refused)
    }
}

/// Counts a connection until it is dropped.
#[derive(Debug)]
pub struct Guard {
    open: rc::Rc<Open>,
    count: fn(&Open) -> &cell::Cell<usize>,
}

impl Guard {
    fn new(open: &rc::Rc<Open>, count: fn(&Open) -> &cell::Cell<usize>) -> Self {
        count(open).update(|count| count + 1);
        Self { open: rc::Rc::clone(open), count }
    }
}

impl Drop for Guard {
    fn drop(&mut self) {
        (self.count)(&self.open).update(|count| count.saturating_sub(1));
    }
}

/// State shared by the tasks that serve callers.
#[derive(Clone, Debug)]
pub struct Server {
    /// State of the gateway.
    pub state: rc::Rc<state::State>,
    /// Connections to upstreams.
    pub pool: rc::Rc<pool::Pool>,
    /// Callers' open connections and requests.
    pub open: rc::Rc<Open>,
    /// Becomes true when connections are to be closed after their current requests.
    pub close: watch::Receiver<bool>,
}

impl Server {
    /// Creates a server whose connections are closed after their current requests once `close` is true.
    #[must_use]
    pub fn new(
        state: rc::Rc<state::State>,
        open: rc::Rc<Open>,
        pool: rc::Rc<pool::Pool>,
        close: watch::Receiver<bool>,
    ) -> Self {
        Self { state, pool, open, close }
    }
}
