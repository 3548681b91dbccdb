//! Priority: how long a request may wait where more urgent routes use the same service.
//!
//! Owns, for each service, its routes' urgency and how often each was admitted lately. Work waits in upstreams'
//! queues, first come first served, so what less urgent requests add to a queue delays urgent ones. Less urgent
//! ones therefore wait only as long as an urgent answer can stand. All nodes see the same loads and the
//! same configuration, so they need not talk about it. Called by [`admission`] and [`selection`].
//!
//! [`admission`]: crate::dispatch::admission
//! [`selection`]: crate::dispatch::selection

use std::collections;

use model::id;
use model::route;
use model::routing;

use crate::dispatch::request;
use crate::dispatch::seconds;

/// Longest wait of a less urgent request, as a part of the shortest target latency of more urgent routes.
///
/// Measured: with a service short by a quarter 13.6 % to 0 % of the urgent requests refused, and 67.1 % to 82.4 % in time
/// (`steer/tests/load`); docs/measurements/worst-load.md, row "urgent requests first" (0.1, 0.25, 0.4 and 0.6 compared).
const MAX_WAIT: f64 = 0.4;

/// Part of the share admitted of all requests below which a less urgent route may wait as long as urgent ones.
///
/// Above what it keeps at least, a quarter, since upstreams may still refuse what was admitted. Measured:
/// docs/measurements/worst-load.md, row "urgent requests first"; other parts were not measured.
const LEAST_SHARE: f64 = 0.3;

/// Weight of one request in the shares that were admitted. Not measured; fifty requests make up most of a share.
const REQUEST_WEIGHT: f64 = 0.02;

/// How urgent a request is among those of its service.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rank {
    /// No route of another priority uses the service.
    Alone,
    /// Only less urgent routes use the service too; or its own route is starved, and its turn has come.
    MostUrgent,
    /// More urgent routes use the service too.
    Behind {
        /// Longest wait that leaves room for them.
        max_wait: seconds::Seconds,
    },
}

/// Urgency of the routes of one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Shortest target latency by priority.
    targets: collections::BTreeMap<u32, f64>,
    /// Share of requests that was admitted lately, by priority.
    admitted: collections::BTreeMap<u32, f64>,
    /// The same of all requests.
    admitted_of_all: Option<f64>,
}

/// Urgency of the routes of each service that routes of several priorities use.
#[derive(Clone, Debug, Default)]
pub struct Priorities {
    services: collections::BTreeMap<id::Service, Service>,
}

impl Priorities {
    /// Takes over a configuration; what was admitted lately is kept.
    pub fn configure(&mut self, routing: &routing::Routing) {
        let before = std::mem::take(&mut self.services);
        for route in routing.routes() {
            for part in route.parts.iter().filter(|part| part.weight > 0) {
                let service = self.services.entry(part.service.clone()).or_default();
                let target = service.targets.entry(route.priority).or_insert(f64::INFINITY);
                *target = target.min(route.target_latency.as_secs_f64());
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
    pub fn record(&mut self, service: &id::Service, route: &route::Route, is_admitted: bool) {
        let Some(service) = self.services.get_mut(service) else { return };
        let value = f64::from(u8::from(is_admitted));
        let of_priority = service.admitted.entry(route.priority).or_insert(value);
        *of_priority += (value - *of_priority) * REQUEST_WEIGHT;
        let of_all = service.admitted_of_all.get_or_insert(value);
        *of_all += (value - *of_all) * REQUEST_WEIGHT;
    }

    /// Returns how urgent a request is among those of its service.
    #[must_use]
    pub fn rank(&self, request: &request::Request<'_>) -> Rank {
        let Some(service) = self.services.get(request.service) else { return Rank::Alone };
        let priority = request.route.priority;
        let urgent = service.targets.range(..priority).map(|(_, target)| *target);
        match urgent.reduce(f64::min) {
            None => Rank::MostUrgent,
            Some(_) if service.is_starved(priority) => Rank::MostUrgent,
            Some(target) => Rank::Behind { max_wait: seconds::Seconds(target * MAX_WAIT) },
        }
    }
}

impl Service {
    fn is_starved(&self, priority: u32) -> bool {
        match (self.admitted.get(&priority), self.admitted_of_all) {
            (Some(own), Some(all)) => *own < all * LEAST_SHARE,
            _ => false,
        }
    }
}
