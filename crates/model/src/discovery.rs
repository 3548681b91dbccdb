//! Service discovery: the running incarnations of upstreams.
//!
//! Every source is decoded into the types of this module: the platform's entries and yokespoke's
//! own declarations.

use std::net;
use std::time::Duration;

use crate::id;

/// Whether an upstream accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// Accepts new requests.
    Ready,
    /// About to leave; must not get new requests.
    Draining,
}

/// A running incarnation of an upstream as listed by service discovery.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Name, unique among all incarnations.
    pub id: id::Upstream,
    /// Service that the upstream belongs to.
    pub service: id::Service,
    /// Address that the upstream listens on.
    pub address: net::SocketAddr,
    /// Hall that the upstream is in.
    pub hall: id::Hall,
    /// Version of the upstream's software; `None` if the source does not give it.
    pub version: Option<id::Version>,
    /// Number of requests that the upstream can run concurrently.
    pub slots: u32,
    /// Whether the upstream accepts new requests.
    pub state: State,
    /// Remaining duration of the cold start, counted from when the entry was written.
    pub cold_left: Duration,
    /// Start time in milliseconds since the Unix epoch; 0 if the source does not give it.
    ///
    /// A restarted upstream may keep its name; a different start time identifies a new incarnation.
    pub born: u64,
}
