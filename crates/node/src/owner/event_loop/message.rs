//! Messages to the event loop, and the decisions that it answers with.
//!
//! Owns the closed set of both. Relies on the decisions' events and on tickets.

use std::net;
use std::time::Instant;

use model::id;
use model::member;
use model::verdict;
use steer::ownership::action;
use steer::ownership::core;
use steer::ownership::event;
use steer::ownership::heartbeat;
use steer::ownership::request;
use steer::ownership::ticket;
use tokio::sync::oneshot;

use crate::owner::answer;

/// What was decided on a request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send it to this owner.
    Forward {
        /// The region.
        region: id::Region,
        /// The owner.
        owner: member::Key,
        /// Where it listens for peers.
        peers: net::SocketAddr,
        /// Whether it may wait there for a slot.
        may_wait: bool,
    },
    /// Run it at this upstream.
    Run {
        /// The upstream.
        upstream: id::Upstream,
        /// Where it listens.
        address: net::SocketAddr,
    },
    /// Do not run it.
    Refuse(verdict::Failure),
}

/// An answer to an ask: the decision, and the usage of the service's slots here.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The decision.
    pub decision: Decision,
    /// How much of its slots the service uses here; zeros unless a slot was asked for.
    pub usage: heartbeat::Usage,
}

/// A function that reads the decisions' state.
pub type Look = Box<dyn FnOnce(&State<'_>) + Send>;

/// The state that a [`Look`] reads.
#[derive(Debug)]
pub struct State<'a> {
    /// The decisions.
    pub core: &'a core::Core,
    /// Tickets in use.
    pub tickets: usize,
    /// Asks that wait for their decision.
    pub waiting: usize,
    /// Heartbeats and proposals that were dropped because a ring was full.
    pub dropped: u64,
    /// The time.
    pub now: Instant,
}

/// A message to the event loop.
pub(crate) enum Message {
    /// An event without an answer.
    Event(event::Event),
    /// An event that is answered with a decision on the request.
    Ask { event: event::Event, request: request::Id, reply: oneshot::Sender<Answer> },
    /// A peer's heartbeat.
    Heartbeat { heartbeat: Box<heartbeat::Request>, reply: oneshot::Sender<heartbeat::Reply> },
    /// A ticket that is to be claimed.
    Claim { ticket: ticket::Ticket, reply: oneshot::Sender<ticket::Claim<answer::Answer>> },
    /// How the request of a ticket ended.
    Finish { ticket: ticket::Ticket, outcome: ticket::Outcome<answer::Answer> },
    /// A read of the state.
    Look(Look),
}

/// Turns an action that answers an ask into a decision.
pub(crate) fn decision(action: action::Action) -> Option<(request::Id, Decision)> {
    match action {
        action::Action::Forward { request, region, owner, peers, may_wait } => {
            Some((request, Decision::Forward { region, owner, peers, may_wait }))
        }
        action::Action::Run { request, upstream, address } => {
            Some((request, Decision::Run { upstream, address }))
        }
        action::Action::Refuse { request, failure } => Some((request, Decision::Refuse(failure))),
        _ => None,
    }
}
