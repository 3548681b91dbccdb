//! Seen objects: whether an upstream is expected to know the object of a request.
//!
//! Owns, for one upstream, the objects of this node's latest answers from it. An upstream works faster on an
//! object that it has seen lately. Relies on [`affinity`] for what other nodes have probably shown it: all nodes
//! prefer the same upstreams for an object. [`expected_processing_time`] observes what each case is worth.
//!
//! [`affinity`]: crate::dispatch::affinity
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time

use std::collections;

/// Objects that are remembered for one upstream.
///
/// Not measured; above what upstreams of the known deployments keep (13 to 49), and 16 KB of memory.
const MAX_OBJECTS: usize = 512;

/// What an upstream is expected to know of an object.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Sight {
    /// All nodes prefer it for the object, and it has answered a request about it that this node sent.
    Seen,
    /// All nodes prefer it, and it has not.
    Preferred,
    /// Another one is preferred, but it has answered a request about the object that this node sent.
    SeenElsewhere,
    /// It has not, and is the object's second upstream.
    Second,
    /// It has not, and is any other upstream.
    Further,
}

/// A request's object, with what the chosen upstream is expected to know of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Object {
    /// Hash of the object.
    pub key: u64,
    /// What the upstream is expected to know.
    pub sight: Sight,
}

impl Sight {
    /// Returns the case of an upstream at `rank` of the object's preferences; 0 is first.
    #[must_use]
    pub fn of(has_seen: bool, rank: usize) -> Self {
        match (has_seen, rank) {
            (true, 0) => Self::Seen,
            (true, _) => Self::SeenElsewhere,
            (false, 0) => Self::Preferred,
            (false, 1) => Self::Second,
            (false, _) => Self::Further,
        }
    }
}

/// Objects that one upstream has answered for this node, the latest ones.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    answered: collections::HashMap<u64, u64>,
    count: u64,
}

impl Objects {
    /// Returns whether the upstream has answered about the object.
    #[must_use]
    pub fn contains(&self, object: u64) -> bool {
        self.answered.contains_key(&object)
    }

    /// Records an answer about the object.
    pub fn record(&mut self, object: u64) {
        self.count += 1;
        self.answered.insert(object, self.count);
        if self.answered.len() > MAX_OBJECTS {
            self.forget_older_half();
        }
    }

    fn forget_older_half(&mut self) {
        let mut times: Vec<u64> = self.answered.values().copied().collect();
        times.sort_unstable();
        let oldest = times.get(times.len() / 2).copied().unwrap_or(0);
        self.answered.retain(|_, time| *time >= oldest);
    }
}
