//! Rules for caps.

use std::collections;
use std::time::Duration;

use super::findings::{Findings, NAME_RULE};
use crate::cap;
use crate::id;
use crate::snapshot;

/// Checks one cap.
pub(super) fn check(cap: &cap::Cap, next: &snapshot::Snapshot, found: &mut Findings) {
    let who = format!("cap {}", cap.name);
    found.expect(id::is_valid(cap.name.as_str()), &who, "name", NAME_RULE);
    let known = next.services.contains_key(&cap.service);
    found.expect(known, &who, "service", "expected a declared service");
    found.expect(cap.share.0 > 0, &who, "share", "expected more than 0 per cent");
    let window_ok = cap.window >= Duration::from_secs(1);
    found.expect(window_ok, &who, "window", "expected at least 1s");
    let lost_ok = cap.lost_share.is_none_or(|lost| lost >= cap.share);
    found.expect(lost_ok, &who, "lost_share", "expected at least `share`");
}

/// Checks that at most one cap binds each service.
pub(super) fn check_one_a_service(next: &snapshot::Snapshot, found: &mut Findings) {
    let mut owners = collections::BTreeMap::new();
    for stored in next.caps.values() {
        if let Some(other) = owners.insert(&stored.spec.service, &stored.spec.name) {
            let who = format!("cap {}", stored.spec.name);
            found.add(&who, "service", format!("cap {other} binds the same service"));
        }
    }
}
