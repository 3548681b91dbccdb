//! Teller: which usages are told now.
//!
//! Owns what was told last. A usage is told when it changes by much, and else a few times a second, so that the cost of
//! reports does not grow with the organisations that are far from their limits.

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::quota::usage::{Key, Usage};

/// Longest time after which a usage is told again. Not measured; a quarter of [`FRESH`](super::reports::FRESH).
const PERIOD: Duration = Duration::from_millis(380);

/// Change that is told at once, as a part of the organisation's limit. Not measured.
const CHANGE_PART: f64 = 0.05;

/// Smallest change that is told at once, in requests a second: one or two requests change a rate by less. Not measured.
const LEAST_CHANGE: f64 = 2.0;

/// What was told last.
#[derive(Clone, Debug, Default)]
pub struct Teller {
    told: collections::BTreeMap<Key, (Usage, Instant)>,
}

impl Teller {
    /// Returns the rate that was told last; none when none was told lately.
    #[must_use]
    pub fn told(&self, key: Key) -> Option<f64> {
        self.told.get(&key).map(|(usage, _)| usage.rate)
    }

    /// Returns `usage` if it is to be told now; `limit` is the limit of its organisation.
    pub fn tell(&mut self, usage: Usage, limit: f64, now: Instant) -> Option<Usage> {
        let is_due = match self.told.get(&usage.key) {
            None => true,
            Some((told, at)) => {
                let change = (usage.rate - told.rate).abs();
                let is_large = change >= (limit * CHANGE_PART).max(LEAST_CHANGE);
                let is_newly_near = usage.is_near && !told.is_near;
                is_large || is_newly_near || now.saturating_duration_since(*at) >= PERIOD
            }
        };
        is_due.then(|| {
            self.told.insert(usage.key, (usage, now));
            usage
        })
    }

    /// Forgets what has not been told for long.
    pub fn expire(&mut self, after: Duration, now: Instant) {
        self.told.retain(|_, (_, at)| now.saturating_duration_since(*at) < after);
    }
}
