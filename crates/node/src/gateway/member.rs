//! Member: what a node of this fleet reports of itself.
//!
//! Sent in heartbeats, and written into the store as JSON by the names of its fields.

use std::net;

use model::id;
use platform::store::position;
use serde::{Deserialize, Serialize};
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::{active_set, freshness, repair};

/// What a node reports of itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub node: id::Node,
    /// Grows with each start of its process, by the time of day at the start.
    pub incarnation: u64,
    /// Grows with each heartbeat.
    pub sequence: u64,
    /// Its region.
    pub region: id::Region,
    /// Its hall.
    pub hall: id::Hall,
    /// Its address for callers.
    pub callers: net::SocketAddr,
    /// Its address for peers.
    pub peers: net::SocketAddr,
    /// Whether it serves callers.
    pub is_ready: bool,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Whether it watches the store, and the store answered it last time.
    #[serde(default)]
    pub is_store_reached: bool,
    /// The store's revision up to which its copy is complete.
    pub at: u64,
    /// The era of that revision.
    #[serde(default, skip_serializing_if = "is_first")]
    pub era: u64,
    /// Its processor, in thousandths of a core; 0 when it does not say.
    #[serde(default)]
    pub capacity: u32,
    /// Requests that it takes a second.
    #[serde(default)]
    pub requests: u32,
    /// Digest of the upstreams that it knows to leave. The store's entry does not hold it.
    #[serde(skip)]
    pub leavings: repair::Digest,
    /// The number of its fleet, once it knows it. The store's entry does not hold it.
    #[serde(skip)]
    pub fleet: Option<id::Fleet>,
    /// The services that it cannot connect to. The store's entry does not hold them.
    #[serde(skip)]
    pub connectivity: report::Report,
    /// Age of its copy of the store; `None` in heartbeats of the previous version. Not part of the store's entry.
    #[serde(skip)]
    pub copy: Option<freshness::Report>,
}

/// Returns whether an era is that of a store that was never restored from a copy.
#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde passes a reference")]
fn is_first(era: &u64) -> bool {
    *era == 0
}

impl Member {
    /// Returns the store's position up to which its copy is complete.
    #[must_use]
    pub fn position(&self) -> position::Position {
        position::Position::new(self.era, self.at)
    }

    /// Returns whether look-ups may name it.
    #[must_use]
    pub fn is_serving(&self) -> bool {
        self.is_ready && !self.is_leaving
    }

    /// Returns what decides whether look-ups name it.
    #[must_use]
    pub fn said(&self) -> active_set::Node<'_> {
        active_set::Node { name: &self.node, capacity: self.capacity, requests: self.requests }
    }

    /// Returns whether it is the same node, at the same addresses, as `other`.
    #[must_use]
    pub fn stands_where(&self, other: &Self) -> bool {
        let place = |m: &Self| (m.callers, m.peers);
        let halls = |m: &Self| (m.region.clone(), m.hall.clone());
        self.node == other.node && place(self) == place(other) && halls(self) == halls(other)
    }
}
