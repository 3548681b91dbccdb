//! Rules for organisations.

use std::collections;

use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::organisation;
use crate::snapshot;

/// Checks one organisation.
pub(super) fn check(
    organisation: &organisation::Organisation,
    next: &snapshot::Snapshot,
    found: &mut Findings,
) {
    let who = format!("organisation {}", organisation.name);
    found.expect(id::is_valid(organisation.name.as_str()), &who, "name", NAME_RULE);
    if let Some(quota) = &organisation.quota {
        let is_rate = quota.rate.is_finite() && quota.rate > 0.0;
        found.expect(
            is_rate,
            &who,
            "quota.rate",
            "expected more than 0; leave out `quota` for no limit",
        );
        let is_burst = quota.burst.is_finite() && quota.burst >= 0.0;
        found.expect(is_burst, &who, "quota.burst", "expected 0 or more");
    }
    let upstreams = next.services.values().flat_map(|s| &s.spec.upstreams);
    let regions: collections::BTreeSet<&id::Region> = upstreams.map(|u| &u.region).collect();
    for (index, home) in organisation.home_regions.iter().enumerate() {
        let field = format!("home_regions[{index}]");
        found.expect(
            regions.contains(home),
            &who,
            &field,
            "expected a region that holds upstreams",
        );
    }
}

/// Checks that no key stands twice.
pub(super) fn check_keys(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut owners = collections::BTreeMap::new();
    for stored in next.organisations.values() {
        let who = format!("organisation {}", stored.spec.name);
        for (index, key) in stored.spec.keys.iter().enumerate() {
            if let Some(other) = owners.insert(key, &stored.spec.name) {
                let field = format!("keys[{index}]");
                found.add(&who, &field, format!("organisation {other} has the same key"));
            }
        }
    }
}
