//! Messages between a gateway that needs a slot and the owner of the slots.

use std::time::Duration;

use model::id;

use crate::dispatch::peer_load;
use crate::dispatch::urgency;

/// Identifier of an ask, unique for the asking node.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Id(pub u64);

/// A request that needs a slot of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// Identifier of the ask.
    pub id: Id,
    /// The upstream.
    pub upstream: peer_load::Key,
    /// Urgency of the request.
    pub urgency: urgency::Urgency,
    /// Hash of the request's organisation; 0 if it has none.
    pub organisation: u32,
    /// Longest time that the request may wait for the slot.
    pub max_wait: Duration,
    /// Expected processing time of the request.
    pub work: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
}

/// What the owner decided.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The request may be sent now.
    Granted,
    /// The request waits in the queue; another reply follows.
    Queued,
    /// The request would wait too long.
    Refused {
        /// Time after which a retry may find a slot.
        retry_after: Duration,
        /// Number of asks that were ahead of it.
        position: u32,
    },
    /// This node does not own the upstream, or the upstream takes no requests.
    Declined,
}

/// A reply to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The node that asked.
    pub to: id::Node,
    /// Identifier of the ask.
    pub id: Id,
    /// The upstream.
    pub upstream: peer_load::Key,
    /// What was decided.
    pub reply: Reply,
}
