//! Summaries: the slots and arrival rates that owners and regions report.
//!
//! Summaries of owners are sent only within their region, where every node adds them up. The resulting
//! summaries of regions are sent to all nodes.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;

use crate::ownership::heartbeat;

/// Age above which an owner's summary is ignored: four of its periods.
pub const OWNER_LIFE: Duration = Duration::from_secs(4);

/// Age above which a region's summary is ignored: six of its periods.
const REGION_LIFE: Duration = Duration::from_secs(6);

/// Minimum time between two summaries that this node makes of its region.
const SUM_PERIOD: Duration = Duration::from_secs(1);

/// Age at which a region's rates are no longer counted as demand. Longer than [`REGION_LIFE`], so that
/// the other regions still provide for the demand of a lost region.
const RATES_LIFE: Duration = Duration::from_secs(60);

/// The latest summary of each owner and region.
#[derive(Debug, Default)]
pub struct Summaries {
    owners: collections::BTreeMap<(id::Service, member::Key), Received>,
    regions: collections::BTreeMap<(id::Service, id::Region), Received>,
    summed: Option<Instant>,
}

/// A summary and when it arrived.
#[derive(Debug)]
struct Received {
    summary: heartbeat::Summary,
    at: Instant,
}

impl Summaries {
    /// Records an owner's summary; returns whether it is newer than the previous one.
    pub fn record(&mut self, summary: &heartbeat::Summary, now: Instant) -> bool {
        let key = (summary.service.clone(), summary.key.clone());
        match self.owners.get(&key) {
            Some(received) if received.summary.sequence >= summary.sequence => false,
            _ => {
                self.owners.insert(key, Received { summary: summary.clone(), at: now });
                true
            }
        }
    }

    /// Returns the latest `most` of the owners' summaries that arrived after `since`.
    #[must_use]
    pub fn changes(&self, since: Option<Instant>, most: usize) -> Vec<heartbeat::Summary> {
        let is_newer = |received: &&Received| since.is_none_or(|since| received.at > since);
        let mut newer: Vec<&Received> = self.owners.values().filter(is_newer).collect();
        newer.sort_by_key(|received| std::cmp::Reverse(received.at));
        newer.truncate(most);
        newer.into_iter().map(|received| received.summary.clone()).collect()
    }

    /// Records a region's summary; returns whether it is newer than the previous one.
    pub fn record_region(&mut self, summary: &heartbeat::Summary, now: Instant) -> bool {
        let key = (summary.service.clone(), summary.region.clone());
        match self.regions.get(&key) {
            Some(received) if received.summary.sequence >= summary.sequence => false,
            _ => {
                self.regions.insert(key, Received { summary: summary.clone(), at: now });
                true
            }
        }
    }

    /// Makes the summary of this node's region, at most once per `SUM_PERIOD`.
    ///
    /// Every node of the region does so. Sequence numbers work like a Lamport clock: each summary gets
    /// the number after the highest known one, so that a summary without a dead owner supersedes the
    /// earlier ones.
    pub fn sum_up(&mut self, me: &heartbeat::Member, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < SUM_PERIOD;
        if self.summed.is_some_and(recent) {
            return;
        }
        self.summed = Some(now);
        let mut sums: collections::BTreeMap<id::Service, heartbeat::Summary> =
            collections::BTreeMap::new();
        let is_fresh =
            |received: &&Received| now.saturating_duration_since(received.at) <= OWNER_LIFE;
        let owners = self.owners.values().filter(is_fresh).map(|received| &received.summary);
        for summary in owners.filter(|s| s.region == me.region) {
            match sums.get_mut(&summary.service) {
                Some(sum) => add(sum, summary),
                None => {
                    let sum = heartbeat::Summary { key: me.key.clone(), ..summary.clone() };
                    sums.insert(summary.service.clone(), sum);
                }
            }
        }
        for (service, mut sum) in sums {
            let before = self.regions.get(&(service, me.region.clone()));
            sum.sequence = before.map_or(0, |received| received.summary.sequence) + 1;
            self.record_region(&sum, now);
        }
    }

    /// Returns the regions' summaries that arrived after `since`.
    #[must_use]
    pub fn region_changes(&self, since: Option<Instant>) -> Vec<heartbeat::Summary> {
        let is_newer = |received: &&Received| since.is_none_or(|since| received.at > since);
        self.regions.values().filter(is_newer).map(|received| received.summary.clone()).collect()
    }

    /// Returns the regions' summaries that are not older than `REGION_LIFE`.
    pub fn fresh_regions(&self, now: Instant) -> impl Iterator<Item = &heartbeat::Summary> {
        let fresh =
            move |received: &&Received| now.saturating_duration_since(received.at) <= REGION_LIFE;
        self.regions.values().filter(fresh).map(|received| &received.summary)
    }

    /// Returns the regions' summaries of a service, each with whether it is not older than `REGION_LIFE`.
    pub fn regions_of<'a>(
        &'a self,
        service: &'a id::Service,
        now: Instant,
    ) -> impl Iterator<Item = (&'a heartbeat::Summary, bool)> {
        let first = (service.clone(), id::Region::new(""));
        let of_service = self.regions.range(first..);
        let of_service = of_service.take_while(move |((name, _), _)| name == service);
        let is_fresh =
            move |received: &Received| now.saturating_duration_since(received.at) <= REGION_LIFE;
        of_service.map(move |(_, received)| (&received.summary, is_fresh(received)))
    }

    /// Removes summaries that are too old to be used.
    pub fn expire(&mut self, now: Instant) {
        let age = |received: &Received| now.saturating_duration_since(received.at);
        self.owners.retain(|_, received| age(received) < OWNER_LIFE);
        self.regions.retain(|_, received| age(received) < RATES_LIFE);
    }
}

/// Adds an owner's summary to that of its region.
fn add(sum: &mut heartbeat::Summary, owner: &heartbeat::Summary) {
    sum.usable += owner.usable;
    sum.in_flight += owner.in_flight;
    sum.queued += owner.queued;
    for (place, rate) in &owner.rates {
        match sum.rates.iter_mut().find(|(other, _)| other == place) {
            Some((_, total)) => *total += rate,
            None => sum.rates.push((place.clone(), *rate)),
        }
    }
}
