//! Validation of services and their upstreams.

use std::collections;

use super::MAX_DEADLINE;
use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::service;
use crate::snapshot;
use crate::upstream;

/// Maximum number of upstreams of one service, well above the largest deployment that is planned
/// for.
const MAX_UPSTREAMS: usize = 4096;

/// Maximum number of slots of one upstream, which keeps sums of slots well within 32 bits.
const MAX_SLOTS: u32 = 4096;

/// Connections that an owner may have to an upstream in addition to those in use: eight idle ones
/// in each of two threads, one for probes, and a few that are closing.
const SPARE_CONNECTIONS: u32 = 24;

/// Validates one service.
pub(super) fn check(service: &service::Service, findings: &mut Findings) {
    let resource = format!("service {}", service.name);
    findings.expect(id::is_valid(service.name.as_str()), &resource, "name", NAME_RULE);
    let host_is_valid = !service.host.is_empty() && !service.host.contains([' ', '/', ':']);
    findings.expect(host_is_valid, &resource, "host", "expected a host name without port");
    let deadline_is_valid = !service.deadline.is_zero() && service.deadline <= MAX_DEADLINE;
    findings.expect(
        deadline_is_valid,
        &resource,
        "deadline",
        "expected more than 0s and at most 60s",
    );
    findings.expect(
        service.hold <= service.deadline,
        &resource,
        "hold",
        "expected at most the deadline",
    );
    let count = service.upstreams.len();
    findings.expect(
        count <= MAX_UPSTREAMS,
        &resource,
        "upstreams",
        "expected at most 4096 upstreams",
    );
    let mut names = collections::BTreeSet::new();
    let mut addresses = collections::BTreeSet::new();
    for (index, upstream) in service.upstreams.iter().enumerate() {
        let field = format!("upstreams[{index}]");
        check_upstream(upstream, &resource, &field, findings);
        let is_unique = names.insert(&upstream.name);
        findings.expect(
            is_unique,
            &resource,
            &format!("{field}.name"),
            "expected a name of its own",
        );
        let is_unique = addresses.insert(upstream.address);
        findings.expect(
            is_unique,
            &resource,
            &format!("{field}.address"),
            "expected an address of its own",
        );
    }
    for (index, pattern) in service.once.iter().chain(&service.repeatable).enumerate() {
        let field = format!("patterns[{index}]");
        let is_valid = !pattern.method.is_empty() && pattern.path.starts_with('/');
        findings.expect(
            is_valid,
            &resource,
            &field,
            "expected a method and a path that starts with `/`",
        );
    }
}

fn check_upstream(
    upstream: &upstream::Upstream,
    resource: &str,
    field: &str,
    findings: &mut Findings,
) {
    let names = [upstream.name.as_str(), upstream.region.as_str(), upstream.hall.as_str()];
    findings.expect(names.iter().all(|n| id::is_valid(n)), resource, field, NAME_RULE);
    let slots_are_valid = (1..=MAX_SLOTS).contains(&upstream.slots);
    findings.expect(slots_are_valid, resource, &format!("{field}.slots"), "expected 1 to 4096");
    let connections_are_valid = upstream.connections >= upstream.slots + SPARE_CONNECTIONS;
    findings.expect(
        connections_are_valid,
        resource,
        &format!("{field}.connections"),
        "expected at least 24 more connections than slots",
    );
}

/// Checks that no two services have the same host.
pub(super) fn check_hosts(next: &snapshot::Snapshot, findings: &mut Findings) {
    let mut service_by_host = collections::BTreeMap::new();
    for stored in next.services.values() {
        let host = stored.spec.host.to_ascii_lowercase();
        if let Some(other) = service_by_host.insert(host, &stored.spec.name) {
            let resource = format!("service {}", stored.spec.name);
            findings.add(&resource, "host", format!("service {other} has the same host"));
        }
    }
}
