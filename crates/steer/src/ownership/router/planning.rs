//! Planning: measures each service, computes its target splits, and moves the splits within the caps.
//!
//! Runs with every heartbeat. [`planner`] computes the targets and [`rotation`] moves the splits.

use std::collections;
use std::time::Duration;

use model::drain;
use model::fraction;
use model::id;
use model::place;
use model::service;

use super::{Router, View};
use crate::common::ramp;
use crate::common::split;
use crate::ownership::heartbeat;
use crate::ownership::latency;
use crate::ownership::owners;
use crate::ownership::planner;
use crate::ownership::rotation;
use crate::ownership::summaries;

/// Rate, in requests per second, up to which a service's latency is assumed instead of computed.
const LEAST_RATE: f64 = 0.1;

/// Minimum computed latency, in seconds; keeps the limit of a link above zero.
const LEAST_ANSWER_SECONDS: f64 = 0.001;

/// The measurements of one service that the planner uses; also part of the dump.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// Usable slots by region.
    pub capacities: collections::BTreeMap<id::Region, f64>,
    /// Slots in use by region, including queued requests.
    pub in_use: collections::BTreeMap<id::Region, f64>,
    /// Requests per second by place.
    pub rates: collections::BTreeMap<id::Place, f64>,
}

impl Router {
    /// Computes the target of every rotation and moves its split toward it.
    pub fn plan(&mut self, view: &View<'_>) {
        for stored in view.snapshot.services.values() {
            let measured = self.measure(&stored.spec, view);
            let limit = limit(view, &stored.spec);
            let demands = demands(&stored.spec, &measured, view);
            for (place, target) in planner::plan(&measured.capacities, &demands) {
                let key = (stored.spec.name.clone(), place);
                let start = || rotation::Rotation::new(target.clone());
                let rotation = self.rotations.entry(key).or_insert_with(start);
                rotation.advance(&target, limit, view.now);
            }
        }
        self.expire(view);
    }

    /// Creates a rotation with a peer's position; an existing rotation keeps its own.
    pub fn adopt_position(&mut self, position: &heartbeat::Position) {
        let key = (position.service.clone(), position.place.clone());
        let start = || rotation::Rotation::new(position.split.clone());
        self.rotations.entry(key).or_insert_with(start);
    }

    /// Returns the current split of every rotation.
    pub fn positions(&self) -> impl Iterator<Item = heartbeat::Position> {
        self.rotations.iter().map(|((service, place), rotation)| heartbeat::Position {
            service: service.clone(),
            place: place.clone(),
            split: rotation.position().clone(),
        })
    }

    /// Returns the measurements of a service.
    #[must_use]
    pub fn measure(&self, service: &service::Service, view: &View<'_>) -> Measured {
        let mut measured = Measured::default();
        for upstream in &service.upstreams {
            measured.capacities.entry(upstream.region.clone()).or_insert(0.0);
        }
        let mut reported: collections::BTreeSet<&id::Region> = collections::BTreeSet::new();
        for (summary, is_fresh) in self.summaries.regions_of(&service.name, view.now) {
            for (place, rate) in &summary.rates {
                *measured.rates.entry(place.clone()).or_insert(0.0) += f64::from(*rate) / 1_000.0;
            }
            if !is_fresh {
                continue;
            }
            reported.insert(&summary.region);
            let usable = f64::from(summary.usable);
            measured.capacities.insert(summary.region.clone(), usable);
            let in_use = f64::from(summary.in_flight + summary.queued);
            measured.in_use.insert(summary.region.clone(), in_use);
        }
        for (region, capacity) in &mut measured.capacities {
            let declared = declared_slots(service, region, view);
            let has_owners = self.owners.contains_key(&(service.name.clone(), region.clone()));
            match (reported.contains(region), has_owners) {
                (true, true) => *capacity = capacity.min(declared),
                // No report yet, as when a fleet starts: use the declared slots.
                (false, true) => *capacity = declared,
                (_, false) => *capacity = 0.0,
            }
        }
        measured
    }

    /// Returns the region of a place's next request, or `None` if no region can take it.
    pub(super) fn next_region(
        &mut self,
        service: &id::Service,
        place: &id::Place,
        view: &View<'_>,
    ) -> Option<id::Region> {
        let key = (service.clone(), place.clone());
        let first = || rotation::Rotation::new(first_position(service, place, view));
        self.rotations.entry(key).or_insert_with(first).next_region()
    }

