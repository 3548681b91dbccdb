//! Delivery: which responses to callers have left the process.
//!
//! The HTTP library flushes a connection only when its own buffer is empty, so a flush that succeeds means
//! that the kernel has all that was encoded before. On HTTP/2 the end of a response may still wait for the
//! caller's window then; the connection does not end before it is sent.

use std::sync;

use crate::common::delivery;
use crate::owner::in_flight;

/// Requests of one connection whose whole response the HTTP library has, and the kernel not yet.
#[derive(Clone, Debug, Default)]
pub struct Ledger(sync::Arc<sync::Mutex<Vec<sync::Arc<in_flight::Request>>>>);

impl Ledger {
    /// Adds a request whose response has been encoded.
    pub fn add(&self, request: sync::Arc<in_flight::Request>) {
        self.lock().push(request);
    }

    fn lock(&self) -> sync::MutexGuard<'_, Vec<sync::Arc<in_flight::Request>>> {
        self.0.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl delivery::Observer for Ledger {
    /// Ends the requests so far as delivered.
    fn flushed(&self) {
        let delivered = std::mem::take(&mut *self.lock());
        for request in delivered {
            request.deliver();
        }
    }

    /// The requests that are left end undelivered with the last copy of the ledger.
    fn closed(&self) {}
}
