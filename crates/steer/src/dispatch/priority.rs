//! Priority: how long a request may queue if more urgent requests use the same service.
//!
//! Owns, for each service, the urgency levels of its requests and the recent admission rate of each.
//! Upstreams queue requests first come, first served, so less urgent requests in a queue delay urgent
//! ones. Less urgent routes may therefore queue only as long as urgent requests can tolerate. Less
//! urgent organisations are bounded only while requests of more urgent ones are being refused,
//! because the mix of organisations, unlike that of routes, is not known in advance. All nodes see
//! the same loads and configuration, so no coordination is needed. Used by [`admission`] and
//! [`selection`].
//!
//! [`admission`]: crate::dispatch::admission
//! [`selection`]: crate::dispatch::selection

use std::collections;

use model::id;
use model::organisation;
use model::routing;

use crate::dispatch::request;
use crate::dispatch::seconds;
use crate::dispatch::urgency;

/// Maximum queueing time of a less urgent request, as a fraction of the shortest target latency of
/// the more urgent routes.
///
/// Without this limit, urgent requests are refused or late when part of the service's capacity is
/// missing.
const MAX_WAIT_FRACTION: f64 = 0.4;

/// Admission rate, relative to that of all requests, below which less urgent requests may queue as
/// long as urgent ones.
///
/// Higher than the quarter that less urgent requests are to keep, since upstreams may still refuse
/// admitted requests.
pub(super) const STARVED_FRACTION: f64 = 0.3;

/// Admission rate of an organisation's requests below which less urgent organisations leave capacity
/// for them.
///
/// While no urgent request is refused, bounding the wait of the others refuses them needlessly: with
/// a permanent bound, organisations of several priorities had 7.9 % instead of 6.3 % of their
/// requests refused and earned 0.60 instead of 0.63 of their credit (docs/design/shifted-work.md,
/// row "organisations wait by contention").
const CONTENDED_RATE: f64 = 0.9;

/// Weight of one request in the moving averages of admission; about fifty requests determine most of
/// the value.
pub(super) const REQUEST_WEIGHT: f64 = 0.02;

/// Urgency of a request relative to the other requests of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rank {
    /// No other urgency level competes for the service.
    Uncontested,
    /// Only less urgent requests compete for the service, or requests of its own urgency are starved
    /// and temporarily treated as urgent.
    MostUrgent,
    /// More urgent requests compete for the service.
    LessUrgent {
        /// Maximum queueing time that leaves capacity for them.
        max_wait: seconds::Seconds,
    },
}

/// Urgency levels of one service and their admission rates.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Shortest target latency of each urgency, in seconds.
    shortest_targets: collections::BTreeMap<urgency::Urgency, f64>,
    /// Recent admission rate of each urgency, from 0 to 1.
    admission_rates: collections::BTreeMap<urgency::Urgency, f64>,
    /// Recent admission rate of all requests, from 0 to 1.
    admission_rate_of_all: Option<f64>,
}

/// Urgency levels of each service whose requests differ in urgency.
#[derive(Clone, Debug, Default)]
pub struct Priorities {
    services: collections::BTreeMap<id::Service, Service>,
}

impl Priorities {
    /// Applies a configuration and keeps the admission rates.
    pub fn configure(&mut self, routing: &routing::Routing) {
        let previous = std::mem::take(&mut self.services);
        let priorities = organisation_priorities(routing);
        for route in routing.routes() {
            let target = route.target_latency.as_secs_f64();
            for part in route.parts.iter().filter(|part| part.weight > 0) {
                let service = self.services.entry(part.service.clone()).or_default();
                for organisation in &priorities {
                    let urgency =
                        urgency::Urgency { organisation: *organisation, route: route.priority };
                    let shortest = service.shortest_targets.entry(urgency).or_insert(f64::INFINITY);
                    *shortest = shortest.min(target);
                }
            }
        }
        self.services.retain(|_, service| service.shortest_targets.len() > 1);
        for (name, service) in &mut self.services {
            if let Some(previous) = previous.get(name) {
                service.admission_rates.clone_from(&previous.admission_rates);
                service.admission_rate_of_all = previous.admission_rate_of_all;
            }
        }
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, service: &id::Service, urgency: urgency::Urgency, is_admitted: bool) {
        let Some(service) = self.services.get_mut(service) else { return };
        let value = f64::from(u8::from(is_admitted));
        let of_urgency = service.admission_rates.entry(urgency).or_insert(value);
        *of_urgency += (value - *of_urgency) * REQUEST_WEIGHT;
        let of_all = service.admission_rate_of_all.get_or_insert(value);
        *of_all += (value - *of_all) * REQUEST_WEIGHT;
    }

