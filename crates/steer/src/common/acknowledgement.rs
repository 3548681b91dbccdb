//! Acknowledgement: whether the peer of a connection that lingers has acknowledged everything.
//!
//! The operating system is asked, and may fail to answer, for lack of a descriptor for instance. That says nothing,
//! so that the last known answer stands and the question is repeated.

use std::time::{Duration, Instant};

/// Time for which questions may fail before everything counts as acknowledged.
///
/// Connections that linger may cause the shortage for which the questions fail, so that there is a bound.
pub const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(10);

/// What is known of the acknowledgement of everything that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Acknowledgement {
    is_complete: bool,
    /// When the first question failed since the last answer.
    failed: Option<Instant>,
}

impl Acknowledgement {
    /// Begins without an answer, so that data may be on its way.
    #[must_use]
    pub fn new() -> Self {
        Self { is_complete: false, failed: None }
    }

    /// Records an answer.
    pub fn record(&mut self, is_complete: bool) {
        *self = Self { is_complete, failed: None };
    }

    /// Records that the question failed at `now`.
    pub fn record_failure(&mut self, now: Instant) {
        let since = *self.failed.get_or_insert(now);
        self.is_complete |= now.saturating_duration_since(since) >= UNKNOWN_TIMEOUT;
    }

    /// Returns whether everything counts as acknowledged.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }
}

impl Default for Acknowledgement {
    fn default() -> Self {
        Self::new()
    }
}
