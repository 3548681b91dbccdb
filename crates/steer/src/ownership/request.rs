//! Requests: ids inside one process, offers to an owner, and outcomes.

use std::time::Instant;

use model::id;

/// Identifies a request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A request for a slot of this owner.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The request.
    pub id: Id,
    /// The service.
    pub service: id::Service,
    /// The caller's place; queues are fair between places.
    pub place: id::Place,
    /// When the caller stops waiting for the answer.
    pub deadline: Instant,
    /// Upstreams of earlier tries, which are not tried again.
    pub avoid: Vec<id::Upstream>,
    /// Whether it may be queued for a slot; if not, other owners are tried first.
    pub may_wait: bool,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer arrived.
    Answered,
    /// The upstream refused the request with proof that it did not run it.
    Shed,
    /// No connection could be established.
    Unreachable,
    /// The connection broke; the upstream may still be running the request.
    Broken,
    /// This node gave up; the upstream may still be running the request.
    Abandoned,
}
