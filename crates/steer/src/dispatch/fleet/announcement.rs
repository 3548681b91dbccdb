//! Announcement: whether a node sends a heartbeat immediately after its copy of the store advanced.
//!
//! In a large region most nodes that received a change from a node of the same region wait for
//! their next regular heartbeat; otherwise every node would announce the change to every other at
//! once.

/// Average number of nodes per region that immediately announce a change received within the
/// region.
///
/// In a region with at most this many other nodes, all of them do.
const ANNOUNCERS: usize = 20;

/// Returns whether this node announces a change immediately, in a region with `near` other nodes.
///
/// `draw` returns a uniform random number below its argument; it is called in large regions only.
pub fn is_immediate(
    is_from_near_peer: bool,
    near: usize,
    draw: impl FnOnce(usize) -> usize,
) -> bool {
    !is_from_near_peer || near <= ANNOUNCERS || draw(near) < ANNOUNCERS
}
