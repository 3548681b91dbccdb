//! Curtailment: when a stopping node answers requests that still wait for their upstreams.
//!
//! A request that was sent before the signal, or whose upstream keeps to no deadline, may still run at the exit, which
//! closes its connection without an answer. The node therefore answers it itself shortly before, as one that may have
//! run. Upstreams get a deadline that passes earlier ([`upstream_deadline`]), because one that keeps to it can prove
//! that it did not execute the request.
//!
//! [`upstream_deadline`]: crate::dispatch::upstream_deadline

use std::time::{Duration, Instant};

/// Time before the latest exit at which requests are curtailed.
///
/// Enough for a response to cross a link with a delay of 60 ms and for its caller to close, with 80 ms to spare for a
/// pause of the process. What is curtailed earlier might still have been answered by its upstream.
const ANSWER_BEFORE_EXIT: Duration = Duration::from_millis(200);

/// Exit of a stopping node with requests in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Exit {
    /// When the node has to have ended if the signal came early and the process pauses.
    pub earliest: Instant,
    /// When the node exits at the latest.
    pub latest: Instant,
}

impl Exit {
    /// Returns when requests are answered whose upstreams have not responded.
    #[must_use]
    pub fn curtailment(&self) -> Instant {
        self.latest - ANSWER_BEFORE_EXIT
    }

    /// Returns the time that counts as the exit for deadlines of upstreams.
    #[must_use]
    pub fn for_upstreams(&self) -> Instant {
        self.earliest.min(self.curtailment())
    }
}
