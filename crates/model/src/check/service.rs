//! Rules for services and their upstreams.

use std::collections;

use super::LONGEST_DEADLINE;
use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::service;
use crate::snapshot;
use crate::upstream;

/// Most upstreams one service may declare. Not measured; well above the
/// largest service of the size to build for.
const MOST_UPSTREAMS: usize = 4096;

/// Most slots one upstream may declare. Not measured; keeps sums of slots well inside 32
/// bits.
const MOST_SLOTS: u32 = 4096;

/// Connections that an owner may hold to an upstream beside those in use: eight idle ones in each of two
/// threads, one for probes, and a few that are closing.
const SPARE_CONNECTIONS: u32 = 24;

/// Checks one service.
pub(super) fn check(service: &service::Service, found: &mut Findings) {
    let who = format!("service {}", service.name);
    found.expect(id::is_valid(service.name.as_str()), &who, "name", NAME_RULE);
    let host_ok = !service.host.is_empty() && !service.host.contains([' ', '/', ':']);
    found.expect(host_ok, &who, "host", "expected a host name without port");
    let deadline_ok = !service.deadline.is_zero() && service.deadline <= LONGEST_DEADLINE;
    found.expect(deadline_ok, &who, "deadline", "expected more than 0s and at most 60s");
    found.expect(service.hold <= service.deadline, &who, "hold", "expected at most the deadline");
    let count = service.upstreams.len();
    found.expect(count <= MOST_UPSTREAMS, &who, "upstreams", "expected at most 4096 upstreams");
    let mut names = collections::BTreeSet::new();
    let mut addresses = collections::BTreeSet::new();
    for (index, upstream) in service.upstreams.iter().enumerate() {
        let field = format!("upstreams[{index}]");
        check_upstream(upstream, &who, &field, found);
        let fresh = names.insert(&upstream.name);
        found.expect(fresh, &who, &format!("{field}.name"), "expected a name of its own");
        let fresh = addresses.insert(upstream.address);
        found.expect(fresh, &who, &format!("{field}.address"), "expected an address of its own");
    }
    for (index, pattern) in service.once.iter().chain(&service.repeatable).enumerate() {
        let field = format!("patterns[{index}]");
        let ok = !pattern.method.is_empty() && pattern.path.starts_with('/');
        found.expect(ok, &who, &field, "expected a method and a path that starts with `/`");
    }
}

fn check_upstream(upstream: &upstream::Upstream, who: &str, field: &str, found: &mut Findings) {
    let names = [upstream.name.as_str(), upstream.region.as_str(), upstream.hall.as_str()];
    found.expect(names.iter().all(|n| id::is_valid(n)), who, field, NAME_RULE);
    let slots_ok = (1..=MOST_SLOTS).contains(&upstream.slots);
    found.expect(slots_ok, who, &format!("{field}.slots"), "expected 1 to 4096");
    let connections_ok = upstream.connections >= upstream.slots + SPARE_CONNECTIONS;
    found.expect(
        connections_ok,
        who,
        &format!("{field}.connections"),
        "expected at least 24 more connections than slots",
    );
}

/// Checks that no two services have the same host.
pub(super) fn check_hosts(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut hosts = collections::BTreeMap::new();
    for stored in next.services.values() {
        let host = stored.spec.host.to_ascii_lowercase();
        if let Some(other) = hosts.insert(host, &stored.spec.name) {
            let who = format!("service {}", stored.spec.name);
            found.add(&who, "host", format!("service {other} has the same host"));
        }
    }
}
