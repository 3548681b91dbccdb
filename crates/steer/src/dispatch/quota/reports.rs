//! Reports: what other nodes reported of the organisations' requests.
//!
//! Owns the latest usage of each node and organisation. One that was not reported again counts no more after [`FRESH`]; of the
//! requests of all organisations it is remembered for some seconds more, since a node that fell silent may go on.

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::quota::usage::{Key, Usage};

/// Time for which a report counts. Not measured; three are lost before one counts no more.
pub const FRESH: Duration = Duration::from_millis(1_500);

/// Time for which the requests of a node that fell silent are remembered.
///
/// Not measured; longer than a node that is cut off keeps its lease and its callers their look-ups.
const REMEMBERED: Duration = Duration::from_secs(15);

/// A usage with when it was reported.
#[derive(Clone, Copy, Debug)]
struct Report {
    usage: Usage,
    at: Instant,
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.at) < FRESH
    }
}

/// The latest usages that other nodes reported.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_key: collections::HashMap<Key, collections::BTreeMap<id::Node, Report>>,
}

impl Reports {
    /// Records what a node reported.
    pub fn record(&mut self, node: &id::Node, usages: &[Usage], now: Instant) {
        for usage in usages {
            let of_key = self.by_key.entry(usage.key).or_default();
            of_key.insert(node.clone(), Report { usage: *usage, at: now });
        }
    }

    /// Returns whether no node reported anything lately.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_key.is_empty()
    }

    /// Returns what is asked of the nodes that are reached; none when none of them reported.
    #[must_use]
    pub fn sum(&self, key: Key, now: Instant) -> Option<f64> {
        let fresh = self.of(key).filter(|report| report.is_fresh(now));
        fresh.map(|report| report.usage.rate).reduce(|sum, rate| sum + rate)
    }

    /// Returns what was asked last of the nodes that are no longer reached.
    #[must_use]
    pub fn silent(&self, key: Key, now: Instant) -> f64 {
        self.of(key).filter(|report| !report.is_fresh(now)).map(|report| report.usage.rate).sum()
    }

    /// Returns the organisations that a node said within `time` are near their limits.
    #[must_use]
    pub fn near(&self, now: Instant, time: Duration) -> Vec<Key> {
        let is_near = |report: &Report| {
            report.usage.is_near && now.saturating_duration_since(report.at) < time
        };
        let near = self.by_key.iter().filter(|(_, of_key)| of_key.values().any(is_near));
        near.map(|(key, _)| *key).collect()
    }

    /// Returns what the `wanted` nodes reported together.
    pub fn sums(&self, wanted: impl Fn(&id::Node) -> bool, now: Instant) -> Vec<Usage> {
        let sum = |(key, of_key): (&Key, &collections::BTreeMap<id::Node, Report>)| {
            let reports = of_key.iter().filter(|(node, r)| r.is_fresh(now) && wanted(node));
            let add = |sum: Option<Usage>, usage: Usage| {
                let sum = sum.unwrap_or(Usage { key: *key, rate: 0.0, is_near: false });
                let is_near = sum.is_near || usage.is_near;
                Some(Usage { rate: sum.rate + usage.rate, is_near, ..sum })
            };
            reports.map(|(_, report)| report.usage).fold(None, add)
        };
        self.by_key.iter().filter_map(sum).collect()
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Instant) {
        let age = |report: &Report| now.saturating_duration_since(report.at);
        self.by_key.retain(|key, of_key| {
            let kept = if *key == Key::ALL { REMEMBERED } else { FRESH.max(super::NEAR_TIME) };
            of_key.retain(|_, report| age(report) < kept);
            !of_key.is_empty()
        });
    }

    fn of(&self, key: Key) -> impl Iterator<Item = &Report> {
        self.by_key.get(&key).into_iter().flat_map(collections::BTreeMap::values)
    }
}
