//! Anti-entropy repair: how a node that missed a report receives the missing facts.
//!
//! Reports are sent a few times at most. A node that was partitioned or paused, started later, or
//! does not receive load reports would otherwise miss them permanently. Each heartbeat therefore
//! contains a digest of the facts known to its sender, and a node with a different digest answers
//! with all facts it knows. Nodes with equal digests exchange nothing. Stateless.

/// Average number of nodes that answer a heartbeat with a different digest; a single one may be
/// partitioned, or its datagram lost.
const RESPONDERS: usize = 8;

/// Order-independent digest of a set of facts; 0 for the empty set.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Digest(pub u64);

impl Digest {
    /// Returns the digest of `facts`, each given by its hash.
    #[must_use]
    pub fn of(facts: impl Iterator<Item = u64>) -> Self {
        Self(facts.fold(0, |digest, fact| digest ^ fact))
    }

    /// Adds a fact that is not in the set, or takes out one that is.
    pub fn toggle(&mut self, fact: u64) {
        self.0 ^= fact;
    }
}

/// Returns whether this node, whose digest is `own`, answers a heartbeat with the digest `theirs`
/// that was sent to `receivers` nodes.
///
/// `draw` returns a uniform random number below its argument; it is called in large regions only.
pub fn is_answered(
    theirs: Digest,
    own: Digest,
    receivers: usize,
    draw: impl FnOnce(usize) -> usize,
) -> bool {
    theirs != own && (receivers <= RESPONDERS || draw(receivers) < RESPONDERS)
}
