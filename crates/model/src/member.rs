//! Members of a region's table: the nodes that it lists, and those that left without proof.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::epoch;
use crate::id;

/// One incarnation of one node.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Key {
    /// The node's name, the same after a restart.
    pub node: id::Node,
    /// Drawn anew at each start.
    pub incarnation: u64,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}#{:x}", self.node, self.incarnation)
    }
}

/// A node that the table lists.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listed {
    /// Which incarnation of which node.
    pub key: Key,
    /// Its hall.
    pub hall: id::Hall,
    /// Its listener for peers.
    pub peers: net::SocketAddr,
    /// Its listener for callers.
    pub callers: net::SocketAddr,
    /// The lowest epoch whose shares it may still use.
    pub settled: epoch::Epoch,
}

/// A node that left without confirming that it stopped; its share stays reserved.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Departed {
    /// Which incarnation of which node.
    pub key: Key,
    /// Its listener for peers; a newer incarnation there proves that this one ended.
    pub peers: net::SocketAddr,
    /// The lowest epoch whose shares it may still use.
    pub settled: epoch::Epoch,
    /// The last epoch that listed it.
    pub last: epoch::Epoch,
}
