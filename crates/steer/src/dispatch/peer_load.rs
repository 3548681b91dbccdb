//! Requests that other nodes have in flight at each upstream, from their latest load reports.
//!
//! Keeps the latest report of each node and the totals over all nodes. Each report updates the
//! totals by its difference from the previous one, because a node in a region of a hundred receives
//! over a hundred reports a second. [`reported_load`] combines the totals with the loads that
//! responses report.
//!
//! [`reported_load`]: crate::dispatch::reported_load

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

/// Age beyond which a report is ignored.
///
/// Ten of the shortest gossip periods, so that the requests of a dead node are soon dropped.
const MAX_REPORT_AGE: Duration = Duration::from_millis(1_000);

/// Hash that identifies an upstream in the gossip between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// Returns the key of `upstream`.
    #[must_use]
    pub fn of(upstream: &id::Upstream) -> Self {
        let hash = xxh3::xxh3_64(upstream.as_str().as_bytes());
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        Self(hash as u32)
    }
}

/// The latest load report of one node.
#[derive(Clone, Debug)]
struct Report {
    requests: Vec<(Key, u32)>,
    received: Instant,
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) <= MAX_REPORT_AGE
    }
}

/// The latest load reports of other nodes, and their totals.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    reports: collections::BTreeMap<id::Node, Report>,
    totals: collections::HashMap<Key, u32>,
}

impl PeerLoads {
    /// Replaces the report of `node`; returns the upstreams whose totals may have changed.
    pub fn report(&mut self, node: id::Node, requests: Vec<(Key, u32)>, now: Instant) -> Vec<Key> {
        for (key, requests) in &requests {
            *self.totals.entry(*key).or_insert(0) += requests;
        }
        let mut changed: Vec<Key> = requests.iter().map(|(key, _)| *key).collect();
        if let Some(previous) = self.reports.insert(node, Report { requests, received: now }) {
            changed.extend(previous.requests.iter().map(|(key, _)| *key));
            self.subtract(&previous);
        }
        changed
    }

    /// Removes reports that are too old; returns the upstreams whose totals may have changed.
    pub fn expire(&mut self, now: Instant) -> Vec<Key> {
        let is_old = |_: &id::Node, report: &mut Report| !report.is_fresh(now);
        let expired: Vec<_> = self.reports.extract_if(.., is_old).collect();
        for (_, report) in &expired {
            self.subtract(report);
        }
        expired.iter().flat_map(|(_, report)| &report.requests).map(|(key, _)| *key).collect()
    }

    /// Returns how many requests the other nodes together have in flight at an upstream.
    #[must_use]
    pub fn total(&self, key: Key) -> u32 {
        self.totals.get(&key).copied().unwrap_or(0)
    }

    fn subtract(&mut self, report: &Report) {
        for (key, requests) in &report.requests {
            if let collections::hash_map::Entry::Occupied(mut total) = self.totals.entry(*key) {
                *total.get_mut() = total.get().saturating_sub(*requests);
                if *total.get() == 0 {
                    total.remove();
                }
            }
        }
    }

    /// Returns the totals over the nodes that `includes` selects, by upstream.
    #[must_use]
    pub fn sum(&self, includes: impl Fn(&id::Node) -> bool, now: Instant) -> Vec<(Key, u32)> {
        let reports =
            self.reports.iter().filter(|(node, report)| includes(node) && report.is_fresh(now));
        let mut sums: collections::BTreeMap<Key, u32> = collections::BTreeMap::new();
        for (key, requests) in reports.flat_map(|(_, report)| &report.requests) {
            *sums.entry(*key).or_insert(0) += requests;
        }
        sums.into_iter().collect()
    }
}
