//! Ejection: an upstream that cannot be reached gets no requests for a time that doubles.
//!
//! Owns the ejection of one upstream. Nothing is probed: the first request after it is the test. Relies on
//! [`health`] to report what was reached; [`selection`] uses ejected upstreams only when all are.
//!
//! [`health`]: crate::dispatch::health
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

/// Length of the first ejection. Not measured.
const FIRST: Duration = Duration::from_millis(500);

/// Length of the longest ejection. Not measured.
const LONGEST: Duration = Duration::from_secs(4);

/// Ejection of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    length: Duration,
    until: Option<Instant>,
}

impl Ejection {
    /// Ejects from `now` on, for twice as long as the time before.
    pub fn eject(&mut self, now: Instant) {
        self.length = match self.length {
            Duration::ZERO => FIRST,
            before => (before * 2).min(LONGEST),
        };
        self.until = Some(now + self.length);
    }

    /// Ends it, since the upstream answered; the next one is a first one again.
    pub fn end(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the upstream is ejected.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
