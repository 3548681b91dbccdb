//! Membership: whether another node belongs to the same fleet.
//!
//! A node may be assigned the address of a former node of another fleet, whose nodes keep sending
//! to that address. Stateless.

use model::id;

/// Returns whether a node that reports the fleet ID `theirs` is treated as a member of the fleet
/// `own`.
///
/// A node without a fleet ID, such as one that has just started, is treated as a member: it has no
/// other state of a fleet either.
#[must_use]
pub fn is_of(own: Option<id::Fleet>, theirs: Option<id::Fleet>) -> bool {
    match (own, theirs) {
        (Some(own), Some(theirs)) => own == theirs,
        (None, _) | (_, None) => true,
    }
}
