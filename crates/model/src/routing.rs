//! Routing: one version of all routes, the rules of services and the limits for callers.
//!
//! What a gateway needs of a configuration, whichever source it was decoded from.

use std::collections;
use std::time::Duration;

use crate::id;
use crate::organisation;
use crate::route;

/// Rules for the upstreams of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRules {
    /// Most connections that one upstream accepts from all nodes.
    pub max_connections: Option<u32>,
    /// How long an upstream stays cold after it starts.
    pub cold_start: Duration,
    /// Requests a second that a cold upstream bears; no limit when absent.
    pub cold_rate: Option<f64>,
    /// Statuses by which an upstream proves that it did not run a request.
    pub shed: Vec<u16>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub head_bytes: usize,
    /// Largest body of a request, in bytes.
    pub body_bytes: u64,
    /// Longest time a caller may take to send a head.
    pub head_time: Duration,
    /// Longest time a connection may stay idle between requests.
    pub idle_time: Duration,
}

/// Limits of a configuration that names none. Usual values of HTTP servers; not measured.
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
    /// Grows with each change.
    pub version: u64,
    /// All routes, grouped by host, longest prefix first.
    hosts: collections::HashMap<String, Vec<std::sync::Arc<route::Route>>>,
    /// Rules of services.
    pub services: collections::BTreeMap<id::Service, ServiceRules>,
    /// Limits on what callers may send.
    pub limits: CallerLimits,
    /// Organisations whose keys requests must carry; requests need no key when absent.
    pub organisations: Option<organisation::Index>,
}

impl Routing {
    /// Makes a version of `routes`, whose order does not matter.
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
        for of_host in hosts.values_mut() {
            of_host.sort_by(|a, b| {
                b.prefix.len().cmp(&a.prefix.len()).then_with(|| a.prefix.cmp(&b.prefix))
            });
        }
        Self { version, hosts, services, limits, organisations: None }
    }

    /// Returns this version with organisations, one of whose keys each request must carry.
    #[must_use]
    pub fn with_organisations(self, organisations: organisation::Index) -> Self {
        Self { organisations: Some(organisations), ..self }
    }

    /// Returns the route of a request: that of the host with the longest prefix of the path.
    ///
    /// `host` may carry a port and any case.
    #[must_use]
    pub fn find(&self, host: &str, path: &str) -> Option<&std::sync::Arc<route::Route>> {
        let of_host = self.of_host(host)?;
        of_host.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the regions that may serve something of `host`; empty when any region may.
    #[must_use]
    pub fn home_regions(&self, host: &str) -> Vec<id::Region> {
        let Some(of_host) = self.of_host(host) else { return Vec::new() };
        if of_host.iter().any(|route| route.home_regions.is_empty()) {
            return Vec::new();
        }
        let mut regions: Vec<_> =
            of_host.iter().flat_map(|r| r.home_regions.iter().cloned()).collect();
        regions.sort();
        regions.dedup();
        regions
    }

    /// Returns every route.
    pub fn routes(&self) -> impl Iterator<Item = &std::sync::Arc<route::Route>> {
        self.hosts.values().flatten()
    }

    fn of_host(&self, host: &str) -> Option<&Vec<std::sync::Arc<route::Route>>> {
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
