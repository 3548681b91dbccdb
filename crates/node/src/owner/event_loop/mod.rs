//! The event loop: one thread owns all of a node's decisions; events in, actions out.
//!
//! Owns the core, the tickets and the asks that wait for a decision. Relies on the rings that it is given;
//! other threads reach it through a handle.

pub mod message;
pub mod outputs;
mod publication;

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use crossbeam_channel as ring;
use model::clock;
use model::epoch;
use model::id;
use model::revision;
use steer::ownership::action;
use steer::ownership::core;
use steer::ownership::event;
use steer::ownership::heartbeat;
use steer::ownership::request;
use steer::ownership::ticket;
use tokio::sync::oneshot;

use crate::owner::answer;
use crate::owner::view;

/// Time between two ticks: the grain of waits and leases. Not measured.
const TICK: Duration = Duration::from_millis(20);

/// The state of the loop.
#[derive(Debug)]
pub struct EventLoop {
    core: core::Core,
    outputs: outputs::Outputs,
    clock: sync::Arc<dyn clock::Clock>,
    tickets: ticket::Table<answer::Answer>,
    waiting: collections::HashMap<request::Id, Waiting>,
    config: sync::Arc<view::Config>,
    logged: (revision::Revision, epoch::Epoch, bool),
    dropped: u64,
    ticked: Instant,
}

/// An ask that waits for its decision, and the service whose slots here it is for, if any.
#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<message::Answer>,
    offered: Option<id::Service>,
}

impl EventLoop {
    /// Makes the loop of a node that starts.
    #[must_use]
    pub fn new(
        core: core::Core,
        outputs: outputs::Outputs,
        clock: sync::Arc<dyn clock::Clock>,
        tickets: ticket::Table<answer::Answer>,
    ) -> Self {
        let ticked = clock.now();
        Self {
            core,
            outputs,
            clock,
            tickets,
            waiting: collections::HashMap::new(),
            config: sync::Arc::new(view::Config::new(sync::Arc::default())),
            logged: Default::default(),
            dropped: 0,
            ticked,
        }
    }

    /// Runs until stopped. Releases go before asks, so that freed slots are known first.
    pub(crate) fn run(
        &mut self,
        asks: &ring::Receiver<message::Message>,
        releases: &ring::Receiver<message::Message>,
        stop: &ring::Receiver<()>,
    ) {
        loop {
            while let Ok(message) = releases.try_recv() {
                self.take(message);
            }
            let now = self.clock.now();
            if now.saturating_duration_since(self.ticked) >= TICK {
                self.tick(now);
            }
            let left = TICK.saturating_sub(now.saturating_duration_since(self.ticked));
            ring::select! {
                recv(releases) -> message => match message {
                    Ok(message) => self.take(message),
                    Err(_) => return,
                },
                recv(asks) -> message => match message {
                    Ok(message) => self.take(message),
                    Err(_) => return,
                },
                recv(stop) -> _ => return,
                default(left) => {}
            }
        }
    }

    fn tick(&mut self, now: Instant) {
        self.ticked = now;
        self.handle(event::Event::Tick { wall: self.clock.wall_time() }, now, None);
        self.publish(now);
    }

    fn take(&mut self, message: message::Message) {
        let now = self.clock.now();
        match message {
            message::Message::Event(event) => self.handle(event, now, None),
            message::Message::Ask { event, request: id, reply } => {
                let offered = match &event {
                    event::Event::Offer { offer } => Some(offer.service.clone()),
                    _ => None,
                };
                self.waiting.insert(id, Waiting { reply, offered });
                self.handle(event, now, None);
            }
            message::Message::Heartbeat { heartbeat, reply } => {
                self.handle(event::Event::Heartbeat { heartbeat }, now, Some(reply));
            }
            message::Message::Claim { ticket, reply } => {
                // An exchange that ended meanwhile leaves its ticket claimed: it may have run.
                let _ = reply.send(self.tickets.claim(&ticket, now));
            }
            message::Message::Finish { ticket, outcome } => self.tickets.finish(&ticket, outcome),
            message::Message::Look(look) => look(&message::State {
                core: &self.core,
                tickets: self.tickets.len(),
                waiting: self.waiting.len(),
                dropped: self.dropped,
                now,
            }),
        }
    }

    fn handle(
        &mut self,
        event: event::Event,
        now: Instant,
        mut reply: Option<oneshot::Sender<heartbeat::Reply>>,
    ) {
        let publishes = matches!(
            event,
            event::Event::Configure { .. } | event::Event::Adopt { .. } | event::Event::Stop
        );
        if let event::Event::Withdraw { request } = &event {
            self.waiting.remove(request);
        }
        let mut actions = Vec::new();
        self.core.handle(event, now, &mut actions);
        for action in actions {
            self.act(action, now, &mut reply);
        }
        if publishes {
            self.publish(now);
        }
    }

    fn act(
        &mut self,
        action: action::Action,
        now: Instant,
        reply: &mut Option<oneshot::Sender<heartbeat::Reply>>,
    ) {
        match action {
            action::Action::Heartbeat { to, node, heartbeat } => {
                self.send(outputs::Outgoing::Heartbeat { to, node, heartbeat, made: now });
            }
            action::Action::Fetch { from } => self.send(outputs::Outgoing::Fetch { from }),
            action::Action::Propose { table } => {
                if self.outputs.tables.try_send(table).is_err() {
                    self.dropped += 1;
                }
            }
            action::Action::Reply { reply: answer } => {
                if let Some(reply) = reply.take() {
                    // Without a receiver the peer is gone, and asks again with its next heartbeat.
                    let _ = reply.send(*answer);
                }
            }
            other => self.decide(other, now),
        }
    }

    /// Answers the ask of a decision; one whose ask was given up is undone.
    fn decide(&mut self, action: action::Action, now: Instant) {
        let Some((id, decision)) = message::decision(action) else { return };
        let unclaimed = match self.waiting.remove(&id) {
            Some(Waiting { reply, offered }) => {
                let usage = offered.map(|service| self.core.owner.usage(&service, now));
                let answer = message::Answer { decision, usage: usage.unwrap_or_default() };
                reply.send(answer).err().map(|answer| answer.decision)
            }
            None => Some(decision),
        };
        // The ask was given up, and its release may have arrived before it.
        let undo = match unclaimed {
            Some(message::Decision::Run { .. }) => event::Event::Withdraw { request: id },
            Some(message::Decision::Forward { .. }) => event::Event::Returned { request: id },
            Some(message::Decision::Refuse(_)) | None => return,
        };
        self.handle(undo, now, None);
    }

    fn send(&mut self, outgoing: outputs::Outgoing) {
        if self.outputs.peers.try_send(outgoing).is_err() {
            self.dropped += 1;
        }
    }
}