    /// Removes rotations of deleted services, and reports that are too old to be used.
    fn expire(&mut self, view: &View<'_>) {
        let is_recent = |at| view.now.saturating_duration_since(at) < summaries::OWNER_LIFE;
        self.rotations.retain(|(service, _), _| view.snapshot.services.contains_key(service));
        self.summaries.expire(view.now);
        self.outstanding.retain(|_, count| *count > 0);
        self.reported.retain(|_, reported| is_recent(reported.at));
    }
}

/// Returns the declared slots of a region, less those under a current or upcoming drain.
///
/// A drain counts early enough before its start for the cap of the service to move all requests away.
fn declared_slots(service: &service::Service, region: &id::Region, view: &View<'_>) -> f64 {
    let caps = view.snapshot.caps.values();
    let cap = caps.into_iter().find(|c| c.spec.service == service.name);
    let lead = cap.map_or(Duration::ZERO, |c| {
        // The window is added because the ramp uses slightly less than the cap, and moves splits only
        // once per heartbeat.
        c.spec.time_to_move(fraction::Fraction::ONE) + c.spec.window
    });
    let soon = |d: &drain::Drain| d.start <= view.wall + lead && view.wall < d.end;
    let drains: Vec<&drain::Drain> =
        view.snapshot.drains.values().map(|d| &*d.spec).filter(|d| soon(d)).collect();
    let in_region = service.upstreams.iter().filter(|u| u.region == *region);
    let undrained = in_region.filter(|u| !drains.iter().any(|d| d.target.contains(u)));
    undrained.map(|u| f64::from(u.slots)).sum()
}

/// Returns the demand of each place for a service.
fn demands(
    service: &service::Service,
    measured: &Measured,
    view: &View<'_>,
) -> Vec<planner::Demand> {
    let rate: f64 = measured.rates.values().sum();
    let in_use: f64 = measured.in_use.values().sum();
    // Little's law: requests in the system = arrival rate * latency.
    let seconds = match rate > LEAST_RATE {
        true => (in_use / rate).max(LEAST_ANSWER_SECONDS),
        false => latency::assumed_seconds(),
    };
    let demand = |place: &place::Place| {
        let served =
            place.links_by_delay().into_iter().filter(|l| owners::serves(service, &l.region));
        let links = served.map(|link| {
            let limit = link.limit.map_or(f64::INFINITY, |limit| f64::from(limit) * seconds);
            (link.region.clone(), limit)
        });
        let rate = measured.rates.get(&place.name).copied().unwrap_or(0.0);
        planner::Demand { place: place.name.clone(), slots: rate * seconds, links: links.collect() }
    };
    view.snapshot.places.values().map(|stored| demand(&stored.spec)).collect()
}

/// Returns the limit on the moves of a service's splits. The cap has a separate limit that applies while
/// a region of the service is lost.
fn limit(view: &View<'_>, service: &service::Service) -> Option<ramp::Limit> {
    let caps = view.snapshot.caps.values();
    let cap = caps.into_iter().find(|c| c.spec.service == service.name)?;
    let is_lost = service.upstreams.iter().any(|u| (view.is_lost)(&u.region));
    Some(ramp::Limit::of(&cap.spec, is_lost))
}

/// Returns the initial split of a rotation before the first plan or a peer's position: all requests go
/// to the nearest region that serves the service.
fn first_position(service: &id::Service, place: &id::Place, view: &View<'_>) -> split::Split {
    let Some(service) = view.snapshot.services.get(service) else {
        return split::Split::default();
    };
    let place = view.snapshot.places.get(place).map(|p| &p.spec);
    let nearest = place.into_iter().flat_map(|p| p.links_by_delay()).map(|l| &l.region);
    let any = service.spec.upstreams.iter().map(|u| &u.region);
    let mut preferred = nearest.chain([view.region]).chain(any);
    match preferred.find(|region| owners::serves(&service.spec, region)) {
        Some(region) => split::Split::new(&[(region.clone(), 1.0)]),
        None => split::Split::default(),
    }
}
