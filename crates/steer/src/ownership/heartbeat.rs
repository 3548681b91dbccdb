//! Heartbeats: the messages of an exchange between two nodes.
//!
//! Owns their form inside the process; `node::owner::peers` translates it to the wire. Relies on nothing
//! but ids and tables.

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

/// One node as it describes itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Which incarnation of which node.
    pub key: member::Key,
    /// Its region.
    pub region: id::Region,
    /// Its hall.
    pub hall: id::Hall,
    /// Where it listens for callers.
    pub callers: net::SocketAddr,
    /// Where it listens for peers.
    pub peers: net::SocketAddr,
    /// Where it listens for operators.
    pub operators: net::SocketAddr,
    /// Grows with each heartbeat of that incarnation.
    pub sequence: u64,
    /// The configuration it acts on.
    pub revision: revision::Revision,
    /// The table it acts on.
    pub epoch: epoch::Epoch,
    /// The lowest epoch whose shares it may still use.
    pub settled: epoch::Epoch,
    /// Whether it is stopping and wants no new callers.
    pub is_leaving: bool,
}

/// The state of one service at one owner, or summed over a region.
#[derive(Clone, Debug, PartialEq)]
pub struct Summary {
    /// The owner, or the node that summed a region up.
    pub key: member::Key,
    /// Its region.
    pub region: id::Region,
    /// The service.
    pub service: id::Service,
    /// Orders the summaries of one owner or region.
    pub sequence: u64,
    /// Slots it would use now.
    pub usable: u32,
    /// Slots in use.
    pub in_flight: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Requests a second from each place, in thousandths.
    pub rates: Vec<(id::Place, u32)>,
}

/// How much of its slots a service uses at one owner, sent with every answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Requests that hold a slot or wait for one.
    pub busy: u32,
    /// Slots that may be used now.
    pub usable: u32,
}

/// Slots of one upstream that the sender grants and does not use for a while.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Lease {
    /// The upstream.
    pub upstream: upstream::Key,
    /// The slots.
    pub slots: u32,
    /// Time after the lease's term in which work on it must end: its service's deadline.
    pub tail: Duration,
}

/// Where one split stands at the sender.
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
    /// What it knows of others, as far as it changed.
    pub update: Update,
    /// The newest tables it knows, by region.
    pub epochs: collections::BTreeMap<id::Region, epoch::Epoch>,
    /// Whether it asks for the receiver's slots of the upstreams that it owns.
    pub wants_leases: bool,
    /// Leases in use for upstreams that it no longer owns.
    pub held: Vec<Lease>,
    /// Whether it asks for the positions of the receiver's splits.
    pub wants_positions: bool,
}

/// The reply of an exchange.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// The node that replies.
    pub sender: Member,
    /// What it knows of others, as far as it changed.
    pub update: Update,
    /// The leases that it grants.
    pub leases: Vec<Lease>,
    /// Time in which work may start on the leases.
    pub term: Duration,
    /// Where its splits stand, when asked.
    pub positions: Vec<Position>,
}

/// The liveness counter of a member whose description the receiver has.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Liveness {
    /// Which incarnation of which node.
    pub key: member::Key,
    /// The number of its latest heartbeat.
    pub sequence: u64,
}

/// What changed since the receiver was last updated.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Update {
    /// Members whose descriptions changed.
    pub members: Vec<Member>,
    /// Members of the region that sender and receiver share, whose counters advanced.
    pub liveness: Vec<Liveness>,
    /// Summaries of owners of the region that sender and receiver share.
    pub summaries: Vec<Summary>,
    /// Summaries of whole regions.
    pub regions: Vec<Summary>,
    /// Tables that the other does not have.
    pub tables: Vec<sync::Arc<table::Table>>,
}
