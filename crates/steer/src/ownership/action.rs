//! Actions: what the decisions ask the process to do.
//!
//! Owns the closed set of outputs of [`Core`](crate::ownership::core::Core). Relies on nothing.

use std::net;
use std::sync;

use model::id;
use model::member;
use model::table;
use model::verdict;

use crate::ownership::heartbeat;
use crate::ownership::request;

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a routed request to the owner that was chosen.
    Forward {
        /// The request.
        request: request::Id,
        /// The region its split chose.
        region: id::Region,
        /// The owner; this node itself when it is one.
        owner: member::Key,
        /// Where the owner listens for peers.
        peers: net::SocketAddr,
        /// Whether the request may wait there for a slot.
        may_wait: bool,
    },
    /// Run an offered request at an upstream; its slot is taken.
    Run {
        /// The request.
        request: request::Id,
        /// The upstream.
        upstream: id::Upstream,
        /// Where it listens.
        address: net::SocketAddr,
    },
    /// Refuse a request; it does not run here.
    Refuse {
        /// The request.
        request: request::Id,
        /// Why.
        failure: verdict::Failure,
    },
    /// Send a heartbeat, and give its reply back as an event.
    Heartbeat {
        /// Where to.
        to: net::SocketAddr,
        /// The node expected there; none for a seed.
        node: Option<id::Node>,
        /// The heartbeat.
        heartbeat: Box<heartbeat::Request>,
    },
    /// Reply to the heartbeat of the event that is being handled.
    Reply {
        /// The answer.
        reply: Box<heartbeat::Reply>,
    },
    /// Fetch the newer configuration that a peer has.
    Fetch {
        /// The peer.
        from: net::SocketAddr,
    },
    /// Write a region's table to the store, if it still holds the epoch before.
    Propose {
        /// The table.
        table: sync::Arc<table::Table>,
    },
}
