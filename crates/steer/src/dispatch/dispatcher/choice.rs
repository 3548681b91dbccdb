//! Choice of an upstream: the rules in the order in which a request meets them.
//!
//! Route, order of regions, eligibility, selection in each region, overflow, admission. Each rule stands in
//! a module of its own; here they only get their inputs.

use std::time::{Duration, Instant};

use model::fraction;
use model::id;
use model::route;

use crate::common::split;
use crate::dispatch::admission;
use crate::dispatch::candidate;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::overflow;
use crate::dispatch::peer_load;
use crate::dispatch::refusal;
use crate::dispatch::region::distance;
use crate::dispatch::region::order;
use crate::dispatch::region::share;
use crate::dispatch::region::shift;
use crate::dispatch::request;
use crate::dispatch::seconds;
use crate::dispatch::selection;
use crate::dispatch::skipped;
use crate::dispatch::upstream;

/// A region in the order in which a request looks at them.
#[derive(Debug)]
struct Region {
    name: id::Region,
    /// Its upstreams; none before the request looks at them, since the first region is enough for most.
    ranking: Option<selection::Ranking>,
    /// The upstream that the request's object prefers, where it said that it leaves, or rests.
    avoided: Option<id::Upstream>,
}

/// The regions that may serve a request, the preferred one first.
#[derive(Debug)]
struct Regions(Vec<Region>);

impl Regions {
    fn of(names: Vec<id::Region>) -> Self {
        Self(names.into_iter().map(|name| Region { name, ranking: None, avoided: None }).collect())
    }
}

impl Dispatcher {
    /// Returns the service for the next request of a route; none when all weights are zero.
    pub fn pick_service(&mut self, route: &route::Route) -> Option<id::Service> {
        self.routes.next_service(route)
    }

    /// Returns the upstream for a request; [`Dispatcher::sent`] must follow when it is sent.
    ///
    /// # Errors
    ///
    /// Fails when no upstream may take the request, or the best one would answer too late.
    pub fn choose(
        &mut self,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        if request.is_first_try() {
            let distance = self.distances.entry(request.service.clone()).or_default();
            distance.record_request(request.route.target_latency);
            self.overflow.earn(self.bounds.greatest_shift);
        }
        let chosen = self.choose_admitted(request, now);
        if request.is_first_try() {
            self.priorities.record(request.service, request.urgency, chosen.is_ok());
        }
        chosen
    }

    fn choose_admitted(
        &mut self,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        self.limits.count(now);
        let rank = self.priorities.rank(request);
        let mut regions = Regions::of(self.region_order(request, now));
        let mut skipped = skipped::Skipped::default();
        loop {
            let chosen = self.choose_beside(&skipped, &mut regions, request, now)?;
            let key = peer_load::Key::of(&chosen.entry.id);
            match self.limits.admit(key, rank, now) {
                Ok(()) => {
                    let avoided = regions.0.first_mut().and_then(|region| region.avoided.take());
                    let skipped = skipped.upstreams;
                    return Ok(candidate::Candidate { avoided, skipped, ..chosen });
                }
                Err(room_after) => skipped.add(&chosen, room_after),
            }
        }
    }

    /// Returns the best upstream beside those that were `skipped`.
    fn choose_beside(
        &mut self,
        skipped: &skipped::Skipped,
        regions: &mut Regions,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        if skipped.is_full() {
            return Err(skipped.refusal());
        }
        let mut others = regions.0.iter_mut();
        let Some(own) = others.find_map(|region| self.best_in(region, request, skipped, now))
        else {
            return Err(match skipped.upstreams.is_empty() {
                true => self.refuse(request, now),
                false => skipped.refusal(),
            });
        };
        // What limits hold back in a region must not overload the others beyond the operator's cap.
        let first = skipped.first_hall().map(|hall| self.position.region_of(hall));
        let leaves = first.is_some_and(|first| first != self.position.region_of(&own.entry.hall));
        if leaves && !self.overflow.take() {
            return Err(skipped.refusal());
        }
        // Other regions matter to a crowded one only, and cost as much to look at as the own one.
        let others: Vec<candidate::Candidate> =
            match overflow::is_crowded(&own, request.route.target_latency) {
                true => others.filter_map(|r| self.best_in(r, request, skipped, now)).collect(),
                false => Vec::new(),
            };
        let chosen = self.overflow.choose(&own, &others).unwrap_or(&own);
        admission::check(chosen, request)?;
        Ok(chosen.clone())
    }

    /// Returns the split over regions that the capacities of a scope call for.
    pub(super) fn region_target(&self, scope: &order::Scope, now: Instant) -> split::Split {
        let regions = self.position.allowed_regions(&scope.home_regions).into_iter();
        let capacities: Vec<share::Capacity> = regions
            .map(|region| {
                let slots = self.slots(&scope.service, &region, now);
                share::Capacity { region, slots }
            })
            .collect();
        let balanced = share::target(&self.position.region, &capacities);
        let own = &self.position.region;
        let is_far = self.distances.get(&scope.service).is_some_and(|d| d.is_far(own));
        match (is_far, self.regions.get(scope)) {
            (true, Some(rotation)) => {
                let kept =
                    f64::from(rotation.split().share(own)) / f64::from(fraction::PARTS_PER_WHOLE);
                distance::keep(own, &balanced, kept, self.used(&scope.service, own, now))
            }
            _ => balanced,
        }
    }

