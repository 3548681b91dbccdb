//! Incarnation: one process of an upstream.
//!
//! What a process states about itself applies only to that process. An upstream that restarts under
//! the same name, or another upstream at the same address, is a different incarnation.

use model::discovery;
use model::id;
use xxhash_rust::xxh3;

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Start time in milliseconds since the Unix epoch; 0 if the discovery entry has none.
    pub born: u64,
}

impl Incarnation {
    /// Returns the incarnation that a discovery entry describes.
    #[must_use]
    pub fn of(entry: &discovery::Entry) -> Self {
        Self { upstream: entry.id.clone(), born: entry.born }
    }

    /// Returns a hash that is the same on every node.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.upstream.as_str().as_bytes(), self.born)
    }
}
