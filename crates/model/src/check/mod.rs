//! Validation of a configuration, within each resource and across resources.
//!
//! There is one module per kind of resource. All violations are collected in `findings`, so that an
//! operator sees every problem of a change at once.

mod cap;
pub mod context;
mod drain;
mod evacuation;
mod findings;
mod organisation;
mod place;
mod route;
mod service;

use std::time::Duration;

use crate::refusal;
use crate::snapshot;

/// Maximum deadline of a service. After a handover whose outcome is unknown, owners wait this long.
pub const MAX_DEADLINE: Duration = Duration::from_secs(60);

/// Validates `next`, which is to replace `previous`.
///
/// # Errors
///
/// Returns [`refusal::Refusal::Invalid`] with all violations.
pub fn check(
    next: &snapshot::Snapshot,
    previous: &snapshot::Snapshot,
    context: &context::Context,
) -> Result<(), refusal::Refusal> {
    let mut findings = findings::Findings::default();
    for stored in next.services.values() {
        service::check(&stored.spec, &mut findings);
    }
    service::check_hosts(next, &mut findings);
    for stored in next.places.values() {
        place::check(&stored.spec, &mut findings);
    }
    place::check_blocks(next, &mut findings);
    for stored in next.caps.values() {
        cap::check(&stored.spec, next, &mut findings);
    }
    cap::check_one_per_service(next, &mut findings);
    for stored in next.drains.values() {
        let is_changed =
            previous.drains.get(&stored.spec.name).map(|s| s.revision) != Some(stored.revision);
        drain::check(&stored.spec, next, context, is_changed, &mut findings);
    }
    for stored in next.routes.values() {
        route::check(&stored.spec, next, &mut findings);
    }
    route::check_unique(next, &mut findings);
    for stored in next.evacuations.values() {
        evacuation::check(&stored.spec, next, &mut findings);
    }
    for stored in next.organisations.values() {
        organisation::check(&stored.spec, next, &mut findings);
    }
    organisation::check_keys(next, &mut findings);
    match findings.problems.is_empty() {
        true => Ok(()),
        false => Err(refusal::Refusal::Invalid { problems: findings.problems }),
    }
}
