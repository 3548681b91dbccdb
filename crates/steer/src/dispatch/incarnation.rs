//! Incarnation: one process of an upstream.
//!
//! What a process says of itself ends with it: one that starts again under its name, or another one at its address, is another
//! incarnation.

use model::discovery;
use model::id;

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
}
