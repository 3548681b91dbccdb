//! SlowStart: how many slots of an upstream are worth using while its caches are cold.

use std::time::Duration;

/// Slots a cold upstream starts with.
const FIRST: u32 = 1;

/// An answer is warm when it took at most this many times the service's usual time.
const WARM_RATIO: f64 = 2.0;

/// Weight of a new answer in an upstream's usual time.
const WEIGHT: f64 = 0.1;

/// What one upstream has shown since it was last cold.
#[derive(Clone, Copy, Debug)]
pub struct SlowStart {
    limit: u32,
    good: u32,
    usual: Option<f64>,
}

impl SlowStart {
    /// Makes the state of an upstream that is cold, as far as is known.
    #[must_use]
    pub fn cold() -> Self {
        Self { limit: FIRST, good: 0, usual: None }
    }

    /// Makes the state of an upstream that has worked before this node met it.
    #[must_use]
    pub fn warm() -> Self {
        Self { limit: u32::MAX, good: 0, usual: None }
    }

    /// Returns the slots worth using, of `slots`.
    #[must_use]
    pub fn limit(&self, slots: u32) -> u32 {
        self.limit.min(slots)
    }

    /// Returns the usual time of an answer, in seconds, once it is known.
    #[must_use]
    pub fn usual(&self) -> Option<f64> {
        self.usual
    }

    /// Notes an answer; `baseline` is the usual time at warm upstreams of the service, in seconds.
    pub fn answered(&mut self, latency: Duration, baseline: Option<f64>, slots: u32) {
        let seconds = latency.as_secs_f64();
        let usual = self.usual.unwrap_or(seconds);
        self.usual = Some(usual + WEIGHT * (seconds - usual));
        let warm = baseline.is_none_or(|base| seconds <= base * WARM_RATIO);
        match warm {
            true if self.limit < slots => self.good += 1,
            _ => self.good = 0,
        }
        if self.good >= self.limit {
            self.good = 0;
            self.limit = (self.limit + 1).min(slots);
        }
    }
}
