//! Priority: how long a request may wait where more urgent ones use the same service.
//!
//! Owns, for each service, the urgencies of its requests and how often each was admitted lately. Work waits in upstreams'
//! queues, first come first served, so what less urgent requests add to a queue delays urgent ones. Less urgent
//! routes therefore wait only as long as an urgent answer can stand. Less urgent organisations do so only where more urgent
//! ones are refused: their mix is not known beforehand, as that of routes is. All nodes see the same loads and the
//! same configuration, so they need not talk about it. Called by [`admission`] and [`selection`].
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

/// Longest wait of a less urgent request, as a part of the shortest target latency of more urgent routes.
///
/// Measured: with a service short by a quarter 13.6 % to 0 % of the urgent requests refused, and 67.1 % to 82.4 % in time
/// (`steer/tests/load`); docs/measurements/worst-load.md, row "urgent requests first" (0.1, 0.25, 0.4 and 0.6 compared).
const MAX_WAIT: f64 = 0.4;

/// Part of the share admitted of all requests below which less urgent ones may wait as long as urgent ones.
///
/// Above what it keeps at least, a quarter, since upstreams may still refuse what was admitted. Measured:
/// docs/measurements/worst-load.md, row "urgent requests first"; other parts were not measured.
const LEAST_SHARE: f64 = 0.3;

/// Share admitted of an organisation's requests below which less urgent organisations leave room for them.
///
/// Where nobody urgent is refused, a bound on the others' wait refuses them for nothing: with the bound in force always,
/// organisations of several priorities were refused 7.9 % of their requests in place of 6.3 %, and earned 0.60 of their
/// credit in place of 0.63 (docs/design/shifted-work.md, row "organisations wait by contention").
const CONTENDED_SHARE: f64 = 0.9;

/// Weight of one request in the shares that were admitted. Not measured; fifty requests make up most of a share.
const REQUEST_WEIGHT: f64 = 0.02;

/// How urgent a request is among those of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rank {
    /// No request of another urgency uses the service.
    Alone,
    /// Only less urgent requests use the service too; or those of its own urgency are starved, and their turn has come.
    MostUrgent,
    /// More urgent requests use the service too.
    Behind {
        /// Longest wait that leaves room for them.
        max_wait: seconds::Seconds,
    },
}

/// urgency::Urgency of the requests of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Shortest target latency by urgency.
    targets: collections::BTreeMap<urgency::Urgency, f64>,
    /// Share of requests that was admitted lately, by urgency.
    admitted: collections::BTreeMap<urgency::Urgency, f64>,
    /// The same of all requests.
    admitted_of_all: Option<f64>,
}

/// urgency::Urgency of the requests of each service that requests of several urgencies use.
#[derive(Clone, Debug, Default)]
pub struct Priorities {
    services: collections::BTreeMap<id::Service, Service>,
}

impl Priorities {
    /// Takes over a configuration; what was admitted lately is kept.
    pub fn configure(&mut self, routing: &routing::Routing) {
        let before = std::mem::take(&mut self.services);
        let ranks = organisation_priorities(routing);
        for route in routing.routes() {
            let target = route.target_latency.as_secs_f64();
            for part in route.parts.iter().filter(|part| part.weight > 0) {
                let service = self.services.entry(part.service.clone()).or_default();
                for organisation in &ranks {
                    let urgency =
                        urgency::Urgency { organisation: *organisation, route: route.priority };
                    let shortest = service.targets.entry(urgency).or_insert(f64::INFINITY);
                    *shortest = shortest.min(target);
                }
            }
        }
        self.services.retain(|_, service| service.targets.len() > 1);
        for (name, service) in &mut self.services {
            if let Some(before) = before.get(name) {
                service.admitted.clone_from(&before.admitted);
                service.admitted_of_all = before.admitted_of_all;
            }
        }
    }

    /// Records whether a request was admitted.
    pub fn record(&mut self, service: &id::Service, urgency: urgency::Urgency, is_admitted: bool) {
        let Some(service) = self.services.get_mut(service) else { return };
        let value = f64::from(u8::from(is_admitted));
        let of_urgency = service.admitted.entry(urgency).or_insert(value);
        *of_urgency += (value - *of_urgency) * REQUEST_WEIGHT;
        let of_all = service.admitted_of_all.get_or_insert(value);
        *of_all += (value - *of_all) * REQUEST_WEIGHT;
    }

    /// Returns how urgent a request is among those of its service.
    #[must_use]
    pub fn rank(&self, request: &request::Request<'_>) -> Rank {
        let Some(service) = self.services.get(request.service) else { return Rank::Alone };
        match service.urgent_target(request.urgency) {
            Some(_) if service.is_starved(request.urgency) => Rank::MostUrgent,
            Some(target) => Rank::Behind { max_wait: seconds::Seconds(target * MAX_WAIT) },
            None if service.has_less_urgent(request.urgency) => Rank::MostUrgent,
            None => Rank::Alone,
        }
    }
}

impl Service {
    /// Returns the shortest target latency of the requests for which those of `urgency` leave room; none when they need
    /// not.
    fn urgent_target(&self, urgency: urgency::Urgency) -> Option<f64> {
        let urgent = self.targets.range(..urgency);
        let waits = |other: &urgency::Urgency| {
            other.organisation == urgency.organisation || self.is_contended(*other)
        };
        urgent.filter(|(other, _)| waits(other)).map(|(_, target)| *target).reduce(f64::min)
    }

    /// Returns whether requests of the same organisations on less urgent routes use the service too, or those of less
    /// urgent organisations leave room.
    fn has_less_urgent(&self, urgency: urgency::Urgency) -> bool {
        let mut less_urgent = self.targets.keys().filter(|other| **other > urgency);
        let is_contended = self.is_contended(urgency);
        less_urgent.any(|other| other.organisation == urgency.organisation || is_contended)
    }

    /// Returns whether requests of `urgency` were refused lately, so that those of less urgent organisations leave room.
    fn is_contended(&self, urgency: urgency::Urgency) -> bool {
        self.admitted.get(&urgency).is_some_and(|admitted| *admitted < CONTENDED_SHARE)
    }

    fn is_starved(&self, urgency: urgency::Urgency) -> bool {
        match (self.admitted.get(&urgency), self.admitted_of_all) {
            (Some(own), Some(all)) => *own < all * LEAST_SHARE,
            _ => false,
        }
    }
}

/// Returns the priorities that organisations have; 0 also stands for requests of no organisation.
fn organisation_priorities(routing: &routing::Routing) -> collections::BTreeSet<u32> {
    let organisations = routing.organisations.iter().flat_map(organisation::Index::iter);
    let priorities: collections::BTreeSet<u32> = organisations.map(|o| o.priority).collect();
    match priorities.is_empty() {
        true => collections::BTreeSet::from([0]),
        false => priorities,
    }
}
