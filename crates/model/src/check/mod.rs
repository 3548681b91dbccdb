//! Rules that an accepted configuration keeps, within a resource and across resources.
//!
//! A file for each kind of resource. Every rule that does not hold is collected in
//! `findings`, so that an operator sees all problems of a change at once.

mod cap;
mod drain;
mod evacuation;
pub mod facts;
mod findings;
mod organisation;
mod place;
mod route;
mod service;

use std::time::Duration;

use crate::refusal;
use crate::snapshot;

/// Longest deadline a service may declare; owners wait that long after a hand-over in doubt.
pub const LONGEST_DEADLINE: Duration = Duration::from_secs(60);

/// Checks `next`, which is to follow `previous`.
///
/// # Errors
///
/// Refuses with every rule that does not hold.
pub fn check(
    next: &snapshot::Snapshot,
    previous: &snapshot::Snapshot,
    facts: &facts::Facts,
) -> Result<(), refusal::Refusal> {
    let mut found = findings::Findings::default();
    for stored in next.services.values() {
        service::check(&stored.spec, &mut found);
    }
    service::check_hosts(next, &mut found);
    for stored in next.places.values() {
        place::check(&stored.spec, &mut found);
    }
    place::check_blocks(next, &mut found);
    for stored in next.caps.values() {
        cap::check(&stored.spec, next, &mut found);
    }
    cap::check_one_a_service(next, &mut found);
    for stored in next.drains.values() {
        let is_changed =
            previous.drains.get(&stored.spec.name).map(|s| s.revision) != Some(stored.revision);
        drain::check(&stored.spec, next, facts, is_changed, &mut found);
    }
    for stored in next.routes.values() {
        route::check(&stored.spec, next, &mut found);
    }
    route::check_unique(next, &mut found);
    for stored in next.evacuations.values() {
        evacuation::check(&stored.spec, next, &mut found);
    }
    for stored in next.organisations.values() {
        organisation::check(&stored.spec, next, &mut found);
    }
    organisation::check_keys(next, &mut found);
    match found.problems.is_empty() {
        true => Ok(()),
        false => Err(refusal::Refusal::Invalid { problems: found.problems }),
    }
}
