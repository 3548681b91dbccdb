//! Events: the inputs of [`Core`](crate::ownership::core::Core).

use std::sync;
use std::time::{Instant, SystemTime};

use model::id;
use model::service;
use model::snapshot;
use model::statement;
use model::table;
use model::verdict;

use crate::ownership::heartbeat;
use crate::ownership::report;
use crate::ownership::request;
use crate::ownership::vms;
use model::upstream;

/// An input of the core.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration was read or fetched.
    Configure {
        /// The configuration.
        snapshot: sync::Arc<snapshot::Snapshot>,
    },
    /// A region's membership table was received.
    Adopt {
        /// The table.
        table: sync::Arc<table::Table>,
        /// Whether it was read from the store, not received from a peer.
        is_stored: bool,
    },
    /// The VM list was read.
    Vms {
        /// The list.
        list: vms::List,
    },
    /// A caller's request is to be routed to a region and an owner.
    Route {
        /// The request.
        request: request::Id,
        /// The service.
        service: id::Service,
        /// The caller's place.
        place: id::Place,
        /// The region, if the node that received the request from the caller has selected it already.
        region: Option<id::Region>,
    },
    /// A routed request was answered, or its caller gave up.
    Returned {
        /// The request.
        request: request::Id,
    },
    /// An owner reported its usage for a service.
    Used {
        /// The owner.
        owner: id::Node,
        /// The service.
        service: id::Service,
        /// The report.
        usage: heartbeat::Usage,
    },
    /// A routed request failed at its owner; it is retried or refused.
    Failed {
        /// The request.
        request: request::Id,
        /// The failure.
        failure: verdict::Failure,
        /// When it may be retried.
        repetition: service::RetryPolicy,
    },
    /// A request needs a slot at this node.
    Offer {
        /// The request.
        offer: request::Offer,
    },
    /// A request that this node ran ended.
    Done {
        /// The request.
        request: request::Id,
        /// Its outcome.
        outcome: request::Outcome,
    },
    /// The caller of an offered request gave up before it was sent to an upstream.
    Withdraw {
        /// The request.
        request: request::Id,
    },
    /// An upstream was probed.
    Probed {
        /// The upstream.
        upstream: upstream::Key,
        /// Its report; `None` if it did not answer.
        report: Option<report::Report>,
    },
    /// An upstream made a statement about itself in an answer.
    Said {
        /// The upstream.
        upstream: upstream::Key,
        /// The statement.
        statement: statement::Statement,
    },
    /// A peer's heartbeat arrived.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<heartbeat::Request>,
    },
    /// A peer answered a heartbeat.
    Replied {
        /// The reply.
        reply: Box<heartbeat::Reply>,
        /// When the heartbeat was sent.
        sent: Instant,
    },
    /// A peer did not answer a heartbeat, or refused a connection.
    Unanswered {
        /// The peer.
        node: id::Node,
    },
    /// The process is asked to stop.
    Stop,
    /// Time passed.
    Tick {
        /// The wall-clock time.
        wall: SystemTime,
    },
}
