//! Sightings: requests that were in flight at an upstream when it crashed.

use std::time::Instant;

use model::discovery;
use model::fingerprint;
use model::id;
use xxhash_rust::xxh3;

/// One start of an upstream, identified by a hash that is the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Start(pub u64);

impl Start {
    /// Returns the start of the upstream listed as `entry`.
    #[must_use]
    pub fn of(entry: &discovery::Entry) -> Self {
        Self(xxh3::xxh3_64_with_seed(entry.id.as_str().as_bytes(), entry.born))
    }
}

/// A service, identified by a hash that is the same at every node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Service(pub u32);

impl Service {
    /// Returns the hash of `service`.
    #[must_use]
    pub fn of(service: &id::Service) -> Self {
        #[expect(clippy::cast_possible_truncation, reason = "the low half of a hash")]
        Self(xxh3::xxh3_64(service.as_str().as_bytes()) as u32)
    }
}

/// A crash: an upstream ended without having announced it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The start that ended.
    pub start: Start,
    /// The service of the upstream.
    pub service: Service,
    /// Number of upstreams of the service that were available at that time.
    pub upstreams: u32,
    /// When the upstream ended.
    pub at: Instant,
}

/// A request that was in flight at an upstream when it crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Sighting {
    /// The fingerprint of the request.
    pub fingerprint: fingerprint::Fingerprint,
    /// The crash.
    pub crash: Crash,
    /// When the request was sent to the upstream.
    pub sent: Instant,
}
