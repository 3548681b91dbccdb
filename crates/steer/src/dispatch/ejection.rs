//! Outlier ejection: an unreachable upstream receives no requests for an exponentially growing
//! time.
//!
//! There are no active health checks: the first request after an ejection tests the upstream.
//! [`health`] reports failures and responses; [`selection`] uses ejected upstreams only when all of
//! them are ejected.
//!
//! [`health`]: crate::dispatch::health
//! [`selection`]: crate::dispatch::selection

use std::time::{Duration, Instant};

/// Duration of the first ejection.
const INITIAL_DURATION: Duration = Duration::from_millis(500);

/// Upper limit of the duration.
const MAX_DURATION: Duration = Duration::from_secs(4);

/// Ejection state of one upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Ejection {
    duration: Duration,
    until: Option<Instant>,
}

impl Ejection {
    /// Ejects the upstream from `now` on, for twice the previous duration.
    pub fn eject(&mut self, now: Instant) {
        self.duration = match self.duration {
            Duration::ZERO => INITIAL_DURATION,
            previous => (previous * 2).min(MAX_DURATION),
        };
        self.until = Some(now + self.duration);
    }

    /// Ends the ejection after a response and resets the duration.
    pub fn reset(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the upstream is ejected.
    #[must_use]
    pub fn is_active(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }
}
