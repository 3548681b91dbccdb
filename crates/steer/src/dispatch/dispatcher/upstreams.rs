//! Upstream updates from service discovery and evacuations.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::incarnation;
use crate::dispatch::upstream;

impl Dispatcher {
    /// Replaces the entries of service discovery.
    pub fn set_upstreams(
        &mut self,
        entries: impl Iterator<Item = sync::Arc<discovery::Entry>>,
        now: Instant,
    ) {
        let entries: Vec<_> = entries.collect();
        let listed: collections::HashSet<&id::Upstream> = entries.iter().map(|e| &e.id).collect();
        let names = self.upstreams.iter().map(|known| &known.entry.id);
        let removed: Vec<id::Upstream> =
            names.filter(|name| !listed.contains(name)).cloned().collect();
        self.update_upstreams(entries, &removed, now);
    }

    /// Applies entries of service discovery that were written or `removed`; the others stay as they are.
    pub fn update_upstreams(
        &mut self,
        written: Vec<sync::Arc<discovery::Entry>>,
        removed: &[id::Upstream],
        now: Instant,
    ) {
        let known = self.upstreams.len();
        let is_written: collections::HashSet<id::Upstream> =
            written.iter().map(|entry| entry.id.clone()).collect();
        for entry in written {
            self.write_upstream(entry, now);
        }
        let unlisted: collections::BTreeSet<id::Upstream> =
            removed.iter().chain(&self.lapsed).cloned().collect();
        let unlisted = unlisted.into_iter().filter(|name| !is_written.contains(name));
        self.remove_upstreams(&unlisted.collect::<Vec<_>>(), known, now);
    }

    /// Applies the entry of one upstream.
    fn write_upstream(&mut self, entry: sync::Arc<discovery::Entry>, now: Instant) {
        let region = self.position.region_of(&entry.hall);
        let is_in_place = |known: &upstream::Upstream| {
            known.entry.born == entry.born
                && known.entry.service == entry.service
                && known.region == region
        };
        let name = entry.id.clone();
        self.lapsed.remove(&name);
        match self.upstreams.get_mut(&name) {
            Some(known) if is_in_place(known) => replace_entry(known, entry, now),
            Some(known) if known.entry.born == entry.born => {
                if let Some(mut moved) = self.remove_upstream(&name) {
                    moved.region = region;
                    replace_entry(&mut moved, entry, now);
                    self.insert_upstream(moved);
                }
            }
            // A restarted process has the same name but none of the previous state or requests.
            Some(_) => {
                if let Some(previous) = self.remove_upstream(&name) {
                    self.limits.forget(previous.key, now);
                }
                self.insert_upstream(self.new_upstream(entry, now));
            }
            None => self.insert_upstream(self.new_upstream(entry, now)),
        }
        self.assign_slow_start_owner(&name, now);
    }

    /// Drops upstreams whose entries were removed, or keeps those that may only have lapsed; `known` is the
    /// number of all upstreams before.
    fn remove_upstreams(&mut self, unlisted: &[id::Upstream], known: usize, now: Instant) {
        let (usable, unusable): (Vec<&id::Upstream>, Vec<_>) = unlisted
            .iter()
            .partition(|name| self.upstreams.get(name).is_some_and(|u| u.is_usable(now)));
        let until = self.source.used_until(usable.len(), known, &self.bounds, now);
        for name in unusable {
            self.remove_upstream(name);
        }
        for name in usable {
            let Some(upstream) = self.upstreams.get_mut(name) else { continue };
            upstream.lapsed_until = upstream.lapsed_until.or(until);
            match upstream.lapsed_until {
                Some(_) => _ = self.lapsed.insert(name.clone()),
                None => _ = self.remove_upstream(name),
            }
        }
    }

    fn insert_upstream(&mut self, upstream: upstream::Upstream) {
        self.has_shares = false;
        if upstream.announced_leaving {
            self.leaving_digest.toggle(incarnation::Incarnation::of(&upstream.entry).hash());
        }
        self.upstreams.insert(upstream);
    }

    fn remove_upstream(&mut self, name: &id::Upstream) -> Option<upstream::Upstream> {
        self.lapsed.remove(name);
        let removed = self.upstreams.remove(name)?;
        if removed.announced_leaving {
            self.leaving_digest.toggle(incarnation::Incarnation::of(&removed.entry).hash());
        }
        Some(removed)
    }

    /// Creates an upstream for a new entry and applies what is already known of its process: peer
    /// load, leaving and rest.
    fn new_upstream(&self, entry: sync::Arc<discovery::Entry>, now: Instant) -> upstream::Upstream {
        let region = self.position.region_of(&entry.hall);
        let mut upstream = upstream::Upstream::new(entry, region, now);
        upstream.load.set_peers(self.peers.total(upstream.key), now);
        upstream.load.set_peer_queued(self.queues.total(upstream.key), now);
        let incarnation = incarnation::Incarnation::of(&upstream.entry);
        upstream.announced_leaving = self.leavings.get(&incarnation).is_some();
        upstream.rests_until = self.rests.until(&incarnation);
        upstream
    }

    /// Drops upstreams whose entries lapsed and were not restored in time.
    pub(super) fn drop_lapsed(&mut self, now: Instant) {
        let has_ended = |name: &&id::Upstream| {
            let known = self.upstreams.get(name);
            known.is_none_or(|u| u.lapsed_until.is_none_or(|until| now >= until))
        };
        let ended: Vec<id::Upstream> = self.lapsed.iter().filter(has_ended).cloned().collect();
        for name in &ended {
            self.remove_upstream(name);
        }
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

    /// Determines whether this node may send to one upstream while it is cold.
    fn assign_slow_start_owner(&mut self, name: &id::Upstream, now: Instant) {
        let (owners, position) = (&self.owners, &self.position);
        let known = self.upstreams.get_mut(name).filter(|u| u.slow_start.is_cold(now));
        if let Some(upstream) = known {
            let owner = owners.of(name, &upstream.region, &position.region);
            upstream.is_slow_start_owner = owner == Some(&position.node);
        }
    }

    /// Returns whether `entries` differ from the current ones.
    #[must_use]
    pub fn differs(&self, entries: &[sync::Arc<discovery::Entry>]) -> bool {
        let listed = self.upstreams.len() - self.lapsed.len();
        entries.len() != listed || entries.iter().any(|entry| self.is_news(entry))
    }

    /// Returns whether an entry is not in force as it is.
    #[must_use]
    pub fn is_news(&self, entry: &sync::Arc<discovery::Entry>) -> bool {
        let known = self.upstreams.get(&entry.id);
        !known.is_some_and(|known| known.entry == *entry && known.lapsed_until.is_none())
    }

    /// Returns whether an upstream has an entry.
    #[must_use]
    pub fn is_listed(&self, upstream: &id::Upstream) -> bool {
        self.upstreams.get(upstream).is_some_and(|known| known.lapsed_until.is_none())
    }

    /// Returns the number of upstreams, those included whose entries lapsed.
    #[must_use]
    pub fn count(&self) -> usize {
        self.upstreams.len()
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
    pub fn lapsed(&self) -> &collections::BTreeSet<id::Upstream> {
        &self.lapsed
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
fn replace_entry(known: &mut upstream::Upstream, entry: sync::Arc<discovery::Entry>, now: Instant) {
    known.lapsed_until = None;
    if known.entry != entry {
        known.slow_start.set_cold(entry.cold_left, now);
        known.entry = entry;
    }
}
