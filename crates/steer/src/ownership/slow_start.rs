//! Slow start: how many slots of an upstream are used while its caches are cold.
//!
//! A cold upstream starts with one slot and is given one more after as many warm answers in a row as it
//! has slots. Owns that limit and the upstream's mean answer time. Relies on [`latency`] for the mean.

use std::time::Duration;

use crate::ownership::latency;

/// Slots that a cold upstream starts with. Not measured; it is the least that shows anything.
const FIRST_SLOTS: u32 = 1;

/// An answer is warm when it took at most this many times the service's mean. Not measured.
const WARM_RATIO: f64 = 2.0;

/// Weight of a new answer in an upstream's mean answer time. Not measured; about the last ten count.
const UPSTREAM_LATENCY_WEIGHT: f64 = 0.1;

/// What one upstream has shown since it was last cold.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    limit: u32,
    warm_answers: u32,
    latency: latency::Mean,
}

impl SlowStart {
    /// Makes the state of an upstream that is cold, as far as is known.
    #[must_use]
    pub fn cold() -> Self {
        Self { limit: FIRST_SLOTS, warm_answers: 0, latency: latency::Mean::default() }
    }

    /// Makes the state of an upstream that worked before this node knew it.
    #[must_use]
    pub fn warm() -> Self {
        Self { limit: u32::MAX, ..Self::cold() }
    }

    /// Returns how many of `slots` may be used.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        self.limit.min(slots)
    }

    /// Returns the upstream's mean answer time.
    #[must_use]
    pub fn latency(&self) -> latency::Mean {
        self.latency
    }

    /// Records an answer; `baseline` is the mean at all upstreams of the service.
    pub fn answered(&mut self, latency: Duration, baseline: latency::Mean, slots: u32) {
        self.latency.record(latency, UPSTREAM_LATENCY_WEIGHT);
        let seconds = latency.as_secs_f64();
        let is_warm = baseline.seconds().is_none_or(|base| seconds <= base * WARM_RATIO);
        match is_warm {
            true if self.limit < slots => self.warm_answers += 1,
            _ => self.warm_answers = 0,
        }
        if self.warm_answers >= self.limit {
            self.warm_answers = 0;
            self.limit = (self.limit + 1).min(slots);
        }
    }
}
