//! Validation of routes.

use std::collections;

use super::MAX_DEADLINE;
use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::route;
use crate::snapshot;

/// Maximum number of upstreams that a route may send one request to, which bounds the load that one
/// request can cause.
const MAX_ATTEMPTS: u32 = 8;

/// Validates one route.
pub(super) fn check(route: &route::Route, next: &snapshot::Snapshot, findings: &mut Findings) {
    let resource = format!("route {}", route.name);
    findings.expect(id::is_valid(route.name.as_str()), &resource, "name", NAME_RULE);
    let host_is_valid = !route.host.is_empty() && !route.host.contains([' ', '/', ':']);
    findings.expect(host_is_valid, &resource, "host", "expected a host name without port");
    let prefix_is_valid = route.prefix.starts_with('/') && route.prefix.ends_with('/');
    findings.expect(prefix_is_valid, &resource, "prefix", "expected to begin and end with `/`");
    let timeout_is_valid = !route.timeout.is_zero() && route.timeout <= MAX_DEADLINE;
    findings.expect(
        timeout_is_valid,
        &resource,
        "timeout",
        "expected more than 0s and at most 60s",
    );
    let target_is_valid = !route.target_latency.is_zero() && route.target_latency <= route.timeout;
    findings.expect(
        target_is_valid,
        &resource,
        "target_latency",
        "expected more than 0s, at most the timeout",
    );
    let attempts_are_valid = (1..=MAX_ATTEMPTS).contains(&route.max_attempts);
    findings.expect(attempts_are_valid, &resource, "max_attempts", "expected 1 to 8");
    check_parts(route, next, &resource, findings);
    check_home_regions(route, next, &resource, findings);
}

fn check_parts(
    route: &route::Route,
    next: &snapshot::Snapshot,
    resource: &str,
    findings: &mut Findings,
) {
    let has_weight = route.parts.iter().any(|part| part.weight > 0);
    findings.expect(has_weight, resource, "parts", "expected a part with a weight above 0");
    let mut names = collections::BTreeSet::new();
    for (index, part) in route.parts.iter().enumerate() {
        let field = format!("parts[{index}].service");
        let is_declared = next.services.contains_key(&part.service);
        findings.expect(is_declared, resource, &field, "expected a declared service");
        findings.expect(
            names.insert(&part.service),
            resource,
            &field,
            "expected each service once",
        );
    }
}

fn check_home_regions(
    route: &route::Route,
    next: &snapshot::Snapshot,
    resource: &str,
    findings: &mut Findings,
) {
    let services = route.parts.iter().filter_map(|part| next.services.get(&part.service));
    let regions: collections::BTreeSet<&id::Region> =
        services.flat_map(|s| s.spec.upstreams.iter().map(|u| &u.region)).collect();
    for (index, home) in route.home_regions.iter().enumerate() {
        let field = format!("home_regions[{index}]");
        let has_upstreams = regions.contains(home);
        findings.expect(
            has_upstreams,
            resource,
            &field,
            "expected a region that holds upstreams of the route",
        );
    }
}

/// Checks that no two routes match the same host and prefix.
pub(super) fn check_unique(next: &snapshot::Snapshot, findings: &mut Findings) {
    let mut route_by_match = collections::BTreeMap::new();
    for stored in next.routes.values() {
        let host_and_prefix = (stored.spec.host.to_ascii_lowercase(), &stored.spec.prefix);
        if let Some(other) = route_by_match.insert(host_and_prefix, &stored.spec.name) {
            let resource = format!("route {}", stored.spec.name);
            findings.add(
                &resource,
                "prefix",
                format!("route {other} has the same host and prefix"),
            );
        }
    }
}
