//! Responsiveness of a process: how late it handles what happens, such as a signal.
//!
//! On a busy VM the event loop of a process pauses. A signal that arrives meanwhile is handled after the pause,
//! but the time until the kill runs from when it was sent. Goes by turns of the event loop that follow each other
//! in [`TURN_PERIOD`] where nothing delays them.

use std::time::{Duration, Instant};

/// Interval between turns; short against the grace time of a process, and rare enough to cost it little.
pub const TURN_PERIOD: Duration = Duration::from_millis(50);

/// Delay of a turn that counts as none, as a machine with other work has; the margin before a kill covers it.
const TOLERANCE: Duration = Duration::from_millis(50);

/// Period whose longest delay is kept; recent ones are those of this period and the one before.
const PERIOD: Duration = Duration::from_secs(5);

/// Turns of an event loop.
#[derive(Clone, Copy, Debug)]
pub struct Turns {
    /// The last turn, and the one before.
    last: Instant,
    /// See `last`.
    before_last: Instant,
    /// Start of the current period.
    period: Instant,
    /// Longest delay in the current period.
    longest: Duration,
    /// Longest delay in the period before.
    longest_before: Duration,
}

impl Turns {
    /// Starts with a turn at `now`.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        let (longest, longest_before) = (Duration::ZERO, Duration::ZERO);
        Self { last: now, before_last: now, period: now, longest, longest_before }
    }

    /// Records a turn at `now`.
    pub fn record(&mut self, now: Instant) {
        match now.saturating_duration_since(self.period) {
            since if since >= 2 * PERIOD => {
                (self.longest, self.longest_before) = (Duration::ZERO, Duration::ZERO);
                self.period = now;
            }
            since if since >= PERIOD => {
                self.longest_before = std::mem::take(&mut self.longest);
                self.period = now;
            }
            _ => {}
        }
        self.longest = self.longest.max(delay(self.last, now));
        self.before_last = self.last;
        self.last = now;
    }

    /// Returns the earliest time at which a signal that is seen at `now` may have arrived.
    ///
    /// It would have been seen in the last turn, had it arrived before. Where the last turn may belong to the same
    /// wake-up as the signal, that is the turn before. A time within the usual interval is no delay.
    #[must_use]
    pub fn earliest_arrival(&self, now: Instant) -> Instant {
        let (seen_by, delay) = match now.saturating_duration_since(self.last) < TURN_PERIOD {
            true => (self.before_last, delay(self.before_last, self.last)),
            false => (self.last, delay(self.last, now)),
        };
        if delay.is_zero() { now } else { seen_by }
    }

    /// Returns the longest delay of recent turns, including one that lasts at `now`.
    #[must_use]
    pub fn longest_delay(&self, now: Instant) -> Duration {
        self.longest.max(self.longest_before).max(delay(self.last, now))
    }
}

/// Returns by how much a turn at `now` after one at `last` is late; zero within the tolerance.
fn delay(last: Instant, now: Instant) -> Duration {
    let delay = now.saturating_duration_since(last).saturating_sub(TURN_PERIOD);
    match delay > TOLERANCE {
        true => delay,
        false => Duration::ZERO,
    }
}
