//! Shares: how the slots of an upstream are divided among its ranked nodes.
//!
//! The shares of one epoch add up to the slots, so that nodes which cannot reach each other never
//! use more than there are, whatever each believes. Owns the division. Relies on the ranks of
//! [`rendezvous`](crate::ownership::rendezvous).

/// Returns the share of the node at `rank` (the owner is 0) of `slots`, with `ranks` nodes ranked.
///
/// Each rank takes half of what the ranks before it left, rounded up; the last takes the rest:
/// 6 slots are 3, 2, 1 and 3 slots are 2, 1, 0.
#[must_use]
pub fn of(slots: u32, rank: usize, ranks: usize) -> u32 {
    let mut left = slots;
    for _ in 0..rank {
        left -= left.div_ceil(2);
    }
    match () {
        () if rank >= ranks => 0,
        () if rank + 1 == ranks => left,
        () => left.div_ceil(2),
    }
}
