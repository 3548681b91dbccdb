//! Choice of an upstream: applies the dispatch rules in order.
//!
//! The order is route, order of regions, eligibility, selection within each region, overflow and
//! admission. Each rule has its own module; this one provides their inputs.

use std::time::{Duration, Instant};

use model::id;
use model::route;

use crate::dispatch::admission;
use crate::dispatch::candidate;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::overflow;
use crate::dispatch::peer_load;
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::rollout;
use crate::dispatch::seconds;
use crate::dispatch::selection;
use crate::dispatch::skipped;
use crate::dispatch::upstream;

/// A region that may serve a request.
#[derive(Debug)]
struct Region {
    name: id::Region,
    /// Its best upstreams; computed on first use, since most requests only need the first region.
    ranking: Option<selection::Ranking>,
    /// The object's preferred upstream in the region, if it is leaving or resting.
    avoided: Option<id::Upstream>,
}

/// The regions that may serve a request, most preferred first.
#[derive(Debug)]
struct Regions(Vec<Region>);

impl Regions {
    fn new(names: Vec<id::Region>) -> Self {
        Self(names.into_iter().map(|name| Region { name, ranking: None, avoided: None }).collect())
    }
}

/// A request, and the versions that may take it.
type Asked<'a> = (&'a request::Request<'a>, &'a rollout::Versions);

impl Dispatcher {
    /// Returns the service for the next request of a route, or `None` if all weights are zero.
    pub fn pick_service(&mut self, route: &route::Route) -> Option<id::Service> {
        self.routes.next_service(route)
    }

    /// Chooses the upstream for a request; call [`Dispatcher::sent`] when the request is sent.
    ///
    /// # Errors
    ///
    /// Fails if no upstream may take the request or the best one would respond too late.
    pub fn choose(
        &mut self,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        if request.is_first_try() {
            let distance = self.distances.entry(request.service.clone()).or_default();
            distance.record_request(request.route.target_latency);
            self.overflow.refill(self.bounds.greatest_shift);
            // The split follows demand only where requests may go to any region.
            if request.homes.is_empty() {
                self.demand.record(request.service, now);
            }
        }
        self.assign_slow_start_shares();
        let chosen = self.choose_version(request, now);
        // Where the request needs a slot, `record_slot_outcome` records what its owner decided.
        let is_decided = chosen.as_ref().map_or(true, |chosen| chosen.slot.is_none());
        if request.is_first_try() && is_decided {
            self.priorities.record(request.service, request.urgency, chosen.is_ok());
            return self.settle_reservation(chosen, request, now);
        }
        chosen
    }

    /// Chooses among the versions that may take the request; the next one only where none of the first may.
    fn choose_version(
        &mut self,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        let versions = self.versions(request, now);
        let mut chosen = Err(refusal::Refusal::NoUpstream(refusal::Exclusions::default()));
        for versions in versions {
            chosen = self.choose_within_limits(request, &versions, now);
            if !matches!(
                chosen,
                Err(refusal::Refusal::NoUpstream(_) | refusal::Refusal::Unreached { .. })
            ) {
                break;
            }
        }
        chosen
    }

    fn choose_within_limits(
        &mut self,
        request: &request::Request<'_>,
        versions: &rollout::Versions,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        self.limits.count(now);
        let rank = self.priorities.rank(request);
        let mut regions = Regions::new(self.region_order(request, now));
        let mut skipped = skipped::Skipped::default();
        loop {
            let chosen = self.choose_without(&skipped, &mut regions, (request, versions), now)?;
            let key = peer_load::Key::of(&chosen.entry.id);
            match self.limits.admit(key, rank, now) {
                Ok(()) => {
                    let avoided = regions.0.first_mut().and_then(|region| region.avoided.take());
                    let skipped = skipped.upstreams;
                    return Ok(candidate::Candidate { avoided, skipped, ..chosen });
                }
                Err(retry_after) => skipped.add(&chosen, retry_after),
            }
        }
    }

    /// Chooses the best upstream that was not `skipped`.
    fn choose_without(
        &mut self,
        skipped: &skipped::Skipped,
        regions: &mut Regions,
        asked: Asked<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        let (request, versions) = asked;
        if skipped.is_full() {
            return Err(skipped.refusal());
        }
        let mut others = regions.0.iter_mut();
        let Some(best) = others.find_map(|region| self.best_in_region(region, asked, skipped, now))
        else {
            return Err(match skipped.upstreams.is_empty() {
                true => self.no_upstream_refusal(request, versions, now),
                false => skipped.refusal(),
            });
        };
        // Requests that exceed the limits of one region must not overflow into the others beyond the
        // operator's shift limit.
        let skipped_region = skipped.first_hall().map(|hall| self.position.region_of(hall));
        let leaves_region = skipped_region
            .is_some_and(|region| region != self.position.region_of(&best.entry.hall));
        if leaves_region && !self.overflow.try_take() {
            return Err(skipped.refusal());
        }
        // Ranking another region costs as much as ranking the first one, so it is only done if the
        // first one is congested.
        let others: Vec<candidate::Candidate> =
            match overflow::is_congested(&best, request.route.target_latency) {
                true => {
                    others.filter_map(|r| self.best_in_region(r, asked, skipped, now)).collect()
                }
                false => Vec::new(),
            };
        let chosen = self.overflow.choose(&best, &others).unwrap_or(&best);
        let slot = self.slot_need(chosen, request, now);
        match slot {
            Some(_) => admission::check_work(chosen, request)?,
            None => self.check_admission(chosen, request, now)?,
        }
        Ok(candidate::Candidate { slot, ..chosen.clone() })
    }

