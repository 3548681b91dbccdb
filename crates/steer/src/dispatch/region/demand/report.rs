//! Reports of demand: the rates of first attempts that gateways report to each other.
//!
//! Rates are keyed by the region in which the requests arrive and by service, so reports of several
//! gateways, and sums of such reports, add up.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

/// Age beyond which a report is ignored.
///
/// Covers the loss of three reports in a row, and the time until the next representative forwards
/// sums after the first one died.
const RETENTION: Duration = Duration::from_secs(4);

/// Interval between reports of demand by one gateway.
///
/// Several times the interval of load reports: demand changes slowly, and rates in every load report
/// would cost a named gateway of a large region several kilobytes per second.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between forwarded sums; shorter, since few nodes send them and their delay adds up.
const SUM_INTERVAL: Duration = Duration::from_millis(450);

/// Hash of a region and a service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// Returns the key of the requests for `service` that arrive in `region`.
    #[must_use]
    pub fn of(region: &id::Region, service: &id::Service) -> Self {
        let seed = xxh3::xxh3_64(service.as_str().as_bytes());
        let hash = xxh3::xxh3_64_with_seed(region.as_str().as_bytes(), seed);
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        Self(hash as u32)
    }
}

/// Rate of first attempts for one service in one region.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    /// Region and service.
    pub key: Key,
    /// Requests per second.
    pub per_second: f64,
}

/// Latest report of one node or sum.
#[derive(Clone, Debug)]
struct Report {
    rates: Vec<Rate>,
    received: Instant,
}

impl Report {
    fn is_fresh(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.received) <= RETENTION
    }
}

/// Latest reports of other nodes.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    by_node: collections::BTreeMap<id::Node, Report>,
}

impl Reports {
    /// Replaces the report of `node`, if its load report carries rates.
    pub fn receive(&mut self, node: id::Node, rates: Vec<Rate>, now: Instant) {
        if !rates.is_empty() {
            self.by_node.insert(node, Report { rates, received: now });
        }
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Instant) {
        self.by_node.retain(|_, report| report.is_fresh(now));
    }

    /// Drops all reports.
    pub fn clear(&mut self) {
        self.by_node.clear();
    }

    /// Returns the sums over the nodes that `includes` selects, by key.
    #[must_use]
    pub fn sum(
        &self,
        includes: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> collections::BTreeMap<Key, f64> {
        let reports =
            self.by_node.iter().filter(|(node, report)| includes(node) && report.is_fresh(now));
        let mut sums = collections::BTreeMap::new();
        for rate in reports.flat_map(|(_, report)| &report.rates) {
            *sums.entry(rate.key).or_insert(0.0) += rate.per_second;
        }
        sums
    }
}

/// Timer of a node's own reports or of one forwarded sum.
#[derive(Clone, Copy, Debug, Default)]
pub struct Timer {
    sent_at: Option<Instant>,
}

impl Timer {
    /// Returns whether this node's own report is due, and if so restarts the timer.
    pub fn is_report_due(&mut self, now: Instant) -> bool {
        self.is_due(REPORT_INTERVAL, now)
    }

    /// Returns whether a forwarded sum is due, and if so restarts the timer.
    pub fn is_sum_due(&mut self, now: Instant) -> bool {
        self.is_due(SUM_INTERVAL, now)
    }

    fn is_due(&mut self, interval: Duration, now: Instant) -> bool {
        let is_due =
            self.sent_at.is_none_or(|sent| now.saturating_duration_since(sent) >= interval);
        if is_due {
            self.sent_at = Some(now);
        }
        is_due
    }
}
