//! Repair: how a node that missed a report learns what the others know.
//!
//! Reports are sent a few times at most, so a node that was cut off or paused, started later, or is none of those that load reports go to would
//! miss them for good. Each heartbeat therefore holds a digest of what its sender knows, and a node that knows something else
//! answers with all that it knows itself. Nothing is sent where all know the same. Owns nothing.

/// Nodes that answer a heartbeat whose digest differs from theirs, on average; one alone may be cut off, or its datagram lost.
const ANSWERS: usize = 8;

/// Digest of a set of facts, whatever their order; 0 for none.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of facts, each of which is named by a hash.
    #[must_use]
    pub fn of(facts: impl Iterator<Item = u64>) -> Self {
        Self(facts.fold(0, |digest, fact| digest ^ fact))
    }
}

/// Returns whether this node answers a heartbeat whose sender knows `theirs`, where it knows `own` itself and `receivers` nodes get the heartbeat.
///
/// `draw` returns a uniform number below its argument; it is used in large regions only.
pub fn is_answered(
    theirs: Digest,
    own: Digest,
    receivers: usize,
    draw: impl FnOnce(usize) -> usize,
) -> bool {
    theirs != own && (receivers <= ANSWERS || draw(receivers) < ANSWERS)
}