    fn best_in_region(
        &mut self,
        region: &mut Region,
        (request, versions): Asked<'_>,
        skipped: &skipped::Skipped,
        now: Instant,
    ) -> Option<candidate::Candidate> {
        if region.ranking.is_none() {
            region.ranking = Some(self.rank_upstreams(&region.name, request, versions, now));
            region.avoided = self.avoided(&region.name, request, now);
        }
        let ranking = region.ranking.as_ref()?;
        let best = ranking.best(skipped)?;
        let distance = self.distances.get(request.service);
        let extra = distance.map(|d| d.extra_latency(&self.position.region, &region.name));
        let mean_latency = best.mean_latency.0 + extra.map_or(0.0, |extra| extra.0);
        Some(candidate::Candidate { mean_latency: seconds::Seconds(mean_latency), ..best })
    }

    fn rank_upstreams(
        &mut self,
        region: &id::Region,
        request: &request::Request<'_>,
        versions: &rollout::Versions,
        now: Instant,
    ) -> selection::Ranking {
        self.upstreams.prepare_order(request.service, region, request.key);
        let work = self.work.get(request.service).copied().unwrap_or_default();
        let rules = self.eligibility(versions, now);
        let preferred = self.upstreams.preferred(request.service, region, request.key);
        let eligible = preferred.filter(|u| rules.exclusion(u, request).is_none());
        selection::Ranking::new(eligible, request, work, self.priorities.rank(request), now)
    }

    /// Returns the object's preferred upstream in a region, if it is leaving or resting.
    fn avoided(
        &self,
        region: &id::Region,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Option<id::Upstream> {
        let first = self.upstreams.preferred(request.service, region, request.key).next()?;
        let is_avoided = first.announced_leaving || first.is_resting(now);
        is_avoided.then(|| first.entry.id.clone())
    }

    /// Returns the refusal for a request that no upstream may take.
    fn no_upstream_refusal(
        &mut self,
        request: &request::Request<'_>,
        versions: &rollout::Versions,
        now: Instant,
    ) -> refusal::Refusal {
        let exclusions = self.exclusions(request, versions, now);
        if exclusions.none_is_reached() {
            let lost_for = self.unreached_for(request.service, now).unwrap_or_default();
            return refusal::Refusal::Unreached { lost_for, exclusions };
        }
        match self.retry_after_rest(request, exclusions, now) {
            Some(retry_after) => refusal::Refusal::Resting { retry_after, exclusions },
            None => refusal::Refusal::NoUpstream(exclusions),
        }
    }

    /// Returns the retry delay for a request if all upstreams that could take it are resting.
    pub fn all_rest(&mut self, request: &request::Request<'_>, now: Instant) -> Option<Duration> {
        self.retry_after_rest(request, self.exclusions(request, &rollout::Versions::Any, now), now)
    }

    fn retry_after_rest(
        &mut self,
        request: &request::Request<'_>,
        exclusions: refusal::Exclusions,
        now: Instant,
    ) -> Option<Duration> {
        if !exclusions.all_rest() {
            return None;
        }
        let rules = self.eligibility(&rollout::Versions::Any, now);
        let of_service = self.upstreams.of_service(request.service);
        let is_resting = |upstream: &&upstream::Upstream| {
            rules.exclusion(upstream, request) == Some(eligibility::Exclusion::Resting)
        };
        let earliest = of_service.filter(is_resting).filter_map(|u| u.rests_until).min()?;
        Some(self.rests.retry_after(earliest, now))
    }

    /// Counts the upstreams of the service by the reason why they may not take the request.
    fn exclusions(
        &self,
        request: &request::Request<'_>,
        versions: &rollout::Versions,
        now: Instant,
    ) -> refusal::Exclusions {
        let rules = self.eligibility(versions, now);
        rules.count(self.upstreams.of_service(request.service), request)
    }

    fn eligibility<'a>(
        &'a self,
        versions: &'a rollout::Versions,
        now: Instant,
    ) -> eligibility::Rules<'a> {
        eligibility::Rules {
            evacuated: &self.evacuated,
            connectivity: &self.connectivity,
            versions,
            slow_start: self.slow_start_rules(),
            now,
        }
    }
}
