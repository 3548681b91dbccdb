//! Grace time of a stopping process: when it may be killed, and how much time is left for pauses.
//!
//! The kill is counted from when the signal to stop may have arrived, which is before it was seen if the process
//! paused. Requests are accepted by the earliest kill, less the longest recent pause; what is in flight has until
//! the latest, because a kill cuts off no more than an exit would. See [`responsiveness`].
//!
//! [`responsiveness`]: crate::common::responsiveness

use std::time::{Duration, Instant};

/// Part of the grace time by which a signal is taken to be late at most. A process that was paused for longer
/// is more likely to have received the signal during the pause than at its start.
const MAX_LATE_PART: u32 = 3;

/// Part of the grace time that is left at most for pauses of the process.
const MAX_MARGIN_PART: u32 = 6;

/// The grace time of one stop.
#[derive(Clone, Copy, Debug)]
pub struct Grace {
    earliest_end: Instant,
    latest_end: Instant,
    /// Time before the earliest end in which the process may not run.
    margin: Duration,
    /// Upper bound of `margin`.
    max_margin: Duration,
}

impl Grace {
    /// Returns the grace time `allowed` after a signal that arrived at `arrived` at the earliest, and was seen at
    /// `seen`.
    #[must_use]
    pub fn new(arrived: Instant, seen: Instant, allowed: Duration) -> Self {
        let late = seen.saturating_duration_since(arrived).min(allowed / MAX_LATE_PART);
        Self {
            earliest_end: seen + allowed.saturating_sub(late),
            latest_end: seen + allowed,
            margin: Duration::ZERO,
            max_margin: allowed / MAX_MARGIN_PART,
        }
    }

    /// Leaves `delay` before the earliest end, by which the process may pass on a response late.
    pub fn allow_for(&mut self, delay: Duration) {
        self.margin = self.margin.max(delay.min(self.max_margin));
    }

    /// Returns when the process is killed at the earliest.
    #[must_use]
    pub fn earliest_end(&self) -> Instant {
        self.earliest_end
    }

    /// Returns when the process is killed at the latest.
    #[must_use]
    pub fn latest_end(&self) -> Instant {
        self.latest_end
    }

    /// Returns the time that is left for pauses before the earliest end.
    #[must_use]
    pub fn margin(&self) -> Duration {
        self.margin
    }

    /// Returns when requests that are still accepted must have ended.
    #[must_use]
    pub fn usable_until(&self) -> Instant {
        self.earliest_end - self.margin
    }

    /// Returns the time from `now` until the earliest end, or until the latest once that has passed.
    #[must_use]
    pub fn left(&self, now: Instant) -> Duration {
        let end = if now < self.earliest_end { self.earliest_end } else { self.latest_end };
        end.saturating_duration_since(now)
    }

    /// Returns whether the process exits at `now` whatever it still has; `is_idle` when no request is in flight.
    #[must_use]
    pub fn is_over(&self, now: Instant, is_idle: bool) -> bool {
        now >= if is_idle { self.earliest_end } else { self.latest_end }
    }
}
