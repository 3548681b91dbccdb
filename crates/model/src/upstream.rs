//! Upstreams as operators declare them, and the key that names one in the fleet.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// Connections an upstream accepts when its declaration names none: those of today's deployments.
const CONNECTIONS: u32 = 400;

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Its name, unique among all upstreams of the service.
    pub name: id::Upstream,
    /// The region it stands in.
    pub region: id::Region,
    /// The hall it stands in.
    pub hall: id::Hall,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Requests it can run at once.
    pub slots: u32,
    /// Connections it accepts.
    #[serde(default = "connections")]
    pub connections: u32,
}

fn connections() -> u32 {
    CONNECTIONS
}

/// The fleet-wide key of an upstream, whose own name is unique in its service only.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// The service.
    pub service: id::Service,
    /// The upstream.
    pub upstream: id::Upstream,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.upstream)
    }
}
