//! Silence: an upstream that has requests in flight and answers none of them is suspect.
//!
//! Owns the start of one upstream's silence. Relies on its work time for how long silence is usual.
//! [`selection`] uses silent upstreams only when all are ejected or silent.
//!
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

use crate::dispatch::seconds;

/// Shortest silence that is suspect. Not measured.
const SHORTEST: Duration = Duration::from_millis(1_000);

/// Silence that is suspect, as a multiple of the upstream's work time. Not measured.
const WORK_TIMES: f64 = 4.0;

/// Silence of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    since: Option<Instant>,
}

impl Silence {
    /// Records a send; `in_flight` excludes it.
    pub fn sent(&mut self, in_flight: u32, now: Instant) {
        if in_flight == 0 {
            self.since = Some(now);
        }
    }

    /// Records an answer; `in_flight` excludes its request.
    pub fn answered(&mut self, in_flight: u32, now: Instant) {
        self.since = (in_flight > 0).then_some(now);
    }

    /// Records a try that ended without an answer; `in_flight` excludes it.
    pub fn ended(&mut self, in_flight: u32) {
        if in_flight == 0 {
            self.since = None;
        }
    }

    /// Returns whether it has lasted too long for an upstream with this `work` time.
    #[must_use]
    pub fn is_suspect(&self, work: seconds::Seconds, now: Instant) -> bool {
        let Some(since) = self.since else { return false };
        let bound = (work.0 * WORK_TIMES).max(SHORTEST.as_secs_f64());
        now.saturating_duration_since(since).as_secs_f64() > bound
    }
}