    /// Returns whether the requests of a service differ in urgency.
    #[must_use]
    pub fn has_several_urgencies(&self, service: &id::Service) -> bool {
        self.services.contains_key(service)
    }

    /// Returns whether requests of the urgency of `request` were recently refused.
    #[must_use]
    pub fn is_urgency_refused(&self, request: &request::Request<'_>) -> bool {
        let service = self.services.get(request.service);
        service.is_some_and(|service| service.is_contended(request.urgency))
    }

    /// Returns the urgency of a request relative to the other requests of its service.
    #[must_use]
    pub fn rank(&self, request: &request::Request<'_>) -> Rank {
        let Some(service) = self.services.get(request.service) else { return Rank::Uncontested };
        match service.urgent_target(request.urgency) {
            Some(_) if service.is_starved(request.urgency) => Rank::MostUrgent,
            Some(target) => {
                Rank::LessUrgent { max_wait: seconds::Seconds(target * MAX_WAIT_FRACTION) }
            }
            None if service.precedes_others(request.urgency) => Rank::MostUrgent,
            None => Rank::Uncontested,
        }
    }
}

impl Service {
    /// Returns the shortest target latency of the requests that take precedence over those of
    /// `urgency`, or `None` if there are none.
    fn urgent_target(&self, urgency: urgency::Urgency) -> Option<f64> {
        let urgent = self.shortest_targets.range(..urgency);
        let takes_precedence = |other: &urgency::Urgency| {
            other.organisation == urgency.organisation || self.is_contended(*other)
        };
        urgent
            .filter(|(other, _)| takes_precedence(other))
            .map(|(_, target)| *target)
            .reduce(f64::min)
    }

    /// Returns whether requests of `urgency` take precedence over less urgent ones: those on routes of
    /// lower priority, or, under contention, those of organisations of lower priority.
    fn precedes_others(&self, urgency: urgency::Urgency) -> bool {
        let mut less_urgent = self.shortest_targets.keys().filter(|other| **other > urgency);
        let is_contended = self.is_contended(urgency);
        less_urgent.any(|other| other.organisation == urgency.organisation || is_contended)
    }

    /// Returns whether requests of `urgency` were recently refused, so that less urgent organisations
    /// have to leave capacity for them.
    fn is_contended(&self, urgency: urgency::Urgency) -> bool {
        self.admission_rates.get(&urgency).is_some_and(|rate| *rate < CONTENDED_RATE)
    }

    fn is_starved(&self, urgency: urgency::Urgency) -> bool {
        match (self.admission_rates.get(&urgency), self.admission_rate_of_all) {
            (Some(own), Some(all)) => *own < all * STARVED_FRACTION,
            _ => false,
        }
    }
}

/// Returns the priorities of all organisations; just 0, the priority of requests without an
/// organisation, if there are none.
fn organisation_priorities(routing: &routing::Routing) -> collections::BTreeSet<u32> {
    let organisations = routing.organisations.iter().flat_map(organisation::Index::iter);
    let priorities: collections::BTreeSet<u32> = organisations.map(|o| o.priority).collect();
    match priorities.is_empty() {
        true => collections::BTreeSet::from([0]),
        false => priorities,
    }
}
