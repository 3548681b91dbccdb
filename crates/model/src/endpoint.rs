//! Endpoints: running incarnations of upstreams, as service discovery tells them.

use std::net;
use std::str;
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

/// A text that is not a load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct NotALoad;

impl str::FromStr for Load {
    type Err = NotALoad;

    /// Reads running, waiting and slots, separated by commas, such as `3,0,8`.
    fn from_str(text: &str) -> Result<Self, NotALoad> {
        let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().map_err(|_| NotALoad));
        let mut next = || numbers.next().unwrap_or(Err(NotALoad));
        let load = Self { running: next()?, waiting: next()?, slots: next()? };
        match numbers.next() {
            Some(_) => Err(NotALoad),
            None => Ok(load),
        }
    }
}
