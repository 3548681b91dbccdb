//! Upstreams as declared by operators, and the key that identifies one in the fleet.

use std::fmt;
use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// Connections that an upstream accepts if its declaration sets no number; the value of existing
/// deployments.
const DEFAULT_CONNECTIONS: u32 = 400;

/// One upstream of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Upstream {
    /// Name, unique among the upstreams of the service.
    pub name: id::Upstream,
    /// Region that the upstream is in.
    pub region: id::Region,
    /// Hall that the upstream is in.
    pub hall: id::Hall,
    /// Address that the upstream listens on.
    pub address: net::SocketAddr,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Number of connections that the upstream accepts.
    #[serde(default = "connections")]
    pub connections: u32,
}

fn connections() -> u32 {
    DEFAULT_CONNECTIONS
}

/// Identifies an upstream in the fleet, since its name is unique only within its service.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Key {
    /// Name of the service.
    pub service: id::Service,
    /// Name of the upstream.
    pub upstream: id::Upstream,
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{}", self.service, self.upstream)
    }
}
