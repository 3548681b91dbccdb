//! Lists of the requests that a stopping process has not ended, as the reports of both roles write them.

use std::time::{Duration, Instant};

use platform::field;

/// Requests that get a line of their own in one list.
pub const MAX_LINES: usize = 32;

/// Time before the process may be killed at which the first list is written; with the time between two looks at what
/// is open it is half a second at least.
pub const EARLY: Duration = Duration::from_millis(600);

/// Which of the two lists a line belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum List {
    /// Written shortly before the exit, for a process that is killed.
    Early,
    /// Written at the exit.
    Final,
}

impl List {
    /// Returns the value of the log key `list`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Early => "early",
            Self::Final => "final",
        }
    }
}

/// Returns the milliseconds from `now` until `time`, negative if it has passed; empty if it is not known.
#[must_use]
pub fn millis_until(time: Option<Instant>, now: Instant) -> String {
    match time {
        None => String::new(),
        Some(time) if time < now => {
            format!("-{}", field::whole_millis(now.saturating_duration_since(time)))
        }
        Some(time) => field::whole_millis(time.saturating_duration_since(now)).to_string(),
    }
}
