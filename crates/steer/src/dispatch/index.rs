//! Index: the upstreams known to a node, by name, by key, and by service and region.
//!
//! Owns the upstreams. Groups hold positions in one vector, so that a request visits its few
//! candidates instead of all upstreams. A position stays that of its upstream until this is removed, so
//! that a change of one upstream touches its own group only. [`preference`] orders the members of a group.

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
    /// By position; `None` where one was removed.
    upstreams: Vec<Option<upstream::Upstream>>,
    /// Positions that the next upstreams take.
    free: Vec<usize>,
    by_name: collections::HashMap<id::Upstream, usize>,
    /// The keys of two upstreams may collide.
    by_key: collections::BTreeSet<(peer_load::Key, usize)>,
    services: collections::BTreeMap<id::Service, GroupsByRegion>,
}

impl Index {
    /// Creates an index of `upstreams`, whose names must be unique.
    #[must_use]
    pub fn new(upstreams: Vec<upstream::Upstream>) -> Self {
        let mut index = Self::default();
        index.upstreams.reserve_exact(upstreams.len());
        upstreams.into_iter().for_each(|upstream| index.insert(upstream));
        index
    }

    /// Adds an upstream, whose name must not be in the index.
    pub fn insert(&mut self, upstream: upstream::Upstream) {
        let position = self.free.pop().unwrap_or(self.upstreams.len());
        self.by_name.insert(upstream.entry.id.clone(), position);
        self.by_key.insert((upstream.key, position));
        let regions = self.services.entry(upstream.entry.service.clone()).or_default();
        let group = regions.entry(upstream.region.clone()).or_default();
        let upstreams = &self.upstreams;
        let name_of = |known: usize| Some(&upstreams.get(known)?.as_ref()?.entry.id);
        group.add(upstream.entry.id.clone(), position, name_of);
        match self.upstreams.get_mut(position) {
            Some(free) => *free = Some(upstream),
            None => self.upstreams.push(Some(upstream)),
        }
    }

    /// Removes the upstream with this name and returns it.
    pub fn remove(&mut self, name: &id::Upstream) -> Option<upstream::Upstream> {
        let position = self.by_name.remove(name)?;
        let upstream = self.upstreams.get_mut(position)?.take()?;
        self.free.push(position);
        self.by_key.remove(&(upstream.key, position));
        if let Some(regions) = self.services.get_mut(&upstream.entry.service)
            && let Some(group) = regions.get_mut(&upstream.region)
        {
            group.remove(position);
            regions.retain(|_, group| !group.is_empty());
            if regions.is_empty() {
                self.services.remove(&upstream.entry.service);
            }
        }
        Some(upstream)
    }

    /// Returns the number of upstreams.
    #[must_use]
    pub fn len(&self) -> usize {
        self.by_name.len()
    }

    /// Returns whether the index holds no upstreams.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_name.is_empty()
    }

    /// Returns the upstream with this name.
    #[must_use]
    pub fn get(&self, name: &id::Upstream) -> Option<&upstream::Upstream> {
        self.at(*self.by_name.get(name)?)
    }

    /// Returns a mutable reference to the upstream with this name.
    ///
    /// The name, service and region must not be changed, because the index is built from them.
    pub fn get_mut(&mut self, name: &id::Upstream) -> Option<&mut upstream::Upstream> {
        self.upstreams.get_mut(*self.by_name.get(name)?)?.as_mut()
    }

    /// Returns an upstream with this key.
    #[must_use]
    pub fn get_by_key(&self, key: peer_load::Key) -> Option<&upstream::Upstream> {
        self.at(self.positions(key).next()?)
    }

    /// Iterates over all upstreams.
    pub fn iter(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.iter().flatten()
    }

    /// Iterates over mutable references to all upstreams, with the same restriction as
    /// [`get_mut`](Self::get_mut).
    pub fn iter_mut(&mut self) -> impl Iterator<Item = &mut upstream::Upstream> {
        self.upstreams.iter_mut().flatten()
    }

    /// Updates all upstreams with this key, with the same restriction as [`get_mut`](Self::get_mut).
    pub fn update_by_key(
        &mut self,
        key: peer_load::Key,
        mut update: impl FnMut(&mut upstream::Upstream),
    ) {
        let positions: Vec<usize> = self.positions(key).collect();
        for position in positions {
            if let Some(Some(upstream)) = self.upstreams.get_mut(position) {
                update(upstream);
            }
        }
    }

    /// Iterates over the services that have upstreams.
    pub fn services(&self) -> impl Iterator<Item = &id::Service> {
        self.services.keys()
    }

    /// Returns whether a service has upstreams in several regions.
    #[must_use]
    pub fn is_split(&self, service: &id::Service) -> bool {
        self.services.get(service).is_some_and(|regions| regions.len() > 1)
    }

    /// Iterates over the groups of upstreams, by service and region.
    pub fn groups(&self) -> impl Iterator<Item = (&id::Service, &id::Region)> {
        let services = self.services.iter();
        services.flat_map(|(service, regions)| regions.keys().map(move |region| (service, region)))
    }

    /// Returns whether a service has upstreams in a region.
    #[must_use]
    pub fn has_group(&self, service: &id::Service, region: &id::Region) -> bool {
        self.group(service, region).is_some()
    }

    /// Iterates over the upstreams of a service.
    pub fn of_service(&self, service: &id::Service) -> impl Iterator<Item = &upstream::Upstream> {
        let regions =
            self.services.get(service).into_iter().flat_map(collections::BTreeMap::values);
        regions.flat_map(preference::Group::members).filter_map(|position| self.at(position))
    }

    /// Iterates over the upstreams of a service in a region.
    pub fn of_region(
        &self,
        service: &id::Service,
        region: &id::Region,
    ) -> impl Iterator<Item = &upstream::Upstream> {
        let group = self.group(service, region).into_iter();
        group.flat_map(preference::Group::members).filter_map(|position| self.at(position))
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
        group.flat_map(move |group| group.order(key)).filter_map(|position| self.at(position))
    }

    fn at(&self, position: usize) -> Option<&upstream::Upstream> {
        self.upstreams.get(position)?.as_ref()
    }

    fn positions(&self, key: peer_load::Key) -> impl Iterator<Item = usize> {
        self.by_key.range((key, 0)..=(key, usize::MAX)).map(|(_, position)| *position)
    }

    fn group(&self, service: &id::Service, region: &id::Region) -> Option<&preference::Group> {
        self.services.get(service)?.get(region)
    }
}
