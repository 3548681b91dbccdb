//! Silence: detects an upstream that has requests in flight and responds to none of them.
//!
//! The usual silence follows from the upstream's processing time. [`selection`] uses silent
//! upstreams only when all upstreams are ejected or silent.
//!
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

use crate::dispatch::seconds;

/// Silence up to this length is never suspect.
const MIN_SUSPECT_SILENCE: Duration = Duration::from_millis(1_000);

/// Length from which silence is suspect, as a multiple of the upstream's processing time.
const SUSPECT_PROCESSING_TIMES: f64 = 4.0;

/// A silence that is too long for its upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Suspect {
    /// When it began.
    pub since: Instant,
    /// Length from which it is suspect.
    pub limit: Duration,
}

/// Time since the last response of an upstream with requests in flight.
#[derive(Clone, Copy, Debug, Default)]
pub struct Silence {
    since: Option<Instant>,
    answered: Option<Instant>,
}

impl Silence {
    /// Records that a request is sent; `in_flight` excludes it.
    pub fn record_sent(&mut self, in_flight: u32, now: Instant) {
        if in_flight == 0 {
            self.since = Some(now);
        }
    }

    /// Records a response; `in_flight` excludes its request.
    pub fn record_answer(&mut self, in_flight: u32, now: Instant) {
        self.since = (in_flight > 0).then_some(now);
        self.answered = Some(now);
    }

    /// Records an attempt that ended without a response; `in_flight` excludes it.
    pub fn record_end(&mut self, in_flight: u32) {
        if in_flight == 0 {
            self.since = None;
        }
    }

    /// Returns the time of the latest response.
    #[must_use]
    pub fn answered(&self) -> Option<Instant> {
        self.answered
    }

    /// Returns the silence that is too long for an upstream with this processing time; `None` if there
    /// is none.
    #[must_use]
    pub fn suspect(&self, processing_time: seconds::Seconds, now: Instant) -> Option<Suspect> {
        let since = self.since?;
        let limit =
            (processing_time.0 * SUSPECT_PROCESSING_TIMES).max(MIN_SUSPECT_SILENCE.as_secs_f64());
        let is_longer = now.saturating_duration_since(since).as_secs_f64() > limit;
        // The limit is below the time since `since`, so it is a valid duration.
        is_longer.then(|| Suspect { since, limit: Duration::from_secs_f64(limit) })
    }
}
