//! Slots: under contention, a gateway sends to an upstream only while it holds a slot there.
//!
//! Each upstream has one slot owner among the gateways of its region, found by the rendezvous hashing
//! of [`slow_start_owner`]. The owner counts the slots in its [`ledger`] and keeps a [`queue`] of the
//! asks that wait for one; [`holder`] is the asking side, and [`message`] what the two exchange. All
//! state is soft: a new owner starts empty and learns the requests in flight from load reports.
//!
//! [`slow_start_owner`]: crate::dispatch::slow_start_owner

pub mod holder;
pub mod ledger;
pub mod message;
pub mod queue;

use std::time::Duration;

use model::id;

use crate::dispatch::peer_load;

/// Whether a gateway uses slots; the setting `slots`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// For services that have requests of several urgencies.
    #[default]
    Auto,
    /// For all services.
    On,
    /// For none.
    Off,
}

/// What a request has to ask for before it is sent to a contended upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Need {
    /// The upstream.
    pub upstream: peer_load::Key,
    /// Region of the upstream, whose gateways own it.
    pub region: id::Region,
    /// Longest time that the request may wait for a slot.
    pub max_wait: Duration,
    /// Expected processing time of the request at the upstream.
    pub work: Duration,
}

/// The gateway that owns the slots of an upstream, as far as this node knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Owner {
    /// This node.
    This,
    /// Another node, in this node's region.
    Node(id::Node),
    /// A node of another region, which that region's representatives know.
    Region(id::Region),
}

/// What a node does with an ask that it received or that one of its own requests needs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// Pass it to its own [`ledger::Ledger`].
    Serve,
    /// Send it to this node of its region.
    SendToNode(id::Node),
    /// Send it to the first live representative of this region.
    SendToRegion(id::Region),
    /// Answer that it is declined.
    Decline,
}

/// Returns what a node does with an ask for an upstream with this `owner`; `None` if it is unknown.
///
/// An ask is forwarded once: nodes that disagree on the owner would pass it around otherwise.
#[must_use]
pub fn step(owner: Option<Owner>, is_forwarded: bool) -> Step {
    match owner {
        Some(Owner::This) => Step::Serve,
        Some(Owner::Node(node)) if !is_forwarded => Step::SendToNode(node),
        Some(Owner::Region(region)) if !is_forwarded => Step::SendToRegion(region),
        _ => Step::Decline,
    }
}
