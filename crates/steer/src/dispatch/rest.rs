//! Rest: which upstreams turned a request of this node away and want none from it for a time.
//!
//! Owns the end of each rest. A rest is asked of one node, which reports it to no other. It ends by its time or with the process: a refusal that asks
//! for less does not shorten it, since the upstream asked for both, and neither does a success, whose request came before it. Nothing is
//! sent to try whether it may end sooner.

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::incarnation;

/// Time over which callers that wait for the end of a rest are asked to return.
const SPREAD: Duration = Duration::from_millis(500);

/// Part of the spread between two callers that follow each other: the golden ratio, by which any few of them lie apart.
const STEP: f64 = 0.618_033_988_749_895;

/// The processes that rest.
#[derive(Clone, Debug, Default)]
pub struct Rests {
    until: collections::BTreeMap<incarnation::Incarnation, Instant>,
    spread: f64,
}

impl Rests {
    /// Returns when a process has rested; none when it does not rest.
    #[must_use]
    pub fn until(&self, incarnation: &incarnation::Incarnation) -> Option<Instant> {
        self.until.get(incarnation).copied()
    }

    /// Records that a process wants `rest` from `now` on; returns when it has rested.
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

    /// Returns after which time a caller may return that waits until `earliest`.
    pub fn retry_after(&mut self, earliest: Instant, now: Instant) -> Duration {
        self.spread = (self.spread + STEP).fract();
        earliest.saturating_duration_since(now) + SPREAD.mul_f64(self.spread)
    }

    /// Forgets rests that are over.
    pub fn tick(&mut self, now: Instant) {
        self.until.retain(|_, until| now < *until);
    }
}
