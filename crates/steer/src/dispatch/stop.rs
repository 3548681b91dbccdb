//! Planned stop: when a node that stops closes callers' connections, and when it ends.
//!
//! A stopping node is named by look-ups no more, but serves the callers that still hold an older answer.
//! Then it closes resting connections, and it ends once nothing is open, or shortly before the kill.

use std::time::Duration;

/// Time for which callers with an older look-up may still come.
///
/// Not measured; three times the longest life of a look-up (1 s), which some callers exceed, and a margin.
const CALLERS_COME: Duration = Duration::from_millis(3_300);

/// Time before the kill at which resting connections are closed. Not measured.
const CLOSE_BEFORE_KILL: Duration = Duration::from_millis(1_500);

/// Time before the kill at which the process ends whatever is open. Not measured.
const END_BEFORE_KILL: Duration = Duration::from_millis(150);

/// Time between two checks of what is open. Not measured.
pub const CHECK_PERIOD: Duration = Duration::from_millis(50);

/// What callers have open at a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Open {
    /// Connections.
    pub connections: usize,
    /// Requests in flight.
    pub requests: usize,
}

/// What a stopping node does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Serve on.
    Serve,
    /// Close each connection after its request; resting ones at once.
    Close,
    /// End the process; `is_done` when every request has ended.
    End {
        /// Whether every request has ended.
        is_done: bool,
    },
}

/// Returns what a node does `elapsed` after the stop began, with `grace` from there to the kill.
#[must_use]
pub fn step(elapsed: Duration, grace: Duration, open: Open) -> Step {
    let may_callers_come = elapsed < CALLERS_COME;
    match open {
        Open { connections: 0, .. } if !may_callers_come => Step::End { is_done: true },
        _ if elapsed >= grace.saturating_sub(END_BEFORE_KILL) => {
            Step::End { is_done: open.requests == 0 }
        }
        _ if elapsed >= grace.saturating_sub(CLOSE_BEFORE_KILL) => Step::Close,
        Open { requests: 0, .. } if !may_callers_come => Step::Close,
        _ => Step::Serve,
    }
}
