//! Open connections of a server, and those of them that linger, as the stop of the node counts them.

use std::sync;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use crate::common::delivery;
use crate::common::lingering;

/// Connections of one server; copies share them.
#[derive(Clone, Debug, Default)]
pub struct Connections {
    open: sync::Arc<AtomicUsize>,
    /// Whether no further connection is accepted.
    is_closed: sync::Arc<AtomicBool>,
    /// Those that have ended and whose peers have not closed them yet.
    pub lingering: lingering::Group,
}

impl Connections {
    /// Counts a connection until the guard is dropped.
    #[must_use]
    pub fn begin(&self) -> Open {
        self.open.fetch_add(1, Ordering::Relaxed);
        Open { open: sync::Arc::clone(&self.open) }
    }

    /// Records that no further connection is accepted.
    pub fn close(&self) {
        self.is_closed.store(true, Ordering::Release);
    }

    /// Returns whether no request can come and every response has been written: connections that are left linger.
    #[must_use]
    pub fn are_served(&self) -> bool {
        self.is_closed.load(Ordering::Acquire)
            && self.open.load(Ordering::Relaxed) <= self.lingering.count()
    }

    /// Returns whether every connection has ended, and no further one is accepted.
    #[must_use]
    pub fn have_ended(&self) -> bool {
        self.is_closed.load(Ordering::Acquire) && self.open.load(Ordering::Relaxed) == 0
    }
}

/// Counts a connection as open until it is dropped.
#[derive(Debug)]
pub struct Open {
    open: sync::Arc<AtomicUsize>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps the count together with the stream of a connection.
impl delivery::Observer for Open {
    fn flushed(&self) {}

    fn closed(&self) {}
}
