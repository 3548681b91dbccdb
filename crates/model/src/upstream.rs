//! Upstreams: the instances that run a service's requests.

use std::net;

use serde::{Deserialize, Serialize};

use crate::id;

/// Connections an upstream accepts when its declaration does not say.
const CONNECTIONS: u32 = 400;

/// One instance of a service.
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
