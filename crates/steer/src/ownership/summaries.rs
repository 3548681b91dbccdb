//! Summaries: what owners and regions report of their slots and arrivals.
//!
//! Owners' summaries stay inside their region, where every node sums them up; regions' summaries go
//! everywhere. Owns the last summary of each and when it arrived. Relies on [`heartbeat`] for the form.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;

use crate::ownership::heartbeat;

/// Age at which an owner's summary is ignored. Not measured; four of its periods.
pub const OWNER_LIFE: Duration = Duration::from_secs(4);

/// Age at which a region's summary is ignored. Not measured; six of its periods.
const REGION_LIFE: Duration = Duration::from_secs(6);

/// Time between two sums of a region. Not measured.
const SUM_PERIOD: Duration = Duration::from_secs(1);

/// Age at which a summary's rates are no longer taken as demand. Not measured; a lost region's demand
/// must outlive the region's own summary, for the others to make room for it.
const RATES_LIFE: Duration = Duration::from_secs(60);

/// The last summary of each owner and region.
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
    /// Records an owner's summary; returns whether it is newer than the last.
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

    /// Returns the owners' summaries that arrived after `since`, the latest `most` of them.
    #[must_use]
    pub fn changes(&self, since: Option<Instant>, most: usize) -> Vec<heartbeat::Summary> {
        let is_newer = |received: &&Received| since.is_none_or(|since| received.at > since);
        let mut newer: Vec<&Received> = self.owners.values().filter(is_newer).collect();
        newer.sort_by_key(|received| std::cmp::Reverse(received.at));
        newer.truncate(most);
        newer.into_iter().map(|received| received.summary.clone()).collect()
    }

    /// Records the summary of a whole region; returns whether it is newer than the last.
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

    /// Sums up this node's own region, once in every `SUM_PERIOD`.
    ///
    /// Every node of the region does so. The results are ordered as by Lamport's clock: each takes
    /// the number after the greatest it knows, so that a sum without an owner that died is
    /// newer than the sums before it.
    pub fn sum_up(&mut self, me: &heartbeat::Member, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < SUM_PERIOD;
        if self.summed.is_some_and(recent) {
            return;
        }
        self.summed = Some(now);
        let mut sums: collections::BTreeMap<id::Service, heartbeat::Summary> =
            collections::BTreeMap::new();
        let is_fresh = |h: &&Received| now.saturating_duration_since(h.at) <= OWNER_LIFE;
        let owners = self.owners.values().filter(is_fresh).map(|h| &h.summary);
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

    /// Returns the regions' summaries that still count.
    pub fn fresh_regions(&self, now: Instant) -> impl Iterator<Item = &heartbeat::Summary> {
        let fresh = move |h: &&Received| now.saturating_duration_since(h.at) <= REGION_LIFE;
        self.regions.values().filter(fresh).map(|received| &received.summary)
    }

    /// Returns the regions' summaries of a service, and whether each still counts.
    pub fn regions_of<'a>(
        &'a self,
        service: &'a id::Service,
        now: Instant,
    ) -> impl Iterator<Item = (&'a heartbeat::Summary, bool)> {
        let first = (service.clone(), id::Region::new(""));
        let of_service = self.regions.range(first..);
        let of_service = of_service.take_while(move |((name, _), _)| name == service);
        let is_fresh = move |h: &Received| now.saturating_duration_since(h.at) <= REGION_LIFE;
        of_service.map(move |(_, received)| (&received.summary, is_fresh(received)))
    }

    /// Forgets what is too old to be read.
    pub fn forget(&mut self, now: Instant) {
        let age = |received: &Received| now.saturating_duration_since(received.at);
        self.owners.retain(|_, received| age(received) < OWNER_LIFE);
        self.regions.retain(|_, received| age(received) < RATES_LIFE);
    }
}

/// Adds an owner's summary to its region's.
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
