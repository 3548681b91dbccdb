//! Rules for evacuations.

use super::findings::{Findings, NAME_RULE};
use crate::evacuation;
use crate::id;
use crate::snapshot;

/// Checks one evacuation.
pub(super) fn check(
    evacuation: &evacuation::Evacuation,
    next: &snapshot::Snapshot,
    found: &mut Findings,
) {
    let who = format!("evacuation {}", evacuation.name);
    found.expect(id::is_valid(evacuation.name.as_str()), &who, "name", NAME_RULE);
    let upstreams = next.services.values().flat_map(|s| &s.spec.upstreams);
    let holds = upstreams.into_iter().any(|u| u.hall == evacuation.hall);
    found.expect(holds, &who, "hall", "expected a hall that holds upstreams");
}
