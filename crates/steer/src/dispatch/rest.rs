//! Rest periods: upstream processes that refused a request of this node and asked it to send none
//! for a time.
//!
//! The request for a rest period applies to one node, which does not share it with others. The
//! period ends when its time is over or with the process. A refusal that asks for a shorter time
//! does not shorten it, since the upstream asked for both; neither does a success, whose request
//! was sent earlier. No request is sent to test whether the period could end sooner.

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::incarnation;

/// Time over which the retries of waiting callers are spread after the end of a rest period.
const RETRY_SPREAD: Duration = Duration::from_millis(500);

/// Distance between the retries of successive callers, as a share of the spread.
///
/// Multiples of the golden ratio, modulo 1, are well distributed for any number of callers.
const RETRY_STEP: f64 = 0.618_033_988_749_895;

/// Processes in a rest period.
#[derive(Clone, Debug, Default)]
pub struct RestPeriods {
    until: collections::BTreeMap<incarnation::Incarnation, Instant>,
    retry_offset: f64,
}

impl RestPeriods {
    /// Returns the end of a process's rest period, if it has one.
    #[must_use]
    pub fn until(&self, incarnation: &incarnation::Incarnation) -> Option<Instant> {
        self.until.get(incarnation).copied()
    }

    /// Records that a process asks for a rest period of `rest` from `now` on; returns its end.
    pub fn record(
        &mut self,
        incarnation: &incarnation::Incarnation,
        rest: Duration,
        now: Instant,
    ) -> Instant {
        let until = self.until.entry(incarnation.clone()).or_insert(now);
        *until = (*until).max(now + rest);
        *until
    }

    /// Returns the `Retry-After` time of a caller that must wait until `earliest`.
    ///
    /// The times of successive callers are spread, so that they do not return at once.
    pub fn retry_after(&mut self, earliest: Instant, now: Instant) -> Duration {
        self.retry_offset = (self.retry_offset + RETRY_STEP).fract();
        earliest.saturating_duration_since(now) + RETRY_SPREAD.mul_f64(self.retry_offset)
    }

    /// Removes rest periods that are over.
    pub fn tick(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
