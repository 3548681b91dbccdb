//! Validation of evacuations.

use super::findings::{Findings, NAME_RULE};
use crate::evacuation;
use crate::id;
use crate::snapshot;

/// Validates one evacuation.
pub(super) fn check(
    evacuation: &evacuation::Evacuation,
    next: &snapshot::Snapshot,
    findings: &mut Findings,
) {
    let resource = format!("evacuation {}", evacuation.name);
    findings.expect(id::is_valid(evacuation.name.as_str()), &resource, "name", NAME_RULE);
    let upstreams = next.services.values().flat_map(|s| &s.spec.upstreams);
    let has_upstreams = upstreams.into_iter().any(|u| u.hall == evacuation.hall);
    findings.expect(has_upstreams, &resource, "hall", "expected a hall that holds upstreams");
}
