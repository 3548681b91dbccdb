//! Incarnation: one process of an upstream.
//!
//! What a process says of itself ends with it: one that starts again under its name, or another one at its address, is another
//! incarnation.

use model::discovery;
use model::id;
use xxhash_rust::xxh3;

/// One process of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Incarnation {
    /// The upstream.
    pub upstream: id::Upstream,
    /// When it started, in milliseconds since 1970; 0 where its entry does not say.
    pub born: u64,
}

impl Incarnation {
    /// Returns the process that an entry is about.
    #[must_use]
    pub fn of(entry: &discovery::Entry) -> Self {
        Self { upstream: entry.id.clone(), born: entry.born }
    }

    /// Returns a hash that is the same at every node.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3::xxh3_64_with_seed(self.upstream.as_str().as_bytes(), self.born)
    }
}
