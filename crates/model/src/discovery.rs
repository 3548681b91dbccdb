//! Service discovery: the running incarnations of upstreams.
//!
//! Owns the type that every source of discovery is decoded into: the platform's entries and
//! yokespoke's own declarations.

use std::net;
use std::time::Duration;

use crate::id;

/// Whether an upstream takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes new work.
    Ready,
    /// It is about to leave and must get no new work.
    Draining,
}

/// One running incarnation of an upstream, as service discovery lists it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// Its name, which no other incarnation shares.
    pub id: id::Upstream,
    /// The service it belongs to.
    pub service: id::Service,
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its hall.
    pub hall: id::Hall,
    /// Requests it can run at once.
    pub slots: u32,
    /// Whether it takes new work.
    pub state: State,
    /// How much longer it is cold, counted from when the entry was written.
    pub cold_left: Duration,
    /// When it started, in milliseconds since 1970 (UTC); 0 when its source does not say.
    ///
    /// An upstream that starts again may keep its name; another start makes it another upstream.
    pub born: u64,
}
