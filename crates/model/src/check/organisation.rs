//! Validation of organisations.

use std::collections;

use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::organisation;
use crate::snapshot;

/// Validates one organisation.
pub(super) fn check(
    organisation: &organisation::Organisation,
    next: &snapshot::Snapshot,
    findings: &mut Findings,
) {
    let resource = format!("organisation {}", organisation.name);
    findings.expect(id::is_valid(organisation.name.as_str()), &resource, "name", NAME_RULE);
    if let Some(quota) = &organisation.quota {
        let rate_is_valid = quota.rate.is_finite() && quota.rate > 0.0;
        findings.expect(
            rate_is_valid,
            &resource,
            "quota.rate",
            "expected more than 0; leave out `quota` for no limit",
        );
        let burst_is_valid = quota.burst.is_finite() && quota.burst >= 0.0;
        findings.expect(burst_is_valid, &resource, "quota.burst", "expected 0 or more");
    }
    let upstreams = next.services.values().flat_map(|s| &s.spec.upstreams);
    let regions: collections::BTreeSet<&id::Region> = upstreams.map(|u| &u.region).collect();
    for (index, home) in organisation.home_regions.iter().enumerate() {
        let field = format!("home_regions[{index}]");
        findings.expect(
            regions.contains(home),
            &resource,
            &field,
            "expected a region that holds upstreams",
        );
    }
}

/// Checks that no key is declared twice.
pub(super) fn check_keys(next: &snapshot::Snapshot, findings: &mut Findings) {
    let mut organisation_by_key = collections::BTreeMap::new();
    for stored in next.organisations.values() {
        let resource = format!("organisation {}", stored.spec.name);
        for (index, key) in stored.spec.keys.iter().enumerate() {
            if let Some(other) = organisation_by_key.insert(key, &stored.spec.name) {
                let field = format!("keys[{index}]");
                findings.add(&resource, &field, format!("organisation {other} has the same key"));
            }
        }
    }
}
