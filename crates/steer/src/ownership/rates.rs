//! Arrival rates: an exponential moving average of the requests per second from each place.
//!
//! [`Rates::update`] is called with every heartbeat.

use std::collections;
use std::time::{Duration, Instant};

use model::id;

/// Time constant of the moving average.
const SMOOTHING: Duration = Duration::from_secs(2);

/// Rate, in requests per second, at or below which a place is removed. Messages carry thousandths.
const LEAST_RATE: f64 = 0.001;

/// Arrival counts and smoothed rates by place.
#[derive(Clone, Debug, Default)]
pub struct Rates {
    counts: collections::BTreeMap<id::Place, u32>,
    rates: collections::BTreeMap<id::Place, f64>,
    since: Option<Instant>,
}

impl Rates {
    /// Counts one arrival.
    pub fn count(&mut self, place: &id::Place) {
        match self.counts.get_mut(place) {
            Some(count) => *count += 1,
            None => {
                self.counts.insert(place.clone(), 1);
            }
        }
    }

    /// Updates the rates with the arrivals counted since the last call.
    pub fn update(&mut self, now: Instant) {
        let Some(since) = self.since.replace(now) else { return };
        let elapsed = now.saturating_duration_since(since).as_secs_f64();
        if elapsed <= 0.0 {
            return;
        }
        let weight = (elapsed / SMOOTHING.as_secs_f64()).min(1.0);
        for place in self.counts.keys() {
            self.rates.entry(place.clone()).or_insert(0.0);
        }
        for (place, rate) in &mut self.rates {
            let count = self.counts.get(place).copied().unwrap_or(0);
            *rate += weight * (f64::from(count) / elapsed - *rate);
        }
        self.rates.retain(|_, rate| *rate > LEAST_RATE);
        self.counts.clear();
    }

    /// Returns the rates, in thousandths of a request per second.
    #[must_use]
    pub fn thousandths(&self) -> Vec<(id::Place, u32)> {
        self.rates.iter().map(|(place, rate)| (place.clone(), thousandths(*rate))).collect()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a rate is positive, and one that is too large saturates at the maximum"
)]
fn thousandths(rate: f64) -> u32 {
    (rate * 1_000.0) as u32
}
