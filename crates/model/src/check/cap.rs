//! Validation of caps.

use std::collections;
use std::time::Duration;

use super::findings::{Findings, NAME_RULE};
use crate::cap;
use crate::id;
use crate::snapshot;

/// Validates one cap.
pub(super) fn check(cap: &cap::Cap, next: &snapshot::Snapshot, findings: &mut Findings) {
    let resource = format!("cap {}", cap.name);
    findings.expect(id::is_valid(cap.name.as_str()), &resource, "name", NAME_RULE);
    let is_declared = next.services.contains_key(&cap.service);
    findings.expect(is_declared, &resource, "service", "expected a declared service");
    findings.expect(cap.share.0 > 0, &resource, "share", "expected more than 0 per cent");
    let window_is_valid = cap.window >= Duration::from_secs(1);
    findings.expect(window_is_valid, &resource, "window", "expected at least 1s");
    let lost_share_is_valid = cap.lost_share.is_none_or(|lost| lost >= cap.share);
    findings.expect(lost_share_is_valid, &resource, "lost_share", "expected at least `share`");
}

/// Checks that each service has at most one cap.
pub(super) fn check_one_per_service(next: &snapshot::Snapshot, findings: &mut Findings) {
    let mut cap_by_service = collections::BTreeMap::new();
    for stored in next.caps.values() {
        if let Some(other) = cap_by_service.insert(&stored.spec.service, &stored.spec.name) {
            let resource = format!("cap {}", stored.spec.name);
            findings.add(&resource, "service", format!("cap {other} binds the same service"));
        }
    }
}
