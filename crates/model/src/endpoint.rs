//! Endpoints: running incarnations of upstreams, as service discovery tells them.

use std::net;
use std::time::Duration;

use crate::id;

/// Whether an endpoint takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It does.
    Ready,
    /// It is about to leave and takes no more.
    Draining,
}

/// One running incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Endpoint {
    /// Its name, which no other incarnation shares.
    pub id: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its hall.
    pub hall: id::Hall,
    /// Requests it runs at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is cold, counted from when this was written.
    pub cold_left: Duration,
}

/// Load that an upstream tells with an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests it runs.
    pub running: u32,
    /// Requests that wait at it.
    pub waiting: u32,
    /// Requests it runs at once.
    pub slots: u32,
}
