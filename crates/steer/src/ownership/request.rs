//! Requests, as the decisions see them.
//!
//! Owns a request's id inside one process, and the ways in which it can end. Relies on nothing.

use std::time::Instant;

use model::id;

/// Names a request within one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Id(pub u64);

/// A request that wants a slot of this owner.
#[derive(Clone, Debug)]
pub struct Offer {
    /// The request.
    pub id: Id,
    /// The service.
    pub service: id::Service,
    /// The caller's place, for fairness.
    pub place: id::Place,
    /// When the answer is of no use any more.
    pub deadline: Instant,
    /// Upstreams that earlier tries used.
    pub avoid: Vec<id::Upstream>,
    /// Whether it may wait here for a slot; otherwise other owners are asked first.
    pub may_wait: bool,
}

/// How a request ended at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Its whole answer arrived.
    Answered,
    /// The upstream proved that it did not run it.
    Shed,
    /// No connection could be made.
    Unreachable,
    /// The connection broke, so the upstream may hold it still.
    Broken,
    /// This side gave up, so the upstream may hold it still.
    Abandoned,
}
