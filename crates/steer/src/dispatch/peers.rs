//! What other nodes have in flight, as they last told.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

/// Time after which what a node told is no longer believed.
const BELIEVED: Duration = Duration::from_millis(1_000);

/// A short name of an upstream in what nodes tell each other often.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// Returns the short name of `upstream`.
    #[must_use]
    pub fn of(upstream: &id::Upstream) -> Self {
        let hash = xxh3::xxh3_64(upstream.as_str().as_bytes());
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        Self(hash as u32)
    }
}

/// What one node told.
#[derive(Clone, Debug)]
struct Told {
    requests: Vec<(Key, u32)>,
    at: Instant,
}

/// What other nodes have in flight.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    told: collections::BTreeMap<id::Node, Told>,
}

impl Peers {
    /// Takes what `node` has in flight now.
    pub fn tell(&mut self, node: id::Node, requests: Vec<(Key, u32)>, now: Instant) {
        self.told.insert(node, Told { requests, at: now });
    }

    /// Returns the sum over the `wanted` nodes, by upstream.
    #[must_use]
    pub fn sum(&self, wanted: impl Fn(&id::Node) -> bool, now: Instant) -> Vec<(Key, u32)> {
        let is_believed = |told: &Told| now.saturating_duration_since(told.at) <= BELIEVED;
        let told = self.told.iter().filter(|(node, told)| wanted(node) && is_believed(told));
        let mut sums: collections::BTreeMap<Key, u32> = collections::BTreeMap::new();
        for (key, requests) in told.flat_map(|(_, told)| &told.requests) {
            *sums.entry(*key).or_insert(0) += requests;
        }
        sums.into_iter().collect()
    }

    /// Returns the sum over all nodes, by upstream.
    #[must_use]
    pub fn totals(&mut self, now: Instant) -> collections::HashMap<Key, u32> {
        self.told.retain(|_, told| now.saturating_duration_since(told.at) <= BELIEVED);
        let mut totals = collections::HashMap::new();
        for (key, requests) in self.told.values().flat_map(|told| &told.requests) {
            *totals.entry(*key).or_insert(0) += requests;
        }
        totals
    }
}
