//! Peer load: what other nodes have in flight, by their latest reports.
//!
//! Owns the latest report of each node. Relies on the gossip of loads between nodes; [`reported_load`]
//! combines the sums with what answers report.
//!
//! [`reported_load`]: crate::dispatch::reported_load

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

/// Time after which a report no longer counts.
///
/// Not measured; ten of the shortest gossip periods, so that a dead node's requests are soon forgotten.
const MAX_AGE: Duration = Duration::from_millis(1_000);

/// Short name of an upstream in the gossip between nodes.
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

/// The latest report of one node.
#[derive(Clone, Debug)]
struct Report {
    requests: Vec<(Key, u32)>,
    at: Instant,
}

/// The latest reports of other nodes.
#[derive(Clone, Debug, Default)]
pub struct Peers {
    reports: collections::BTreeMap<id::Node, Report>,
}

impl Peers {
    /// Replaces the report of `node`.
    pub fn report(&mut self, node: id::Node, requests: Vec<(Key, u32)>, now: Instant) {
        self.reports.insert(node, Report { requests, at: now });
    }

    /// Returns the sums over the `wanted` nodes, by upstream.
    #[must_use]
    pub fn sum(&self, wanted: impl Fn(&id::Node) -> bool, now: Instant) -> Vec<(Key, u32)> {
        let is_recent = |report: &Report| now.saturating_duration_since(report.at) <= MAX_AGE;
        let reports =
            self.reports.iter().filter(|(node, report)| wanted(node) && is_recent(report));
        let mut sums: collections::BTreeMap<Key, u32> = collections::BTreeMap::new();
        for (key, requests) in reports.flat_map(|(_, report)| &report.requests) {
            *sums.entry(*key).or_insert(0) += requests;
        }
        sums.into_iter().collect()
    }

    /// Drops old reports, and returns the sums over all nodes by upstream.
    #[must_use]
    pub fn totals(&mut self, now: Instant) -> collections::HashMap<Key, u32> {
        self.reports.retain(|_, report| now.saturating_duration_since(report.at) <= MAX_AGE);
        let mut totals = collections::HashMap::new();
        for (key, requests) in self.reports.values().flat_map(|report| &report.requests) {
            *totals.entry(*key).or_insert(0) += requests;
        }
        totals
    }
}
