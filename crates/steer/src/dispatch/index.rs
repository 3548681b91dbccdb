//! Index: the upstreams known to a node, by name, by key, and by service and region.
//!
//! Owns the upstreams. Groups hold positions in one vector, so that a request visits its few
//! candidates instead of all upstreams. The index is rebuilt whenever entries change, which is rare
//! compared to requests. [`preference`] orders the members of a group.

use std::collections;

use model::id;

use crate::dispatch::peer_load;
use crate::dispatch::preference;
use crate::dispatch::upstream;

/// Upstreams of one service, grouped by region.
type GroupsByRegion = collections::BTreeMap<id::Region, preference::Group>;

/// The upstreams known to a node.
#[derive(Clone, Debug, Default)]
pub struct Index {
    upstreams: Vec<upstream::Upstream>,
    by_name: collections::HashMap<id::Upstream, usize>,
    /// Sorted by key. A vector rather than a map, because the keys of two upstreams may collide.
    by_key: Vec<(peer_load::Key, usize)>,
    services: collections::BTreeMap<id::Service, GroupsByRegion>,
}

impl Index {
    /// Creates an index of `upstreams`, whose names must be unique.
    #[must_use]
    pub fn new(upstreams: Vec<upstream::Upstream>) -> Self {
        let names = upstreams.iter().map(|u| u.entry.id.clone());
        let by_name = names.zip(0..).collect();
        let mut by_key: Vec<_> = upstreams.iter().map(|u| u.key).zip(0..).collect();
        by_key.sort_unstable();
        let services = group_by_service(&upstreams);
        Self { upstreams, by_name, by_key, services }
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns whether the index holds no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.upstreams.is_empty()
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn get(&self, name: &id::Upstream) -> Option<&upstream::Upstream> {
        self.upstreams.get(*self.by_name.get(name)?)
    }

    /// Returns a mutable reference to the upstream with this name.
    ///
    /// The name, service and region must not be changed, because the index is built from them.
    pub fn get_mut(&mut self, name: &id::Upstream) -> Option<&mut upstream::Upstream> {
        self.upstreams.get_mut(*self.by_name.get(name)?)
    }

    /// Returns an upstream with this key.
    #[must_use]
    pub fn get_by_key(&self, key: peer_load::Key) -> Option<&upstream::Upstream> {
        let position = self.by_key.binary_search_by_key(&key, |(known, _)| *known).ok()?;
        self.upstreams.get(self.by_key[position].1)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.iter()
    }

    /// Iterates over mutable references to all upstreams, with the same restriction as
    /// [`get_mut`](Self::get_mut).
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut upstream::Upstream> {
        self.upstreams.iter_mut()
    }

    /// Updates all upstreams with this key, with the same restriction as [`get_mut`](Self::get_mut).
    pub fn update_by_key(
        &mut self,
        key: peer_load::Key,
        mut update: impl FnMut(&mut upstream::Upstream),
    ) {
        let start = self.by_key.partition_point(|(known, _)| *known < key);
        let same = self.by_key[start..].iter().take_while(|(known, _)| *known == key);
        for (_, position) in same {
            update(&mut self.upstreams[*position]);
        }
    }

    /// Iterates over the upstreams of a service.
    pub fn of_service(&self, service: &id::Service) -> impl Iterator<Item = &upstream::Upstream> {
        let regions =
            self.services.get(service).into_iter().flat_map(collections::BTreeMap::values);
        regions.flat_map(preference::Group::members).map(|position| &self.upstreams[position])
    }

    /// Iterates over the upstreams of a service in a region.
    pub fn of_region(
        &self,
        service: &id::Service,
        region: &id::Region,
    ) -> impl Iterator<Item = &upstream::Upstream> {
        let group = self.group(service, region).into_iter();
        group.flat_map(preference::Group::members).map(|position| &self.upstreams[position])
    }

    /// Computes and caches the order of preference of the object `key` among the upstreams of a
    /// service in a region.
    pub fn prepare_order(&mut self, service: &id::Service, region: &id::Region, key: u64) {
        let regions = self.services.get_mut(service);
        if let Some(group) = regions.and_then(|regions| regions.get_mut(region)) {
            group.prepare(key);
        }
    }

    /// Iterates over the upstreams of a service in a region in the order of preference of the object
    /// `key`.
    ///
    /// [`prepare_order`](Self::prepare_order) must have been called for the object before.
    pub fn preferred(
        &self,
        service: &id::Service,
        region: &id::Region,
        key: u64,
    ) -> impl Iterator<Item = &upstream::Upstream> {
        let group = self.group(service, region).into_iter();
        group.flat_map(move |group| group.order(key)).map(|position| &self.upstreams[position])
    }

    /// Removes all upstreams and returns them by name.
    pub fn take(&mut self) -> collections::BTreeMap<id::Upstream, upstream::Upstream> {
        let upstreams = std::mem::take(self).upstreams;
        upstreams.into_iter().map(|upstream| (upstream.entry.id.clone(), upstream)).collect()
    }

    /// Retains only the upstreams for which `keep` returns true; returns whether any was removed.
    pub fn retain(&mut self, keep: impl Fn(&upstream::Upstream) -> bool) -> bool {
        let keeps_all = self.upstreams.iter().all(&keep);
        if !keeps_all {
            let mut upstreams = std::mem::take(self).upstreams;
            upstreams.retain(keep);
            *self = Self::new(upstreams);
        }
        !keeps_all
    }

    fn group(&self, service: &id::Service, region: &id::Region) -> Option<&preference::Group> {
        self.services.get(service)?.get(region)
    }
}

/// Groups upstreams by service and region.
fn group_by_service(
    upstreams: &[upstream::Upstream],
) -> collections::BTreeMap<id::Service, GroupsByRegion> {
    let mut services: collections::BTreeMap<id::Service, GroupsByRegion> =
        collections::BTreeMap::new();
    for (position, upstream) in upstreams.iter().enumerate() {
        let regions = services.entry(upstream.entry.service.clone()).or_default();
        let group = regions.entry(upstream.region.clone()).or_default();
        group.add(upstream.entry.id.clone(), position);
    }
    services
}
