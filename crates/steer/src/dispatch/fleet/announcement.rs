//! Announcement: whether a node sends a heartbeat at once when its copy of the store moved ahead.
//!
//! In a large region most nodes that learnt a change from a node nearby wait for their next heartbeat;
//! otherwise all would announce it to all at once.

/// Nodes of a region that announce a change which they learnt inside the region.
///
/// Not measured. In a region with no more other nodes than this, all announce.
const ANNOUNCERS: usize = 20;

/// Returns whether this node announces a change at once, beside `near` other nodes of its region.
///
/// `draw` returns a uniform number below its argument; it is used in large regions only.
pub fn is_immediate(
    is_from_near_peer: bool,
    near: usize,
    draw: impl FnOnce(usize) -> usize,
) -> bool {
    !is_from_near_peer || near <= ANNOUNCERS || draw(near) < ANNOUNCERS
}
