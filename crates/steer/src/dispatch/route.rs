//! Route: splits the requests of a route between its services.
//!
//! Owns a smooth weighted round robin for each route with several parts, so that each service's
//! share is accurate to within one request. Called once per request, before the first attempt.

use std::collections;

use model::id;
use model::route;

use crate::common::round_robin;

/// Round-robin state of each route with several services.
#[derive(Clone, Debug, Default)]
pub struct Rotations {
    by_route: collections::BTreeMap<id::Route, round_robin::RoundRobin<id::Service>>,
}

impl Rotations {
    /// Drops the state of routes that are not in `routes`.
    pub fn retain(&mut self, routes: &collections::BTreeSet<id::Route>) {
        self.by_route.retain(|name, _| routes.contains(name));
    }

    /// Returns the service for the next request of `route`, or `None` if all weights are zero.
    pub fn next_service(&mut self, route: &route::Route) -> Option<id::Service> {
        if let [part] = route.parts.as_slice() {
            return Some(part.service.clone());
        }
        let weights: Vec<_> =
            route.parts.iter().map(|p| (p.service.clone(), f64::from(p.weight))).collect();
        match self.by_route.get_mut(&route.name) {
            Some(rotation) => rotation.next(&weights),
            None => self.by_route.entry(route.name.clone()).or_default().next(&weights),
        }
    }
}
