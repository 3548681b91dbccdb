//! Events: what happened outside, as the decisions take it.
//!
//! Owns the closed set of inputs of [`Core`](crate::ownership::core::Core). Relies on nothing.

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

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// A configuration became known.
    Configure {
        /// The configuration.
        snapshot: sync::Arc<snapshot::Snapshot>,
    },
    /// A region's table became known.
    Adopt {
        /// The table.
        table: sync::Arc<table::Table>,
        /// Whether it came from the store itself.
        is_stored: bool,
    },
    /// The VM list became known.
    Vms {
        /// The list.
        list: vms::List,
    },
    /// A caller's request wants a region and an owner.
    Route {
        /// The request.
        request: request::Id,
        /// The service.
        service: id::Service,
        /// The caller's place.
        place: id::Place,
        /// The region, when the caller's entry has chosen it already.
        region: Option<id::Region>,
    },
    /// A routed request was answered, or its caller gave up.
    Returned {
        /// The request.
        request: request::Id,
    },
    /// An owner reported how much of its slots a service uses.
    Used {
        /// The owner.
        owner: id::Node,
        /// The service.
        service: id::Service,
        /// The report.
        usage: heartbeat::Usage,
    },
    /// A routed request failed at its owner; it is routed again, or refused.
    Failed {
        /// The request.
        request: request::Id,
        /// How it failed.
        failure: verdict::Failure,
        /// When it may be sent a second time.
        repetition: service::RetryPolicy,
    },
    /// A request wants a slot here.
    Offer {
        /// The request.
        offer: request::Offer,
    },
    /// A request that ran here ended.
    Done {
        /// The request.
        request: request::Id,
        /// How.
        outcome: request::Outcome,
    },
    /// The caller of an offered request gave up before it ran.
    Withdraw {
        /// The request.
        request: request::Id,
    },
    /// An upstream was probed.
    Probed {
        /// The upstream.
        upstream: upstream::Key,
        /// What it said; none when it did not answer.
        report: Option<report::Report>,
    },
    /// An upstream said something of itself in an answer.
    Said {
        /// The upstream.
        upstream: upstream::Key,
        /// What it said.
        statement: statement::Statement,
    },
    /// A peer's heartbeat arrived.
    Heartbeat {
        /// The heartbeat.
        heartbeat: Box<heartbeat::Request>,
    },
    /// A peer answered a heartbeat.
    Replied {
        /// The answer.
        reply: Box<heartbeat::Reply>,
        /// When the heartbeat was sent.
        sent: Instant,
    },
    /// A peer did not answer a heartbeat, or refused a connection.
    Unanswered {
        /// The peer.
        node: id::Node,
    },
    /// The process is to stop.
    Stop,
    /// Time passed.
    Tick {
        /// The time of day.
        wall: SystemTime,
    },
}
