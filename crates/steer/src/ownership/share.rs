//! Shares: the division of an upstream's slots among its ranked nodes.
//!
//! The shares of one epoch add up to the slots, so that nodes which cannot reach each other never use
//! more slots than the upstream has. [`rendezvous`](crate::ownership::rendezvous) ranks the nodes.

/// Returns the share in `slots` of the node at `rank` (the owner is 0), with `ranks` nodes ranked.
///
/// Each rank gets half of the slots that remain after the ranks before it, rounded up; the last rank
/// gets the rest. With three ranks, 6 slots are divided into 3, 2, 1 and 3 slots into 2, 1, 0.
#[must_use]
pub fn of_rank(slots: u32, rank: usize, ranks: usize) -> u32 {
    let mut remaining = slots;
    for _ in 0..rank {
        remaining -= remaining.div_ceil(2);
    }
    match () {
        () if rank >= ranks => 0,
        () if rank + 1 == ranks => remaining,
        () => remaining.div_ceil(2),
    }
}
