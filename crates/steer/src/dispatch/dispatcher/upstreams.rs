//! Upstream updates from service discovery and evacuations.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::incarnation;
use crate::dispatch::index;
use crate::dispatch::upstream;

impl Dispatcher {
    /// Replaces the entries of service discovery.
    pub fn set_upstreams(
        &mut self,
        entries: impl Iterator<Item = sync::Arc<discovery::Entry>>,
        now: Instant,
    ) {
        let mut unlisted = self.upstreams.take();
        let known = unlisted.len();
        let listed = entries.map(|entry| match unlisted.remove(&entry.id) {
            Some(known) if known.entry.born == entry.born => with_entry(known, entry, now),
            // A restarted process has the same name but none of the previous state or requests.
            Some(previous) => {
                self.limits.forget(previous.key, now);
                self.new_upstream(entry, now)
            }
            None => self.new_upstream(entry, now),
        });
        let mut upstreams: Vec<upstream::Upstream> = listed.collect();
        unlisted.retain(|_, upstream| upstream.is_usable(now));
        let until = self.source.used_until(unlisted.len(), known, &self.bounds, now);
        upstreams.extend(unlisted.into_values().filter_map(|mut upstream| {
            upstream.lapsed_until = upstream.lapsed_until.or(until);
            upstream.lapsed_until.is_some().then_some(upstream)
        }));
        self.upstreams = index::Index::new(upstreams);
        self.assign_slow_start_owners(now);
    }

    /// Creates an upstream for a new entry and applies what is already known of its process: peer
    /// load, leaving and rest.
    fn new_upstream(&self, entry: sync::Arc<discovery::Entry>, now: Instant) -> upstream::Upstream {
        let region = self.position.region_of(&entry.hall);
        let mut upstream = upstream::Upstream::new(entry, region, now);
        upstream.load.set_peers(self.peers.total(upstream.key));
        let incarnation = incarnation::Incarnation::of(&upstream.entry);
        upstream.announced_leaving = self.leavings.get(&incarnation).is_some();
        upstream.rests_until = self.rests.until(&incarnation);
        upstream
    }

    /// Drops upstreams whose entries lapsed and were not restored in time.
    pub(super) fn drop_lapsed(&mut self, now: Instant) {
        self.upstreams.retain(|u| u.lapsed_until.is_none_or(|until| now < until));
    }

    /// Determines which cold upstreams this node may send to.
    ///
    /// The result is cached in the upstreams, since a request may visit many cold ones and finding an
    /// owner among a hundred nodes of a region means hashing a hundred names.
    pub(super) fn assign_slow_start_owners(&mut self, now: Instant) {
        let (owners, position) = (&self.owners, &self.position);
        for upstream in self.upstreams.iter_mut().filter(|u| u.slow_start.is_cold(now)) {
            let owner = owners.of(&upstream.entry.id, &upstream.region, &position.region);
            upstream.is_slow_start_owner = owner == Some(&position.node);
        }
    }

    /// Returns whether `entries` differ from the current ones.
    #[must_use]
    pub fn differs(&self, entries: &[sync::Arc<discovery::Entry>]) -> bool {
        let is_known = |e: &sync::Arc<discovery::Entry>| {
            self.upstreams
                .get(&e.id)
                .is_some_and(|known| known.entry == *e && known.lapsed_until.is_none())
        };
        let listed = self.upstreams.iter().filter(|u| u.lapsed_until.is_none()).count();
        entries.len() != listed || !entries.iter().all(is_known)
    }

    /// Returns the number of upstreams of a service that this node considers available, regardless
    /// of evacuations of their halls.
    #[must_use]
    pub fn count_working(&self, service: &id::Service, now: Instant) -> usize {
        let of_service = self.upstreams.of_service(service);
        let takes_work = |u: &&upstream::Upstream| {
            u.is_usable(now) && !u.is_resting(now) && !u.health.is_ejected(now)
        };
        of_service.filter(takes_work).count()
    }

    /// Returns whether a chosen upstream still accepts requests from this node.
    #[must_use]
    pub fn takes_work(&self, upstream: &discovery::Entry, now: Instant) -> bool {
        let known = self.upstreams.get(&upstream.id).filter(|u| u.entry.born == upstream.born);
        known.is_some_and(|known| eligibility::takes_work(known, &self.evacuated, now))
    }

    /// Returns the upstreams that are used although their entries lapsed.
    #[must_use]
    pub fn lapsed(&self) -> collections::BTreeSet<id::Upstream> {
        let lapsed = self.upstreams.iter().filter(|u| u.lapsed_until.is_some());
        lapsed.map(|u| u.entry.id.clone()).collect()
    }

    /// Returns whether an upstream is used although its entry lapsed.
    #[must_use]
    pub fn is_lapsed(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(|u| u.lapsed_until.is_some())
    }

    /// Records a failed call to the source of entries that started at `began`.
    pub fn source_failed(&mut self, began: Instant) {
        self.source.record_failure(began);
    }

    /// Returns the evacuated halls, whose upstreams receive no requests.
    #[must_use]
    pub fn evacuated(&self) -> &collections::BTreeSet<id::Hall> {
        &self.evacuated
    }

    /// Replaces the evacuated halls.
    ///
    /// Upstreams of a hall that is no longer evacuated are treated as cold, since their caches may be.
    pub fn set_evacuated(&mut self, halls: collections::BTreeSet<id::Hall>, now: Instant) {
        let returned: Vec<id::Hall> = self.evacuated.difference(&halls).cloned().collect();
        for upstream in self.upstreams.iter_mut() {
            if returned.contains(&upstream.entry.hall) {
                let rules = self.routing.services.get(&upstream.entry.service);
                upstream.slow_start.set_cold(rules.map_or(Duration::ZERO, |r| r.cold_start), now);
            }
        }
        self.evacuated = halls;
        self.assign_slow_start_owners(now);
    }
}

/// Applies a new version of the entry to an upstream, keeping its load and health.
fn with_entry(
    mut known: upstream::Upstream,
    entry: sync::Arc<discovery::Entry>,
    now: Instant,
) -> upstream::Upstream {
    known.lapsed_until = None;
    if known.entry != entry {
        known.slow_start.set_cold(entry.cold_left, now);
        known.entry = entry;
    }
    known
}
