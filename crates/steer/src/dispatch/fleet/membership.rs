//! Membership: whether another node is one of this fleet.
//!
//! A node may get the address of one of another fleet that is gone, and those that knew it go on sending to it. Owns nothing.

use model::id;

/// Returns whether a node that says `theirs` counts as one of the fleet `own`.
///
/// Who does not know the number yet, such as a node that starts, counts: it knows nothing else either.
#[must_use]
pub fn is_of(own: Option<id::Fleet>, theirs: Option<id::Fleet>) -> bool {
    match (own, theirs) {
        (Some(own), Some(theirs)) => own == theirs,
        (None, _) | (_, None) => true,
    }
}
