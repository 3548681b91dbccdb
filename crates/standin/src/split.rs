//! Splits as nodes report them, sampled while they move.
//!
//! Counts of arrivals in a short span tell a shift only to within a few requests; what the nodes have in force is exact.
//! Owns the samples, and how far a split moved within a window.

use std::collections;
use std::time::{Duration, Instant};

use crate::record;

/// One node's split of one place's requests for one service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// The node.
    pub node: String,
    /// Grows each time that the node could not be asked, since it may have started again meanwhile.
    pub start: u32,
    /// The service.
    pub service: String,
    /// The place.
    pub place: String,
}

/// Shares by region, in force at some time between the question and its answer.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When the node was asked.
    pub asked: Instant,
    /// When it answered.
    pub answered: Instant,
    /// Per cent by region.
    pub shares: collections::BTreeMap<String, f64>,
}

impl Sample {
    /// Returns the part of the requests that changed region, from 0 to 1.
    fn distance(&self, other: &Self) -> f64 {
        let of = |shares: &collections::BTreeMap<String, f64>, region: &str| {
            shares.get(region).copied().unwrap_or(0.0)
        };
        let regions: collections::BTreeSet<&String> =
            self.shares.keys().chain(other.shares.keys()).collect();
        let gained = regions.into_iter().map(|r| of(&other.shares, r) - of(&self.shares, r));
        gained.filter(|gain| *gain > 0.0).sum::<f64>() / 100.0
    }
}

/// All samples.
#[derive(Clone, Debug, Default)]
pub struct Samples {
    by_key: collections::BTreeMap<Key, Vec<Sample>>,
}

impl Samples {
    /// Adds a sample; those of one key come in the order of time.
    pub fn add(&mut self, key: Key, sample: Sample) {
        self.by_key.entry(key).or_default().push(sample);
    }

    /// Returns the greatest part of a place's requests for `service` that a node moved within `window`.
    ///
    /// Two samples count only if both were certainly in force within the window.
    #[must_use]
    pub fn greatest_shift(&self, service: &str, window: Duration) -> record::Shift {
        let of_service = self.by_key.iter().filter(|(key, _)| key.service == service);
        let shifts = of_service.map(|(key, samples)| shift_of(key, samples, window));
        shifts.max_by(|a, b| a.share.total_cmp(&b.share)).unwrap_or_default()
    }
}

fn shift_of(key: &Key, samples: &[Sample], window: Duration) -> record::Shift {
    let mut greatest = record::Shift::default();
    for (index, first) in samples.iter().enumerate() {
        let within = |s: &&Sample| s.answered.duration_since(first.asked) <= window;
        for second in samples[index + 1..].iter().take_while(within) {
            let share = first.distance(second);
            if share > greatest.share {
                let (before, after) = (&first.shares, &second.shares);
                let detail = format!("{} at {}: {before:?} to {after:?}", key.place, key.node);
                greatest = record::Shift { share, least: 0, detail };
            }
        }
    }
    greatest
}
