//! Regions: the split of a scope's requests between regions, and the order of regions for a request.
//!
//! Provides the capacities that the rules of [`region`] use.
//!
//! [`region`]: crate::dispatch::region

use std::time::Instant;

use model::fraction;
use model::id;

use crate::common::split;
use crate::dispatch::connectivity::group;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::region::distance;
use crate::dispatch::region::order;
use crate::dispatch::region::share;
use crate::dispatch::region::shift;
use crate::dispatch::request;
use crate::dispatch::upstream;

impl Dispatcher {
    /// Returns the target split between regions for the capacities of a scope.
    pub(super) fn region_target(&self, scope: &order::Scope, now: Instant) -> split::Split {
        let regions = self.position.allowed_regions(&scope.home_regions);
        let capacities = self.capacities(&scope.service, regions, now);
        // The demand for a scope with home regions is not known; that for its service is no measure of it.
        let demand = match scope.home_regions.is_empty() {
            true => self.demand.shares(&scope.service),
            false => None,
        };
        let balanced = share::target(&self.position.region, &capacities, demand);
        let own = &self.position.region;
        let is_far = self.distances.get(&scope.service).is_some_and(|d| d.is_far(own));
        match (is_far, self.regions.get(scope)) {
            (true, Some(rotation)) => {
                let current =
                    f64::from(rotation.split().share(own)) / f64::from(fraction::PARTS_PER_WHOLE);
                let load = self.requests_per_slot(&scope.service, own, now);
                distance::raise_own_share(own, &balanced, current, load)
            }
            _ => balanced,
        }
    }

    /// Returns the capacity of each of `regions` for a service.
    pub(super) fn capacities(
        &self,
        service: &id::Service,
        regions: Vec<id::Region>,
        now: Instant,
    ) -> Vec<share::Capacity> {
        let capacity = |region: id::Region| {
            let slots = self.region_slots(service, &region, now);
            share::Capacity { region, slots }
        };
        regions.into_iter().map(capacity).collect()
    }

    /// Returns the mean number of requests per slot of the upstreams in a region that accept requests.
    fn requests_per_slot(&self, service: &id::Service, region: &id::Region, now: Instant) -> f64 {
        let of_region = self.upstreams.of_region(service, region);
        let working = of_region.filter(|u| self.carries_load(u, now));
        let requests: f64 = working.map(|u| u.load.requests(now)).sum();
        requests / self.region_slots(service, region, now).max(1.0)
    }

    /// Returns the regions that may serve a request, most preferred first.
    pub(super) fn region_order(
        &mut self,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Vec<id::Region> {
        let scope = order::Scope::of(request);
        let has_split = self.regions.get(&scope).is_some_and(|r| !r.split().is_empty());
        let target = (!has_split).then(|| self.region_target(&scope, now));
        let allowed = self.position.allowed_regions(&scope.home_regions);
        let rotation = self.regions.entry(scope).or_default();
        if let Some(target) = target {
            rotation.advance(&target, shift::limit(&self.bounds), now);
        }
        rotation.order(request, allowed)
    }

    /// Returns the effective slots of the upstreams in a region that accept requests.
    fn region_slots(&self, service: &id::Service, region: &id::Region, now: Instant) -> f64 {
        let of_region = self.upstreams.of_region(service, region);
        let working = of_region.filter(|u| self.carries_load(u, now));
        let work = self.work.get(service).copied().unwrap_or_default().mean().0;
        working.map(|u| self.effective_slots(u, work, now)).sum()
    }

    /// Returns whether an upstream accepts requests, can be connected to, and is of the version that
    /// gets most of them.
    fn carries_load(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        eligibility::takes_work(upstream, &self.evacuated, now)
            && self.connectivity.access(upstream, now) != group::Access::None
            && self.rollouts.is_main(&upstream.entry)
    }

    /// Returns the slots that an upstream contributes to its region if a request takes `work` seconds.
    fn effective_slots(&self, upstream: &upstream::Upstream, work: f64, now: Instant) -> f64 {
        let is_cold = upstream.slow_start.is_cold(now);
        let slots = share::effective_slots(upstream.entry.slots, is_cold);
        let limit = self.limits.account(upstream.key).map(|account| account.quota.rate);
        limit.map_or(slots, |rate| share::limited_slots(slots, rate, work))
    }
}
