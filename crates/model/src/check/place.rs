//! Validation of places.

use std::collections;

use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::place;
use crate::snapshot;

/// Validates one place.
pub(super) fn check(place: &place::Place, findings: &mut Findings) {
    let resource = format!("place {}", place.name);
    findings.expect(id::is_valid(place.name.as_str()), &resource, "name", NAME_RULE);
    findings.expect(
        !place.blocks.is_empty(),
        &resource,
        "blocks",
        "expected at least one client block",
    );
    findings.expect(!place.links.is_empty(), &resource, "links", "expected at least one link");
    let mut regions = collections::BTreeSet::new();
    for (index, link) in place.links.iter().enumerate() {
        let field = format!("links[{index}]");
        let is_unique = regions.insert(&link.region);
        findings.expect(
            is_unique,
            &resource,
            &format!("{field}.region"),
            "expected one link to a region",
        );
        let limit_is_valid = link.limit != Some(0);
        findings.expect(
            limit_is_valid,
            &resource,
            &format!("{field}.limit"),
            "expected more than 0 a second",
        );
    }
}

/// Checks that no client block belongs to two places.
pub(super) fn check_blocks(next: &snapshot::Snapshot, findings: &mut Findings) {
    let mut place_by_block: collections::HashMap<ipnet::IpNet, &id::Place> =
        collections::HashMap::new();
    for stored in next.places.values() {
        for block in &stored.spec.blocks {
            if let Some(other) = place_by_block.insert(block.trunc(), &stored.spec.name) {
                let resource = format!("place {}", stored.spec.name);
                findings.add(&resource, "blocks", format!("{block} belongs to place {other} too"));
            }
        }
    }
}
