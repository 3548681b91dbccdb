//! Actions: the outputs of [`Core`](crate::ownership::core::Core), which the process carries out.

use std::net;
use std::sync;

use model::id;
use model::member;
use model::table;
use model::verdict;

use crate::ownership::heartbeat;
use crate::ownership::request;

/// An action for the process to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a routed request to the selected owner.
    Forward {
        /// The request.
        request: request::Id,
        /// The region that its split selected.
        region: id::Region,
        /// The owner, which may be this node.
        owner: member::Key,
        /// The address the owner listens on for peers.
        peers: net::SocketAddr,
        /// Whether the owner may queue the request for a slot.
        may_wait: bool,
    },
    /// Send an offered request to an upstream; its slot is already occupied.
    Run {
        /// The request.
        request: request::Id,
        /// The upstream.
        upstream: id::Upstream,
        /// The address the upstream listens on.
        address: net::SocketAddr,
    },
    /// Refuse a request, which this node does not run.
    Refuse {
        /// The request.
        request: request::Id,
        /// The reason, and whether an earlier try may have run it.
        failure: verdict::Failure,
    },
    /// Send a heartbeat, and pass its reply to the core as an event.
    Heartbeat {
        /// The address to send it to.
        to: net::SocketAddr,
        /// The node expected there; `None` for a seed.
        node: Option<id::Node>,
        /// The heartbeat.
        heartbeat: Box<heartbeat::Request>,
    },
    /// Reply to the heartbeat that is being handled.
    Reply {
        /// The reply.
        reply: Box<heartbeat::Reply>,
    },
    /// Fetch a newer configuration from a peer.
    Fetch {
        /// The peer.
        from: net::SocketAddr,
    },
    /// Write a region's table to the store if the store still holds the previous epoch.
    Propose {
        /// The table.
        table: sync::Arc<table::Table>,
    },
}
