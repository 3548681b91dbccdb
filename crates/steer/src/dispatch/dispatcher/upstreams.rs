//! Upstreams: what the dispatcher learns from service discovery and from evacuations.

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
        let mut before = self.upstreams.take();
        let known = before.len();
        let listed = entries.map(|entry| match before.remove(&entry.id) {
            Some(known) if known.entry.born == entry.born => renewed(known, entry, now),
            // One that started again under its name knows nothing of before, and has none of its old requests.
            Some(former) => {
                self.limits.forget(former.key, now);
                self.discovered(entry, now)
            }
            None => self.discovered(entry, now),
        });
        let mut upstreams: Vec<upstream::Upstream> = listed.collect();
        before.retain(|_, upstream| upstream.is_usable(now));
        let until = self.source.used_until(before.len(), known, &self.bounds, now);
        upstreams.extend(before.into_values().filter_map(|mut upstream| {
            upstream.lapsed_until = upstream.lapsed_until.or(until);
            upstream.lapsed_until.is_some().then_some(upstream)
        }));
        self.upstreams = index::Index::new(upstreams);
        self.assign_cold(now);
    }

    /// Makes an upstream of a new entry; other nodes may have reported its load before.
    fn discovered(&self, entry: sync::Arc<discovery::Entry>, now: Instant) -> upstream::Upstream {
        let region = self.position.region_of(&entry.hall);
        let mut upstream = upstream::Upstream::new(entry, region, now);
        upstream.load.set_peers(self.peers.total(upstream.key));
        let incarnation = incarnation::Incarnation::of(&upstream.entry);
        upstream.says_leaving = self.leavings.get(&incarnation).is_some();
        upstream.rests_until = self.rests.until(&incarnation);
        upstream
    }

    /// Drops upstreams whose lapsed entries were not written again in time.
    pub(super) fn drop_lapsed(&mut self, now: Instant) {
        self.upstreams.retain(|u| u.lapsed_until.is_none_or(|until| now < until));
    }

    /// Works out which cold upstreams this node may send to.
    ///
    /// Kept with them, since a request may pass by many cold ones: with a hundred nodes in a region each look at the
    /// owner would hash a hundred names.
    pub(super) fn assign_cold(&mut self, now: Instant) {
        let (owners, position) = (&self.owners, &self.position);
        for upstream in self.upstreams.iter_mut().filter(|u| u.slow_start.is_cold(now)) {
            let owner = owners.of(&upstream.entry.id, &upstream.region, &position.region);
            upstream.is_owned = owner == Some(&position.node);
        }
    }

    /// Returns whether `entries` differ from those in force.
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

    /// Returns how many upstreams of a service may be sent requests, as far as this node knows.
    #[must_use]
    pub fn count_working(&self, service: &id::Service, now: Instant) -> usize {
        let of_service = self.upstreams.of_service(service);
        let takes_work = |u: &&upstream::Upstream| {
            u.is_usable(now) && !u.is_resting(now) && !u.health.is_ejected(now)
        };
        of_service.filter(takes_work).count()
    }

    /// Returns whether an upstream that was chosen may still be sent a request of this node.
    #[must_use]
    pub fn takes_work(&self, upstream: &discovery::Entry, now: Instant) -> bool {
        let known = self.upstreams.get(&upstream.id).filter(|u| u.entry.born == upstream.born);
        known.is_some_and(|known| eligibility::takes_work(known, &self.evacuated, now))
    }

    /// Returns the upstreams that are used without an entry.
    #[must_use]
    pub fn lapsed(&self) -> collections::BTreeSet<id::Upstream> {
        let lapsed = self.upstreams.iter().filter(|u| u.lapsed_until.is_some());
        lapsed.map(|u| u.entry.id.clone()).collect()
    }

    /// Returns whether an upstream is used without an entry.
    #[must_use]
    pub fn is_lapsed(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(|u| u.lapsed_until.is_some())
    }

    /// Records a call to the source of entries that began at `began` and failed.
    pub fn source_failed(&mut self, began: Instant) {
        self.source.record_failure(began);
    }

    /// Returns the evacuated halls, whose upstreams get no requests.
    #[must_use]
    pub fn evacuated(&self) -> &collections::BTreeSet<id::Hall> {
        &self.evacuated
    }

    /// Replaces the evacuated halls.
    ///
    /// Upstreams of a hall that is no longer evacuated count as cold, since they may be.
    pub fn set_evacuated(&mut self, halls: collections::BTreeSet<id::Hall>, now: Instant) {
        let returned: Vec<id::Hall> = self.evacuated.difference(&halls).cloned().collect();
        for upstream in self.upstreams.iter_mut() {
            if returned.contains(&upstream.entry.hall) {
                let rules = self.routing.services.get(&upstream.entry.service);
                upstream.slow_start.set_cold(rules.map_or(Duration::ZERO, |r| r.cold_start), now);
            }
        }
        self.evacuated = halls;
        self.assign_cold(now);
    }
}

/// Applies a listed entry to a known upstream, whose load and health stay.
fn renewed(
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
