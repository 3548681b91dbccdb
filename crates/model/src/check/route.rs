//! Rules for routes.

use std::collections;

use super::LONGEST_DEADLINE;
use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::route;
use crate::snapshot;

/// Most upstreams that a route may send one request to. Bounds the load of one request; not measured.
const MOST_ATTEMPTS: u32 = 8;

/// Checks one route.
pub(super) fn check(route: &route::Route, next: &snapshot::Snapshot, found: &mut Findings) {
    let who = format!("route {}", route.name);
    found.expect(id::is_valid(route.name.as_str()), &who, "name", NAME_RULE);
    let host_ok = !route.host.is_empty() && !route.host.contains([' ', '/', ':']);
    found.expect(host_ok, &who, "host", "expected a host name without port");
    let prefix_ok = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    found.expect(prefix_ok, &who, "prefix", "expected to begin and end with `/`");
    let timeout_ok = !route.timeout.is_zero() && route.timeout <= LONGEST_DEADLINE;
    found.expect(timeout_ok, &who, "timeout", "expected more than 0s and at most 60s");
    let target_ok = !route.target_latency.is_zero() && route.target_latency <= route.timeout;
    found.expect(target_ok, &who, "target_latency", "expected more than 0s, at most the timeout");
    let attempts_ok = (1..=MOST_ATTEMPTS).contains(&route.max_attempts);
    found.expect(attempts_ok, &who, "max_attempts", "expected 1 to 8");
    check_parts(route, next, &who, found);
    check_homes(route, next, &who, found);
}

fn check_parts(route: &route::Route, next: &snapshot::Snapshot, who: &str, found: &mut Findings) {
    let has_weight = route.parts.iter().any(|part| part.weight > 0);
    found.expect(has_weight, who, "parts", "expected a part with a weight above 0");
    let mut names = collections::BTreeSet::new();
    for (index, part) in route.parts.iter().enumerate() {
        let field = format!("parts[{index}].service");
        let known = next.services.contains_key(&part.service);
        found.expect(known, who, &field, "expected a declared service");
        found.expect(names.insert(&part.service), who, &field, "expected each service once");
    }
}

fn check_homes(route: &route::Route, next: &snapshot::Snapshot, who: &str, found: &mut Findings) {
    let services = route.parts.iter().filter_map(|part| next.services.get(&part.service));
    let regions: collections::BTreeSet<&id::Region> =
        services.flat_map(|s| s.spec.upstreams.iter().map(|u| &u.region)).collect();
    for (index, home) in route.home_regions.iter().enumerate() {
        let field = format!("home_regions[{index}]");
        let holds = regions.contains(home);
        found.expect(holds, who, &field, "expected a region that holds upstreams of the route");
    }
}

/// Checks that no two routes match the same host and prefix.
pub(super) fn check_unique(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut owners = collections::BTreeMap::new();
    for stored in next.routes.values() {
        let place = (stored.spec.host.to_ascii_lowercase(), &stored.spec.prefix);
        if let Some(other) = owners.insert(place, &stored.spec.name) {
            let who = format!("route {}", stored.spec.name);
            found.add(&who, "prefix", format!("route {other} has the same host and prefix"));
        }
    }
}
