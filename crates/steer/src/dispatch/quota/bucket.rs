//! Bucket: what a node may still admit of an organisation.
//!
//! Goes below zero by what is admitted while the organisation seems to stay below its limit, so that what a burst gets
//! before the nodes know of it is taken from what it gets afterwards. A node's part may be far less than one request
//! a second; a request is then admitted by chance, so that many such parts still sum to the limit.

use std::time::{Duration, Instant};

use crate::dispatch::quota::part;

/// Step of the sequence that stands for chance: the golden ratio, whose multiples spread evenly between 0 and 1.
const STEP: f64 = 0.618_033_988_749_895;

/// Tokens, one a request.
#[derive(Clone, Copy, Debug)]
pub struct Bucket {
    level: f64,
    at: Instant,
    chance: f64,
}

impl Bucket {
    /// Starts empty, so that a node that starts again gives no burst anew; `seed` differs between nodes.
    #[must_use]
    pub fn new(seed: u64, now: Instant) -> Self {
        #[expect(clippy::cast_precision_loss, reason = "any fraction will do")]
        let chance = seed as f64 / u64::MAX as f64;
        Self { level: 0.0, at: now, chance }
    }

    /// Fills it at `refill` tokens a second, up to `capacity`.
    pub fn advance(&mut self, refill: f64, capacity: f64, now: Instant) {
        let passed = now.saturating_duration_since(self.at).as_secs_f64();
        self.level = (self.level + passed * refill).min(capacity);
        self.at = now;
    }

    /// Returns whether a request is admitted of which the whole fleet may admit `part`, from 0 to 1.
    pub fn admits(&mut self, part: f64) -> bool {
        self.chance = (self.chance + STEP).fract();
        self.chance < part + self.level
    }

    /// Takes a token; the debt stays within `capacity`, or one.
    pub fn take(&mut self, capacity: f64) {
        self.level = (self.level - 1.0).max(-capacity.max(1.0));
    }

    /// Gives a token back.
    pub fn give_back(&mut self) {
        self.level += 1.0;
    }

    /// Returns the time until the debt is paid and one more request has room in the whole fleet.
    #[must_use]
    pub fn time_to_room(&self, part: &part::Part) -> Duration {
        let debt = (-self.level).max(0.0) / part.refill();
        Duration::try_from_secs_f64(debt + 1.0 / part.limit).unwrap_or(Duration::MAX)
    }
}
