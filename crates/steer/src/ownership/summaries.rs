//! Summaries: what owners and regions tell of their slots and arrivals.
//!
//! Homes' summaries stay inside their region, where every node sums them up; regions' summaries go
//! everywhere.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;

use crate::ownership::heartbeat;

/// Age at which an owner's summary says nothing any more.
pub const OWNER_LIFE: Duration = Duration::from_secs(4);

/// Age at which a region's summary says nothing any more.
const REGION_LIFE: Duration = Duration::from_secs(6);

/// Time between two sums of a region.
const SUM_EVERY: Duration = Duration::from_secs(1);

/// Age at which a summary's rates are no longer taken as demand.
const RATES_LIFE: Duration = Duration::from_secs(60);

/// Summaries that were heard.
#[derive(Debug, Default)]
pub struct Summaries {
    owners: collections::BTreeMap<(id::Service, member::Key), Heard>,
    regions: collections::BTreeMap<(id::Service, id::Region), Heard>,
    summed: Option<Instant>,
}

/// A summary and when it was heard.
#[derive(Debug)]
struct Heard {
    summary: heartbeat::Summary,
    at: Instant,
}

impl Summaries {
    /// Takes in an owner's summary; returns whether it was news.
    pub fn hear(&mut self, summary: &heartbeat::Summary, now: Instant) -> bool {
        let key = (summary.service.clone(), summary.key.clone());
        match self.owners.get(&key) {
            Some(heard) if heard.summary.sequence >= summary.sequence => false,
            _ => {
                self.owners.insert(key, Heard { summary: summary.clone(), at: now });
                true
            }
        }
    }

    /// Returns the summaries that came after `since`, the latest `most` of them, to pass on.
    #[must_use]
    pub fn news(&self, since: Option<Instant>, most: usize) -> Vec<heartbeat::Summary> {
        let is_newer = |heard: &&Heard| since.is_none_or(|since| heard.at > since);
        let mut news: Vec<&Heard> = self.owners.values().filter(is_newer).collect();
        news.sort_by_key(|heard| std::cmp::Reverse(heard.at));
        news.truncate(most);
        news.into_iter().map(|heard| heard.summary.clone()).collect()
    }

    /// Takes in the summary of a whole region; returns whether it was news.
    pub fn hear_region(&mut self, summary: &heartbeat::Summary, now: Instant) -> bool {
        let key = (summary.service.clone(), summary.region.clone());
        match self.regions.get(&key) {
            Some(heard) if heard.summary.sequence >= summary.sequence => false,
            _ => {
                self.regions.insert(key, Heard { summary: summary.clone(), at: now });
                true
            }
        }
    }

    /// Sums up this node's own region, now and then.
    ///
    /// Every node of the region does so. The results are ordered as by Lamport's clock: each takes
    /// the number after the greatest it has heard of, so that a sum without an owner that died is
    /// newer than the sums before it.
    pub fn sum_up(&mut self, me: &heartbeat::Member, now: Instant) {
        let recent = |at: Instant| now.saturating_duration_since(at) < SUM_EVERY;
        if self.summed.is_some_and(recent) {
            return;
        }
        self.summed = Some(now);
        let mut sums: collections::BTreeMap<id::Service, heartbeat::Summary> =
            collections::BTreeMap::new();
        let is_fresh = |h: &&Heard| now.saturating_duration_since(h.at) <= OWNER_LIFE;
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
            sum.sequence = before.map_or(0, |heard| heard.summary.sequence) + 1;
            self.hear_region(&sum, now);
        }
    }

    /// Returns the regions' summaries that came after `since`, to pass on.
    #[must_use]
    pub fn regional_updates(&self, since: Option<Instant>) -> Vec<heartbeat::Summary> {
        let is_newer = |heard: &&Heard| since.is_none_or(|since| heard.at > since);
        self.regions.values().filter(is_newer).map(|heard| heard.summary.clone()).collect()
    }

    /// Returns the regions' summaries that still count.
    pub fn fresh_regions(&self, now: Instant) -> impl Iterator<Item = &heartbeat::Summary> {
        let fresh = move |h: &&Heard| now.saturating_duration_since(h.at) <= REGION_LIFE;
        self.regions.values().filter(fresh).map(|heard| &heard.summary)
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
        let is_fresh = move |h: &Heard| now.saturating_duration_since(h.at) <= REGION_LIFE;
        of_service.map(move |(_, heard)| (&heard.summary, is_fresh(heard)))
    }

    /// Forgets what is too old to say anything.
    pub fn forget(&mut self, now: Instant) {
        let age = |heard: &Heard| now.saturating_duration_since(heard.at);
        self.owners.retain(|_, heard| age(heard) < OWNER_LIFE);
        self.regions.retain(|_, heard| age(heard) < RATES_LIFE);
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
