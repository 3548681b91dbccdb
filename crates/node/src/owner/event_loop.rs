//! The deciding thread's loop: events in, actions out.

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
use crate::owner::handle;
use crate::owner::view;

/// Time between two ticks: the grain of waits and holds.
const TICK: Duration = Duration::from_millis(20);

/// Nodes of a region, first by name, that watch the store for it.
const WATCHERS: usize = 2;

/// All that one node decides with.
#[derive(Debug)]
pub struct EventLoop {
    core: core::Core,
    outputs: handle::Outputs,
    clock: sync::Arc<dyn clock::Clock>,
    tickets: ticket::Table<answer::Answer>,
    waiting: collections::HashMap<request::Id, Waiting>,
    config: sync::Arc<view::Config>,
    logged: (revision::Revision, epoch::Epoch, bool),
    dropped: u64,
    ticked: Instant,
}

/// Whoever asked, and for which service's slots here, if for any.
#[derive(Debug)]
struct Waiting {
    reply: oneshot::Sender<(handle::Decision, heartbeat::Usage)>,
    offered: Option<id::Service>,
}

/// The state that a look sees.
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

impl EventLoop {
    /// Makes the loop's state.
    #[must_use]
    pub fn new(
        core: core::Core,
        outputs: handle::Outputs,
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
        asks: &ring::Receiver<handle::Message>,
        releases: &ring::Receiver<handle::Message>,
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
        self.handle(event::Event::Tick { wall: self.clock.wall() }, now, None);
        self.publish(now);
    }

    fn take(&mut self, message: handle::Message) {
        let now = self.clock.now();
        match message {
            handle::Message::Event(event) => self.handle(event, now, None),
            handle::Message::Ask(event, id, reply) => {
                let offered = match &event {
                    event::Event::Offer { offer } => Some(offer.service.clone()),
                    _ => None,
                };
                self.waiting.insert(id, Waiting { reply, offered });
                self.handle(event, now, None);
            }
            handle::Message::Heartbeat(heartbeat, reply) => {
                self.handle(event::Event::Heartbeat { heartbeat }, now, Some(reply));
            }
            handle::Message::Claim(ticket, reply) => {
                let _ = reply.send(self.tickets.claim(&ticket, now));
            }
            handle::Message::Finish(ticket, outcome) => self.tickets.finish(&ticket, outcome),
            handle::Message::Look(look) => look(&State {
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
                self.send(handle::Outgoing::Heartbeat { to, node, heartbeat, made: now });
            }
            action::Action::Fetch { from } => self.send(handle::Outgoing::Fetch { from }),
            action::Action::Propose { table } => {
                if self.outputs.tables.try_send(table).is_err() {
                    self.dropped += 1;
                }
            }
            action::Action::Reply { reply: answer } => {
                if let Some(reply) = reply.take() {
                    let _ = reply.send(*answer);
                }
            }
            other => self.decide(other, now),
        }
    }

    /// Hands a decision to whoever asked; one that nobody waits for any more is taken back.
    fn decide(&mut self, action: action::Action, now: Instant) {
        let Some((id, decision)) = handle::decision(action) else { return };
        let unheard = match self.waiting.remove(&id) {
            Some(Waiting { reply, offered }) => {
                let usage = offered.map(|service| self.core.owner.usage(&service, now));
                reply.send((decision, usage.unwrap_or_default())).err().map(|(d, _)| d)
            }
            None => Some(decision),
        };
        // Whoever asked gave up, and what it gave back may have come before its ask.
        let undo = match unheard {
            Some(handle::Decision::Run { .. }) => event::Event::Withdraw { request: id },
            Some(handle::Decision::Forward { .. }) => event::Event::Returned { request: id },
            Some(handle::Decision::Refuse(_)) | None => return,
        };
        self.handle(undo, now, None);
    }

    fn send(&mut self, outgoing: handle::Outgoing) {
        if self.outputs.peers.try_send(outgoing).is_err() {
            self.dropped += 1;
        }
    }

    fn publish(&mut self, now: Instant) {
        let core = &self.core;
        if self.config.revision() < core.snapshot.revision {
            let snapshot = sync::Arc::clone(&core.snapshot);
            self.config = sync::Arc::new(view::Config::new(snapshot));
        }
        self.log_changes(now);
        let core = &self.core;
        let view = view::View {
            me: core.me.key.clone(),
            region: core.me.region.clone(),
            is_ready: core.is_ready(now),
            is_leaving: core.me.is_leaving,
            is_done: core.is_done(),
            config: sync::Arc::clone(&self.config),
            nodes: nodes(core, now),
            lagging: core.lagging(core.snapshot.revision, now),
            in_use: core.in_use(now),
            is_watcher: is_watcher(core, now),
        };
        self.outputs.view.send_replace(sync::Arc::new(view));
    }

    fn log_changes(&mut self, now: Instant) {
        let me = &self.core.me;
        let current = (me.revision, me.epoch, self.core.is_ready(now));
        if current.0 != self.logged.0 {
            log::info!(node = me.key.node.as_str(), revision = current.0.0; "config-adopted");
        }
        if current.1 != self.logged.1 {
            let region = me.region.as_str();
            let seats = self.core.tables.get(&me.region).map_or(0, |t| t.listed.len());
            log::info!(
                node = me.key.node.as_str(), region, epoch = current.1.0, seats;
                "table-adopted"
            );
        }
        if current.2 != self.logged.2 {
            log::info!(node = me.key.node.as_str(), ready = current.2; "ready-changed");
        }
        self.logged = current;
    }
}

/// Returns the nodes that are known, by region.
fn nodes(
    core: &core::Core,
    now: Instant,
) -> collections::BTreeMap<model::id::Region, Vec<view::Node>> {
    let mut nodes: collections::BTreeMap<_, Vec<view::Node>> = collections::BTreeMap::new();
    let others = core.members.iter().filter(|k| k.member.key.node != core.me.key.node);
    let others = others.map(|k| (&k.member, k.is_alive(now)));
    for (member, is_alive) in others.chain([(&core.me, true)]) {
        nodes.entry(member.region.clone()).or_default().push(view::Node {
            key: member.key.clone(),
            callers: member.callers,
            peers: member.peers,
            is_alive,
            is_leaving: member.is_leaving,
        });
    }
    for of_region in nodes.values_mut() {
        of_region.sort_by(|a, b| a.key.cmp(&b.key));
    }
    nodes
}

fn is_watcher(core: &core::Core, now: Instant) -> bool {
    let others = core.members.alive(now).map(|k| &k.member);
    let before = others.filter(|m| m.region == core.me.region && m.key < core.me.key);
    before.count() < WATCHERS
}
