//! Report: the services that a node cannot connect to, as reported to other nodes.

use model::id;
use xxhash_rust::xxh3;

/// Maximum number of services in a report, so that a heartbeat stays short.
pub const MAX_SERVICES: usize = 64;

/// Hash that identifies a service in the gossip between nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// Returns the key of `service`.
    #[must_use]
    pub fn of(service: &id::Service) -> Self {
        let hash = xxh3::xxh3_64(service.as_str().as_bytes());
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        Self(hash as u32)
    }
}

/// The services that a node cannot connect to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Whether these are all services.
    pub is_cut_off: bool,
    /// Their keys, at most [`MAX_SERVICES`].
    pub unreached: Vec<Key>,
}

impl Report {
    /// Creates the report of a node that knows upstreams of `known` services.
    #[must_use]
    pub fn new<'a>(unreached: impl Iterator<Item = &'a id::Service>, known: usize) -> Self {
        let mut unreached: Vec<Key> = unreached.map(Key::of).collect();
        let is_cut_off = !unreached.is_empty() && unreached.len() >= known;
        unreached.truncate(MAX_SERVICES);
        Self { is_cut_off, unreached }
    }

    /// Returns whether the node can connect to all `services`.
    #[must_use]
    pub fn reaches(&self, services: &[Key]) -> bool {
        !self.is_cut_off && !services.iter().any(|service| self.unreached.contains(service))
    }

    /// Returns whether the node can connect to every service.
    #[must_use]
    pub fn reaches_all(&self) -> bool {
        !self.is_cut_off && self.unreached.is_empty()
    }
}