    /// Returns the requests a slot of a region's upstreams that take work.
    fn used(&self, service: &id::Service, region: &id::Region, now: Instant) -> f64 {
        let of_region = self.upstreams.of_region(service, region);
        let working = of_region.filter(|u| eligibility::takes_work(u, &self.evacuated, now));
        let requests: f64 = working.map(|u| u.load.requests(now)).sum();
        requests / self.slots(service, region, now).max(1.0)
    }

    fn region_order(&mut self, request: &request::Request<'_>, now: Instant) -> Vec<id::Region> {
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

    /// Returns the slots of a region's upstreams that take work.
    fn slots(&self, service: &id::Service, region: &id::Region, now: Instant) -> f64 {
        let of_region = self.upstreams.of_region(service, region);
        let working = of_region.filter(|u| eligibility::takes_work(u, &self.evacuated, now));
        let work = self.work.get(service).copied().unwrap_or_default().mean().0;
        working.map(|u| self.room(u, work, now)).sum()
    }

    /// Returns the slots that an upstream adds to its region's, where a request takes `work` seconds.
    fn room(&self, upstream: &upstream::Upstream, work: f64, now: Instant) -> f64 {
        let is_cold = upstream.slow_start.is_cold(now);
        let slots = share::effective_slots(upstream.entry.slots, is_cold);
        let limit = self.limits.account(upstream.key).map(|account| account.quota.rate);
        limit.map_or(slots, |rate| share::limited_slots(slots, rate, work))
    }

    fn best_in(
        &mut self,
        region: &mut Region,
        request: &request::Request<'_>,
        skipped: &skipped::Skipped,
        now: Instant,
    ) -> Option<candidate::Candidate> {
        if region.ranking.is_none() {
            region.ranking = Some(self.rank(&region.name, request, now));
            region.avoided = self.avoided(&region.name, request, now);
        }
        let ranking = region.ranking.as_ref()?;
        let best = ranking.best(skipped)?;
        let distance = self.distances.get(request.service);
        let way = distance.map(|d| d.way(&self.position.region, &region.name));
        let done = best.done.0 + way.map_or(0.0, |way| way.0);
        Some(candidate::Candidate { done: seconds::Seconds(done), ..best })
    }

    fn rank(
        &mut self,
        region: &id::Region,
        request: &request::Request<'_>,
        now: Instant,
    ) -> selection::Ranking {
        self.upstreams.prepare(request.service, region, request.key);
        let work = self.work.get(request.service).copied().unwrap_or_default();
        let rules = self.eligibility(now);
        let preferred = self.upstreams.preferred(request.service, region, request.key);
        let eligible = preferred.filter(|u| rules.exclusion(u, request).is_none());
        selection::Ranking::new(eligible, request, work, self.priorities.rank(request), now)
    }

    /// Returns the upstream that the request's object prefers, where it said that it leaves, or rests.
    fn avoided(
        &self,
        region: &id::Region,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Option<id::Upstream> {
        let first = self.upstreams.preferred(request.service, region, request.key).next()?;
        let is_avoided = first.says_leaving || first.is_resting(now);
        is_avoided.then(|| first.entry.id.clone())
    }

    /// Returns the refusal of a request that no upstream may take.
    fn refuse(&mut self, request: &request::Request<'_>, now: Instant) -> refusal::Refusal {
        let exclusions = self.exclusions(request, now);
        match self.rest_left(request, exclusions, now) {
            Some(retry_after) => refusal::Refusal::Resting { retry_after, exclusions },
            None => refusal::Refusal::NoUpstream(exclusions),
        }
    }

    /// Returns after which time the caller of a request may return where all upstreams that would take it rest.
    pub fn all_rest(&mut self, request: &request::Request<'_>, now: Instant) -> Option<Duration> {
        self.rest_left(request, self.exclusions(request, now), now)
    }

    fn rest_left(
        &mut self,
        request: &request::Request<'_>,
        exclusions: refusal::Exclusions,
        now: Instant,
    ) -> Option<Duration> {
        if !exclusions.all_rest() {
            return None;
        }
        let rules = self.eligibility(now);
        let of_service = self.upstreams.of_service(request.service);
        let is_resting = |upstream: &&upstream::Upstream| {
            rules.exclusion(upstream, request) == Some(eligibility::Exclusion::Resting)
        };
        let earliest = of_service.filter(is_resting).filter_map(|u| u.rests_until).min()?;
        Some(self.rests.retry_after(earliest, now))
    }

    /// Counts the upstreams of the service by why they may not take the request.
    fn exclusions(&self, request: &request::Request<'_>, now: Instant) -> refusal::Exclusions {
        self.eligibility(now).count(self.upstreams.of_service(request.service), request)
    }

    fn eligibility(&self, now: Instant) -> eligibility::Rules<'_> {
        eligibility::Rules { evacuated: &self.evacuated, routing: &self.routing, now }
    }
}
