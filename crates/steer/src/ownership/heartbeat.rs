//! Heartbeats: the messages of an exchange between two nodes.
//!
//! `node::owner::peers` converts them to their form on the wire.

use std::collections;
use std::net;
use std::sync;
use std::time::Duration;

use model::epoch;
use model::id;
use model::member;
use model::revision;
use model::table;

use crate::common::split;
use model::upstream;

/// A node's description of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// The node and its incarnation.
    pub key: member::Key,
    /// Its region.
    pub region: id::Region,
    /// Its hall.
    pub hall: id::Hall,
    /// The address it listens on for callers.
    pub callers: net::SocketAddr,
    /// The address it listens on for peers.
    pub peers: net::SocketAddr,
    /// The address it listens on for operators.
    pub operators: net::SocketAddr,
    /// Increases with each heartbeat of the incarnation.
    pub sequence: u64,
    /// The revision of the configuration it acts on.
    pub revision: revision::Revision,
    /// The epoch of the table it acts on.
    pub epoch: epoch::Epoch,
    /// The lowest epoch whose shares it may still use.
    pub settled: epoch::Epoch,
    /// Whether it is stopping and accepts no new callers.
    pub is_leaving: bool,
}

/// The state of one service at one owner, or the sum over a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// The owner, or the node that made the summary of a region.
    pub key: member::Key,
    /// Its region.
    pub region: id::Region,
    /// The service.
    pub service: id::Service,
    /// Orders the summaries of one owner or region.
    pub sequence: u64,
    /// Usable slots.
    pub usable: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Queued requests.
    pub queued: u32,
    /// Arrival rate from each place, in thousandths of a request per second.
    pub rates: Vec<(id::Place, u32)>,
}

/// The usage of a service's slots at one owner, sent with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that occupy a slot or wait for one.
    pub busy: u32,
    /// Usable slots, whether free or in use.
    pub usable: u32,
}

/// A lease of slots of one upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The upstream.
    pub upstream: upstream::Key,
    /// The slots.
    pub slots: u32,
    /// Time after the lease's term by which requests on it must have ended: the service's deadline and
    /// the grace after a cancellation.
    pub tail: Duration,
}

/// The current split of one service and place at the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Position {
    /// The service.
    pub service: id::Service,
    /// The place.
    pub place: id::Place,
    /// The split.
    pub split: split::Split,
}

/// The request of an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Request {
    /// The sender.
    pub sender: Member,
    /// What it knows of other nodes, as far as it changed.
    pub update: Update,
    /// The epochs of the newest tables it knows, by region.
    pub epochs: collections::BTreeMap<id::Region, epoch::Epoch>,
    /// Whether it requests leases of the receiver's slots at the upstreams that it owns.
    pub wants_leases: bool,
    /// Leases in use for upstreams that it no longer owns.
    pub held: Vec<Lease>,
    /// Whether it requests the receiver's current splits.
    pub wants_positions: bool,
}

/// The reply of an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The node that replies.
    pub sender: Member,
    /// What it knows of other nodes, as far as it changed.
    pub update: Update,
    /// The leases that it grants.
    pub leases: Vec<Lease>,
    /// Time in which requests may start on the leases.
    pub term: Duration,
    /// Its current splits, if requested.
    pub positions: Vec<Position>,
}

/// The liveness counter of a member whose description the receiver has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// The node and its incarnation.
    pub key: member::Key,
    /// The sequence number of its latest heartbeat.
    pub sequence: u64,
}

/// The changes since the receiver was last updated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Members whose descriptions changed.
    pub members: Vec<Member>,
    /// Members of the common region of sender and receiver, whose liveness counters advanced.
    pub liveness: Vec<Liveness>,
    /// Summaries of owners in the common region of sender and receiver.
    pub summaries: Vec<Summary>,
    /// Summaries of whole regions.
    pub regions: Vec<Summary>,
    /// Tables that the receiver does not have.
    pub tables: Vec<sync::Arc<table::Table>>,
}
