//! Members of a region's membership table: active nodes, and nodes that left without confirming
//! that they stopped.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::epoch;
use crate::id;

/// Identifies one incarnation of a node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// Name of the node, which stays the same after a restart.
    pub node: id::Node,
    /// Random number that is drawn at each start of the node.
    pub incarnation: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.node, self.incarnation)
    }
}

/// An active node in the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Node and incarnation.
    pub key: Key,
    /// Hall that the node is in.
    pub hall: id::Hall,
    /// Address of its listener for peers.
    pub peers: net::SocketAddr,
    /// Address of its listener for callers.
    pub callers: net::SocketAddr,
    /// Lowest epoch whose shares the node may still use.
    pub settled: epoch::Epoch,
}

/// A node that left without confirming that it stopped; its share of the slots stays reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Node and incarnation.
    pub key: Key,
    /// Address of its listener for peers; a newer incarnation at this address proves that this one
    /// ended.
    pub peers: net::SocketAddr,
    /// Lowest epoch whose shares the node may still use.
    pub settled: epoch::Epoch,
    /// Last epoch in which the node was listed.
    pub last: epoch::Epoch,
}
