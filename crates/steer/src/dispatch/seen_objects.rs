//! Seen objects: whether an upstream probably has a request's object cached.
//!
//! Owns, for one upstream, the objects of its latest responses to this node, since upstreams process
//! recently seen objects faster. What an upstream has seen through other nodes is inferred from
//! [`affinity`], because all nodes prefer the same upstreams for an object.
//! [`expected_processing_time`] estimates the processing time of each case.
//!
//! [`affinity`]: crate::dispatch::affinity
//! [`expected_processing_time`]: crate::dispatch::expected_processing_time

use std::collections;

/// Maximum number of objects recorded per upstream.
///
/// Exceeds the cache sizes of upstreams in the known deployments (13 to 49 objects) and takes 16 KB
/// of memory.
const MAX_OBJECTS: usize = 512;

/// Whether an upstream probably has an object cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Familiarity {
    /// The upstream is the object's first choice and has answered this node's requests for it.
    Seen,
    /// The upstream is the object's first choice but has not answered this node's requests for it.
    Preferred,
    /// The upstream is not the object's first choice but has answered this node's requests for it.
    SeenElsewhere,
    /// The upstream is the object's second choice and has not answered this node's requests for it.
    Second,
    /// The upstream is a later choice and has not answered this node's requests for the object.
    Further,
}

/// A request's object and whether the chosen upstream probably has it cached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Object {
    /// Hash of the object.
    pub key: u64,
    /// Whether the upstream probably has the object cached.
    pub familiarity: Familiarity,
}

impl Familiarity {
    /// Returns the case of an upstream at `rank` in the object's order of preference; 0 is the first.
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

/// Objects of the latest responses of one upstream to this node.
#[derive(Clone, Debug, Default)]
pub struct Objects {
    /// Sequence number of the latest response for each object.
    latest: collections::HashMap<u64, u64>,
    responses: u64,
}

impl Objects {
    /// Returns whether the upstream has recently answered a request for the object.
    #[must_use]
    pub fn contains(&self, object: u64) -> bool {
        self.latest.contains_key(&object)
    }

    /// Records a response for the object.
    pub fn record(&mut self, object: u64) {
        self.responses += 1;
        self.latest.insert(object, self.responses);
        if self.latest.len() > MAX_OBJECTS {
            self.evict_older_half();
        }
    }

    fn evict_older_half(&mut self) {
        let mut sequence_numbers: Vec<u64> = self.latest.values().copied().collect();
        sequence_numbers.sort_unstable();
        let oldest = sequence_numbers.get(sequence_numbers.len() / 2).copied().unwrap_or(0);
        self.latest.retain(|_, sequence_number| *sequence_number >= oldest);
    }
}
