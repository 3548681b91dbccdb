//! Slow start: limits the slots of an upstream whose caches are cold.
//!
//! A cold upstream starts with one slot. The limit grows by one after as many consecutive warm answers
//! as the limit itself.

use std::time::Duration;

use crate::ownership::latency;

/// Initial slots of a cold upstream: the fewest that yield any answers.
const FIRST_SLOTS: u32 = 1;

/// An answer is warm if its latency is at most this many times the service's mean.
const WARM_RATIO: f64 = 2.0;

/// Weight of a new sample in an upstream's mean latency: averages about the last ten answers.
const UPSTREAM_LATENCY_WEIGHT: f64 = 0.1;

/// The slow-start limit of one upstream, and its mean latency since it was last cold.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    limit: u32,
    warm_answers: u32,
    latency: latency::Mean,
}

impl SlowStart {
    /// Creates the state of an upstream that is cold or of unknown state.
    #[must_use]
    pub fn cold() -> Self {
        Self { limit: FIRST_SLOTS, warm_answers: 0, latency: latency::Mean::default() }
    }

    /// Creates the state of an upstream that ran before this node knew it, which is not limited.
    #[must_use]
    pub fn warm() -> Self {
        Self { limit: u32::MAX, ..Self::cold() }
    }

    /// Returns the usable slots, at most `slots`.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        self.limit.min(slots)
    }

    /// Returns the upstream's mean latency.
    #[must_use]
    pub fn latency(&self) -> latency::Mean {
        self.latency
    }

    /// Records an answer; `baseline` is the mean latency over all upstreams of the service.
    pub fn record_answer(&mut self, latency: Duration, baseline: latency::Mean, slots: u32) {
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
