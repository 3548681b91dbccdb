//! Rules for places.

use std::collections;

use super::findings::{Findings, NAME_RULE};
use crate::id;
use crate::place;
use crate::snapshot;

/// Checks one place.
pub(super) fn check(place: &place::Place, found: &mut Findings) {
    let who = format!("place {}", place.name);
    found.expect(id::is_valid(place.name.as_str()), &who, "name", NAME_RULE);
    found.expect(!place.blocks.is_empty(), &who, "blocks", "expected at least one client block");
    found.expect(!place.links.is_empty(), &who, "links", "expected at least one link");
    let mut regions = collections::BTreeSet::new();
    for (index, link) in place.links.iter().enumerate() {
        let field = format!("links[{index}]");
        let fresh = regions.insert(&link.region);
        found.expect(fresh, &who, &format!("{field}.region"), "expected one link to a region");
        let limit_ok = link.limit != Some(0);
        found.expect(limit_ok, &who, &format!("{field}.limit"), "expected more than 0 a second");
    }
}

/// Checks that no client block belongs to two places.
pub(super) fn check_blocks(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut owners: collections::HashMap<ipnet::IpNet, &id::Place> = collections::HashMap::new();
    for stored in next.places.values() {
        for block in &stored.spec.blocks {
            if let Some(other) = owners.insert(block.trunc(), &stored.spec.name) {
                let who = format!("place {}", stored.spec.name);
                found.add(&who, "blocks", format!("{block} belongs to place {other} too"));
            }
        }
    }
}
