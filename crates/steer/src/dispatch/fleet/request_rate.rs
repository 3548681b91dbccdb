//! Request rate: the requests per second that a node reports in its heartbeats.
//!
//! The rate rises immediately and decays slowly, so that the [`active_set`] grows with a burst of
//! requests and does not shrink at every pause.
//!
//! [`active_set`]: crate::dispatch::fleet::active_set

use std::time::{Duration, Instant};

/// Minimum time between samples; heartbeats may be sent in quick succession.
const MIN_INTERVAL: Duration = Duration::from_millis(400);

/// Time constant of the exponential decay.
const DECAY_TIME: Duration = Duration::from_secs(5);

/// The request rate of one node.
#[derive(Clone, Copy, Debug)]
pub struct Rate {
    counted: u64,
    at: Instant,
    rate: f64,
}

impl Rate {
    /// Creates a rate of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { counted: 0, at: now, rate: 0.0 }
    }

    /// Updates the rate with `count`, the total number of requests so far, and returns the requests
    /// per second.
    pub fn update(&mut self, count: u64, now: Instant) -> u32 {
        let elapsed = now.saturating_duration_since(self.at);
        if elapsed >= MIN_INTERVAL {
            let seconds = elapsed.as_secs_f64();
            #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 requests")]
            let current = count.saturating_sub(self.counted) as f64 / seconds;
            let decayed = self.rate * (-seconds / DECAY_TIME.as_secs_f64()).exp();
            *self = Self { counted: count, at: now, rate: current.max(decayed) };
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "requests per second, never negative"
        )]
        let rate = self.rate.ceil() as u32;
        rate
    }
}
