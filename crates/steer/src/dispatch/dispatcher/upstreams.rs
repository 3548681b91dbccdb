//! Upstreams: what the dispatcher learns from service discovery and from evacuations.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::upstream;

impl Dispatcher {
    /// Replaces the entries of service discovery.
    pub fn set_upstreams(
        &mut self,
        entries: impl Iterator<Item = sync::Arc<discovery::Entry>>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.upstreams);
        let known = before.len();
        for entry in entries {
            let id = entry.id.clone();
            let upstream = match before.remove(&id) {
                Some(known) => renewed(known, entry, now),
                None => {
                    let region = self.position.region_of(&entry.hall);
                    upstream::Upstream::new(entry, region, now)
                }
            };
            self.upstreams.insert(id, upstream);
        }
        before.retain(|_, upstream| upstream.is_usable(now));
        let until = self.source.used_until(before.len(), known, &self.bounds, now);
        for (id, mut upstream) in before {
            upstream.lapsed_until = upstream.lapsed_until.or(until);
            if upstream.lapsed_until.is_some() {
                self.upstreams.insert(id, upstream);
            }
        }
        self.list_services();
    }

    /// Rebuilds the lists of each service's upstreams.
    fn list_services(&mut self) {
        self.services.clear();
        for (id, upstream) in &self.upstreams {
            let service = upstream.entry.service.clone();
            self.services.entry(service).or_default().push(id.clone());
        }
    }

    /// Drops upstreams whose lapsed entries were not written again in time.
    pub(super) fn drop_lapsed(&mut self, now: Instant) {
        let known = self.upstreams.len();
        self.upstreams.retain(|_, b| b.lapsed_until.is_none_or(|until| now < until));
        if self.upstreams.len() < known {
            self.list_services();
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
        let listed = self.upstreams.values().filter(|u| u.lapsed_until.is_none()).count();
        entries.len() != listed || !entries.iter().all(is_known)
    }

    /// Returns the upstreams that are used without an entry.
    #[must_use]
    pub fn lapsed(&self) -> collections::BTreeSet<id::Upstream> {
        let lapsed = self.upstreams.values().filter(|u| u.lapsed_until.is_some());
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
        for upstream in self.upstreams.values_mut() {
            if returned.contains(&upstream.entry.hall) {
                let rules = self.routing.services.get(&upstream.entry.service);
                upstream.slow_start.set_cold(rules.map_or(Duration::ZERO, |r| r.cold_start), now);
            }
        }
        self.evacuated = halls;
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
