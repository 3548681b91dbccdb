//! Reporter: which usages are reported now.
//!
//! Owns what was reported last. A usage is reported when it changes by much, and else a few times a second, so that the cost of
//! reports does not grow with the organisations that are far from their limits.

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::quota::usage::{Key, Usage};

/// Longest time after which a usage is reported again. Not measured; a quarter of [`FRESH`](super::reports::FRESH).
const PERIOD: Duration = Duration::from_millis(380);

/// Change that is reported at once, as a part of the organisation's limit. Not measured.
const CHANGE_PART: f64 = 0.05;

/// Smallest change that is reported at once, in requests a second: one or two requests change a rate by less. Not measured.
const LEAST_CHANGE: f64 = 2.0;

/// What was reported last.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    reported: collections::BTreeMap<Key, (Usage, Instant)>,
}

impl Reporter {
    /// Returns the rate that was reported last; none when none was reported lately.
    #[must_use]
    pub fn reported(&self, key: Key) -> Option<f64> {
        self.reported.get(&key).map(|(usage, _)| usage.rate)
    }

    /// Returns `usage` if it is to be reported now; `limit` is the limit of its organisation.
    pub fn report(&mut self, usage: Usage, limit: f64, now: Instant) -> Option<Usage> {
        let is_due = match self.reported.get(&usage.key) {
            None => true,
            Some((reported, at)) => {
                let change = (usage.rate - reported.rate).abs();
                let is_large = change >= (limit * CHANGE_PART).max(LEAST_CHANGE);
                let is_newly_near = usage.is_near && !reported.is_near;
                is_large || is_newly_near || now.saturating_duration_since(*at) >= PERIOD
            }
        };
        is_due.then(|| {
            self.reported.insert(usage.key, (usage, now));
            usage
        })
    }

    /// Forgets what has not been reported for long.
    pub fn expire(&mut self, after: Duration, now: Instant) {
        self.reported.retain(|_, (_, at)| now.saturating_duration_since(*at) < after);
    }
}
