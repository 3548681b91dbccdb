//! Acceptance: the snapshot that follows another after a change, checked as a whole.

use crate::change;
use crate::check;
use crate::refusal;
use crate::snapshot;

/// Returns the snapshot that follows `previous` after `change`.
///
/// # Errors
///
/// Refuses when the expected revision does not stand, a resource to delete is missing, or a rule
/// fails.
pub fn apply(
    previous: &snapshot::Snapshot,
    change: &change::Change,
    facts: &check::facts::Facts,
) -> Result<snapshot::Snapshot, refusal::Refusal> {
    match change.expected {
        Some(expected) if expected != previous.revision => {
            return Err(refusal::Refusal::Conflict { expected, found: previous.revision });
        }
        _ => {}
    }
    let mut next = previous.clone();
    next.revision = previous.revision.next();
    for step in &change.steps {
        next.take(step)?;
    }
    check::check(&next, previous, facts)?;
    next.remember(&change.operation);
    Ok(next)
}
