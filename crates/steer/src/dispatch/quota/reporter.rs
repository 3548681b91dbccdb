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

/// Age of a report of another region when it counts, about.
///
/// A node knows its own requests that much sooner than the others' and would take its part for larger than it is while a
/// load rises: of 6,000 drawn fleets some then admitted more than is granted (2,443 of 2,435 in 5 s, the seed is pinned in
/// `steer/tests/quota`).
const LAG: Duration = Duration::from_millis(250);

/// What was reported of one organisation.
#[derive(Clone, Debug)]
struct Reported {
    usage: Usage,
    at: Instant,
    /// Rates by the time at which they were reported, the latest last; only the first may be older than [`LAG`].
    rates: collections::VecDeque<(Instant, f64)>,
}

/// What was reported last.
#[derive(Clone, Debug, Default)]
pub struct Reporter {
    reported: collections::BTreeMap<Key, Reported>,
}

impl Reporter {
    /// Returns the rate that the others know by now, if any was reported lately.
    #[must_use]
    pub fn reported(&self, key: Key) -> Option<f64> {
        self.reported.get(&key)?.rates.front().map(|(_, rate)| *rate)
    }

    /// Returns `usage` if it is to be reported now; `limit` is the limit of its organisation.
    pub fn report(&mut self, usage: Usage, limit: f64, now: Instant) -> Option<Usage> {
        let known = self.reported.get_mut(&usage.key);
        let is_due = known.as_ref().is_none_or(|known| known.is_due(usage, limit, now));
        if !is_due {
            return None;
        }
        match known {
            Some(known) => known.replace(usage, now),
            None => {
                let rates = collections::VecDeque::from([(now, usage.rate)]);
                self.reported.insert(usage.key, Reported { usage, at: now, rates });
            }
        }
        Some(usage)
    }

    /// Forgets what has not been reported for long.
    pub fn expire(&mut self, after: Duration, now: Instant) {
        self.reported.retain(|_, known| now.saturating_duration_since(known.at) < after);
    }
}

impl Reported {
    fn is_due(&self, usage: Usage, limit: f64, now: Instant) -> bool {
        let change = (usage.rate - self.usage.rate).abs();
        let is_large = change >= (limit * CHANGE_PART).max(LEAST_CHANGE);
        let is_newly_near = usage.is_near && !self.usage.is_near;
        is_large || is_newly_near || now.saturating_duration_since(self.at) >= PERIOD
    }

    fn replace(&mut self, usage: Usage, now: Instant) {
        self.rates.push_back((now, usage.rate));
        // The second one is old enough, so that the first is no longer the one before the lag.
        while self.rates.get(1).is_some_and(|(at, _)| now.saturating_duration_since(*at) >= LAG) {
            self.rates.pop_front();
        }
        (self.usage, self.at) = (usage, now);
    }
}
