//! State shared by the tasks that serve callers: the gateway's state, the pool and the open connections.
//!
//! Counts open connections and requests, which a planned shutdown waits for.

use std::cell;
use std::rc;

use tokio::sync::watch;

use crate::gateway::proxy::pool;
use crate::gateway::state;

/// Numbers of callers' open connections and requests.
#[derive(Debug, Default)]
pub struct Open {
    connections: cell::Cell<usize>,
    requests: cell::Cell<usize>,
}

impl Open {
    /// Returns the open connections.
    #[must_use]
    pub fn connections(&self) -> usize {
        self.connections.get()
    }

    /// Returns the requests in flight.
    #[must_use]
    pub fn requests(&self) -> usize {
        self.requests.get()
    }

    /// Counts a request until the guard is dropped.
    #[must_use]
    pub fn request(self: &rc::Rc<Self>) -> Guard {
        self.requests.set(self.requests.get() + 1);
        Guard { open: rc::Rc::clone(self), is_request: true }
    }

    /// Counts a connection until the guard is dropped.
    #[must_use]
    pub fn connection(self: &rc::Rc<Self>) -> Guard {
        self.connections.set(self.connections.get() + 1);
        Guard { open: rc::Rc::clone(self), is_request: false }
    }
}

/// Counts a connection or a request as open until it is dropped.
#[derive(Debug)]
pub struct Guard {
    open: rc::Rc<Open>,
    is_request: bool,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let counter = match self.is_request {
            true => &self.open.requests,
            false => &self.open.connections,
        };
        counter.set(counter.get().saturating_sub(1));
    }
}

/// State shared by the tasks that serve callers.
#[derive(Clone, Debug)]
pub struct Server {
    /// State of the gateway.
    pub state: rc::Rc<state::State>,
    /// Connections to upstreams.
    pub pool: rc::Rc<pool::Pool>,
    /// Numbers of callers' open connections and requests.
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
