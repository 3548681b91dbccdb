//! Routing configuration of a gateway: routes, service rules, caller limits and organisations.
//!
//! The types do not depend on the source that a configuration was decoded from.

use std::collections;
use std::time::Duration;

use crate::id;
use crate::organisation;
use crate::route;

/// Rules for the upstreams of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// Maximum number of connections that one upstream accepts from all nodes together.
    pub max_connections: Option<u32>,
    /// Duration of the cold start of an upstream.
    pub cold_start: Duration,
    /// Limit on the requests per second to an upstream during its cold start; unlimited when
    /// absent.
    pub cold_rate: Option<f64>,
    /// HTTP statuses that prove that the upstream did not run the request.
    pub shed: Vec<u16>,
    /// Path of the health check of the upstreams; absent if they have none.
    pub health_check_path: Option<String>,
}

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Maximum size of a request head, in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body, in bytes.
    pub body_bytes: u64,
    /// Longest time that a caller may take to send a request head.
    pub head_time: Duration,
    /// Longest time that a connection may be idle between requests.
    pub idle_time: Duration,
}

/// Limits for a configuration that sets none; common defaults of HTTP servers.
impl Default for CallerLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1_024,
            body_bytes: 64 * 1_024 * 1_024,
            head_time: Duration::from_secs(3),
            idle_time: Duration::from_secs(15),
        }
    }
}

/// One version of the routing configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Routing {
    /// Version number; it increases with each change.
    pub version: u64,
    /// Routes by lower-case host, longest prefix first.
    hosts: collections::HashMap<String, Vec<std::sync::Arc<route::Route>>>,
    /// Rules by service.
    pub services: collections::BTreeMap<id::Service, ServiceRules>,
    /// Limits on the requests of callers.
    pub limits: CallerLimits,
    /// Organisations whose keys requests must present; requests need no key when absent.
    pub organisations: Option<organisation::Index>,
}

impl Routing {
    /// Creates a configuration version. The order of `routes` does not matter.
    #[must_use]
    pub fn new(
        version: u64,
        routes: Vec<route::Route>,
        services: collections::BTreeMap<id::Service, ServiceRules>,
        limits: CallerLimits,
    ) -> Self {
        let mut hosts: collections::HashMap<String, Vec<std::sync::Arc<route::Route>>> =
            collections::HashMap::new();
        for route in routes {
            let host = route.host.to_ascii_lowercase();
            hosts.entry(host).or_default().push(std::sync::Arc::new(route));
        }
        for host_routes in hosts.values_mut() {
            host_routes.sort_by(|a, b| {
                b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix))
            });
        }
        Self { version, hosts, services, limits, organisations: None }
    }

    /// Adds organisations, so that each request must present a key of one of them.
    #[must_use]
    pub fn with_organisations(self, organisations: organisation::Index) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// Returns the route of `host` with the longest matching path prefix.
    ///
    /// `host` may include a port, and its case is ignored.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&std::sync::Arc<route::Route>> {
        let routes = self.routes_of_host(host)?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the regions that may serve any route of `host`; empty if every region may.
    #[must_use]
    pub fn home_regions(&self, host: &str) -> Vec<id::Region> {
        let Some(routes) = self.routes_of_host(host) else { return Vec::new() };
        if routes.iter().any(|route| route.home_regions.is_empty()) {
            return Vec::new();
        }
        let mut regions: Vec<_> =
            routes.iter().flat_map(|r| r.home_regions.iter().cloned()).collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Iterates over the services of the routes of `host`; a service of several routes comes several
    /// times.
    pub fn services_of_host(&self, host: &str) -> impl Iterator<Item = &id::Service> {
        let routes = self.routes_of_host(host).into_iter().flatten();
        routes.flat_map(|route| &route.parts).map(|part| &part.service)
    }

    /// Iterates over all routes.
    pub fn routes(&self) -> impl Iterator<Item = &std::sync::Arc<route::Route>> {
        self.hosts.values().flatten()
    }

    fn routes_of_host(&self, host: &str) -> Option<&Vec<std::sync::Arc<route::Route>>> {
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.chars().all(|c| c.is_ascii_digit()) => name,
            _ => host,
        };
        match self.hosts.get(name) {
            Some(routes) => Some(routes),
            None => self.hosts.get(&name.to_ascii_lowercase()),
        }
    }
}
