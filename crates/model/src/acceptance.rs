//! Applies a change to a snapshot and validates the result as a whole.

use crate::change;
use crate::check;
use crate::refusal;
use crate::snapshot;

/// Applies `change` to `previous` and returns the next snapshot.
///
/// # Errors
///
/// Returns a [`refusal::Refusal`] if the expected revision is not the current one, a resource to
/// delete does not exist, or the result violates a rule of [`crate::check`].
pub fn apply(
    previous: &snapshot::Snapshot,
    change: &change::Change,
    context: &check::context::Context,
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
        next.apply_step(step)?;
    }
    check::check(&next, previous, context)?;
    next.record_operation(&change.operation);
    Ok(next)
}
