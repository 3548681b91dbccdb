//! Deadline of an attempt: the time until which an upstream may queue a request and work on it.
//!
//! The exit of a stopping node closes connections whose responses have not come, and their callers cannot tell
//! whether their requests were executed. [`response_times`] estimates whether a request ends before, but a queue
//! may grow or work may take longer than before. Therefore the upstream gets a deadline by which its response
//! still reaches the caller. It refuses a request whose deadline passes in its queue, and ends one that it works
//! on with 504. Such a response is no evidence about the upstream.
//!
//! [`response_times`]: crate::common::response_times

use std::time::{Duration, Instant};

use crate::common::response_times;
use crate::dispatch::execution;

/// 504 Gateway Timeout (RFC 9110, section 15.6.5).
const TIMED_OUT: u16 = 504;

/// Time by which a deadline may pass too early at an upstream, which gets the time left in whole milliseconds.
const ROUNDING: Duration = Duration::from_millis(1);

/// Deadline of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadline {
    at: Instant,
    is_shortened: bool,
}

impl Deadline {
    /// Creates the deadline of an attempt of a request whose caller waits until `request`, at a node that exits
    /// at `exit`; `None` unless it is stopping.
    #[must_use]
    pub fn new(request: Instant, exit: Option<Instant>) -> Self {
        let at = response_times::shorten(request, exit);
        Self { at, is_shortened: at < request }
    }

    /// Returns when it passes.
    #[must_use]
    pub fn instant(&self) -> Instant {
        self.at
    }

    /// Returns whether it is earlier than the request's and has passed at `now`.
    #[must_use]
    pub fn has_passed_early(&self, now: Instant) -> bool {
        self.is_shortened && now >= self.at
    }

    /// Returns whether a response that was received at `now` is due to this deadline being earlier than the
    /// request's.
    #[must_use]
    pub fn has_ended(&self, status: u16, execution: execution::Execution, now: Instant) -> bool {
        let is_ended = status == TIMED_OUT || execution == execution::Execution::NotRun;
        is_ended && self.has_passed_early(now + ROUNDING)
    }
}
