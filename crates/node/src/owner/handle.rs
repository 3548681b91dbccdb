//! The duty that decides: one thread owns all of a node's decisions, and others ask it.
//!
//! Two rings lead to it. Asks are refused as not run when their ring is full. Releases give back
//! what an ask took, so they must never be lost: their ring holds as many as asks can be out.

use std::fmt;
use std::io;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::{Duration, Instant};

use crossbeam_channel as ring;
use model::clock;
use model::id;
use model::service;
use model::verdict;
use steer::ownership::action;
use steer::ownership::core;
use steer::ownership::event;
use steer::ownership::heartbeat;
use steer::ownership::request;
use steer::ownership::ticket;
use tokio::sync::{mpsc, oneshot, watch};

use crate::owner::answer;
use crate::owner::event_loop;
use crate::owner::view;

/// Asks that may wait for the deciding thread.
const ASKS: usize = 4_096;

/// Releases for each request that may be in flight: the owner's and the entry's.
const RELEASES_PER_REQUEST: usize = 4;

/// What was decided on a request.
#[derive(Clone, Debug)]
pub enum Decision {
    /// Send it to this owner.
    Forward {
        /// The region.
        region: id::Region,
        /// The owner.
        owner: model::member::Key,
        /// Its face for peers.
        peers: std::net::SocketAddr,
        /// Whether it may wait there for a slot.
        may_wait: bool,
    },
    /// Run it at this upstream.
    Run {
        /// The upstream.
        upstream: id::Upstream,
        /// Where it listens.
        address: std::net::SocketAddr,
    },
    /// Do not run it.
    Refuse(verdict::Failure),
}

/// A look at the decisions' state.
pub type Look = Box<dyn FnOnce(&event_loop::State<'_>) + Send>;

/// What the deciding thread is told.
pub(crate) enum Message {
    Event(event::Event),
    Ask(event::Event, request::Id, oneshot::Sender<(Decision, heartbeat::Usage)>),
    Heartbeat(Box<heartbeat::Request>, oneshot::Sender<heartbeat::Reply>),
    Claim(ticket::Ticket, oneshot::Sender<ticket::Claim<answer::Answer>>),
    Finish(ticket::Ticket, ticket::Outcome<answer::Answer>),
    Look(Look),
}

/// Where the deciding thread sends what others must do.
#[derive(Debug)]
pub struct Outputs {
    /// Heartbeats and fetches, for the peers' duty; dropped and counted when full, as the next heartbeat
    /// makes up for them.
    pub peers: mpsc::Sender<Outgoing>,
    /// Tables to propose, for the store's duty; dropped when full, as they are proposed again.
    pub tables: mpsc::Sender<sync::Arc<model::table::Table>>,
    /// The view that other duties read.
    pub view: watch::Sender<sync::Arc<view::View>>,
}

/// Something for the peers' duty to send.
#[derive(Debug)]
pub enum Outgoing {
    /// A heartbeat.
    Heartbeat {
        /// Where to.
        to: std::net::SocketAddr,
        /// The node expected there.
        node: Option<id::Node>,
        /// The heartbeat.
        heartbeat: Box<heartbeat::Request>,
        /// When it was made.
        made: Instant,
    },
    /// A fetch of the newer configuration.
    Fetch {
        /// From where.
        from: std::net::SocketAddr,
    },
}

/// The way for other duties to ask the decisions.
#[derive(Clone)]
pub struct Handle {
    asks: ring::Sender<Message>,
    releases: ring::Sender<Message>,
    next: sync::Arc<atomic::AtomicU64>,
    in_flight: sync::Arc<atomic::AtomicUsize>,
    most: usize,
    view: watch::Receiver<sync::Arc<view::View>>,
    clock: sync::Arc<dyn clock::Clock>,
    issuer: ticket::Issuer,
    refused: sync::Arc<atomic::AtomicU64>,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle").finish_non_exhaustive()
    }
}

/// The deciding thread.
#[derive(Debug)]
pub struct Thread {
    stop: ring::Sender<()>,
    thread: Option<thread::JoinHandle<()>>,
}

/// Starts the deciding thread, which lets at most `most` requests be in flight.
///
/// # Errors
///
/// Fails when the thread cannot be made.
pub fn start(
    core: core::Core,
    outputs: Outputs,
    clock: sync::Arc<dyn clock::Clock>,
    most: usize,
) -> io::Result<(Handle, Thread)> {
    let (asks, asked) = ring::bounded(ASKS);
    let (releases, released) = ring::bounded(most * RELEASES_PER_REQUEST + ASKS);
    let (stop, stopped) = ring::bounded(1);
    let key = core.me.key.clone();
    let issuer = ticket::Issuer::new(key.node, key.incarnation, clock.now());
    let handle = Handle {
        asks,
        releases,
        next: sync::Arc::default(),
        in_flight: sync::Arc::default(),
        most,
        view: outputs.view.subscribe(),
        clock: sync::Arc::clone(&clock),
        issuer: issuer.clone(),
        refused: sync::Arc::default(),
    };
    let mut decider = event_loop::EventLoop::new(core, outputs, clock, ticket::Table::new(issuer));
    let body = move || decider.run(&asked, &released, &stopped);
    let thread = thread::Builder::new().name("decisions".to_owned()).spawn(body)?;
    Ok((handle, Thread { stop, thread: Some(thread) }))
}

impl Handle {
    /// Returns the newest view.
    #[must_use]
    pub fn view(&self) -> sync::Arc<view::View> {
        sync::Arc::clone(&self.view.borrow())
    }

    /// Returns a receiver that wakes at each new view.
    #[must_use]
    pub fn views(&self) -> watch::Receiver<sync::Arc<view::View>> {
        self.view.clone()
    }

    /// Returns the time.
    #[must_use]
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Returns the clock.
    #[must_use]
    pub fn clock(&self) -> &dyn clock::Clock {
        &*self.clock
    }

    /// Issues a ticket.
    #[must_use]
    pub fn issue(&self) -> ticket::Ticket {
        self.issuer.issue(self.clock.now(), rand::random())
    }

    /// Routes a request to an owner, in `region` when that was chosen already.
    pub async fn route(
        &self,
        service: id::Service,
        place: id::Place,
        region: Option<id::Region>,
    ) -> (Routed, Decision) {
        let id = self.next_id();
        let routed = Routed { id, handle: self.clone() };
        let event = event::Event::Route { request: id, service, place, region };
        (routed, self.ask(event, id).await.0)
    }

    /// Asks for a slot here; tells too how much of its slots the service uses.
    pub async fn offer(
        &self,
        offer: impl FnOnce(request::Id) -> request::Offer,
    ) -> (Offered, Decision, heartbeat::Usage) {
        let id = self.next_id();
        let mut offered = Offered { id, handle: self.clone(), state: Held::Waiting };
        let over = self.in_flight.fetch_add(1, atomic::Ordering::Relaxed) >= self.most;
        if over {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            offered.state = Held::Nothing;
            return (offered, Decision::Refuse(busy()), heartbeat::Usage::default());
        }
        let (decision, usage) = self.ask(event::Event::Offer { offer: offer(id) }, id).await;
        offered.state = match &decision {
            Decision::Run { .. } => Held::Slot,
            _ => Held::Nothing,
        };
        (offered, decision, usage)
    }

    /// Answers a peer's heartbeat.
    pub async fn heartbeat(&self, heartbeat: heartbeat::Request) -> Option<heartbeat::Reply> {
        let (reply, answer) = oneshot::channel();
        self.asks.try_send(Message::Heartbeat(Box::new(heartbeat), reply)).ok()?;
        answer.await.ok()
    }

    /// Claims a ticket.
    pub async fn claim(&self, ticket: ticket::Ticket) -> ticket::Claim<answer::Answer> {
        let (reply, answer) = oneshot::channel();
        match self.asks.try_send(Message::Claim(ticket, reply)) {
            Ok(()) => answer.await.unwrap_or(ticket::Claim::Unknown),
            Err(_) => ticket::Claim::Full,
        }
    }

    /// Remembers how the request of a ticket ended.
    pub fn finish(&self, ticket: ticket::Ticket, outcome: ticket::Outcome<answer::Answer>) {
        self.release(Message::Finish(ticket, outcome));
    }

    /// Tells the decisions of something; returns false when their ring is full.
    #[must_use]
    pub fn tell(&self, event: event::Event) -> bool {
        self.asks.try_send(Message::Event(event)).is_ok()
    }

    /// Tells how much of its slots a service uses at an owner; lost when the ring is full, as the
    /// next answer tells it again.
    pub fn used(&self, owner: &id::Node, service: &id::Service, usage: heartbeat::Usage) {
        let (owner, service) = (owner.clone(), service.clone());
        let _ = self.tell(event::Event::Used { owner, service, usage });
    }

    /// Looks at the decisions' state from their own thread.
    pub async fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&event_loop::State<'_>) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let look: Look = Box::new(move |state| {
            let _ = reply.send(look(state));
        });
        self.asks.try_send(Message::Look(look)).ok()?;
        answer.await.ok()
    }

    /// Returns the lengths of the two rings and the asks refused for their sake.
    #[must_use]
    pub fn pressure(&self) -> (usize, usize, u64) {
        let refused = self.refused.load(atomic::Ordering::Relaxed);
        (self.asks.len(), self.releases.len(), refused)
    }

    fn next_id(&self) -> request::Id {
        request::Id(self.next.fetch_add(1, atomic::Ordering::Relaxed))
    }

    async fn ask(&self, event: event::Event, id: request::Id) -> (Decision, heartbeat::Usage) {
        let (reply, answer) = oneshot::channel();
        if self.asks.try_send(Message::Ask(event, id, reply)).is_err() {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            return (Decision::Refuse(busy()), heartbeat::Usage::default());
        }
        answer.await.unwrap_or_else(|_| (Decision::Refuse(busy()), heartbeat::Usage::default()))
    }

    fn release(&self, message: Message) {
        // The ring holds more than can be out, so this waits only if that bound is wrong.
        let _ = self.releases.send(message);
    }
}

fn busy() -> verdict::Failure {
    verdict::Failure::not_run(verdict::Reason::Full).after(Duration::from_secs(1))
}

/// A request that the entry has routed; dropping it tells the decisions that it is over.
#[derive(Debug)]
pub struct Routed {
    id: request::Id,
    handle: Handle,
}

impl Routed {
    /// Tells how the last try failed and asks for another.
    pub async fn failed(
        &self,
        failure: verdict::Failure,
        repetition: service::Repetition,
    ) -> Decision {
        let event = event::Event::Failed { request: self.id, failure, repetition };
        self.handle.ask(event, self.id).await.0
    }
}

impl Drop for Routed {
    fn drop(&mut self) {
        self.handle.release(Message::Event(event::Event::Returned { request: self.id }));
    }
}

/// What an offered request holds at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Held {
    Nothing,
    Waiting,
    Slot,
}

/// A request that was offered to this owner; dropping it gives back what it holds.
#[derive(Debug)]
pub struct Offered {
    id: request::Id,
    handle: Handle,
    state: Held,
}

impl Offered {
    /// Gives the slot back, saying how the request ended.
    pub fn done(mut self, outcome: request::Outcome) {
        self.end(outcome);
    }

    fn end(&mut self, outcome: request::Outcome) {
        let event = match std::mem::replace(&mut self.state, Held::Nothing) {
            Held::Nothing => return,
            Held::Waiting => event::Event::Withdraw { request: self.id },
            Held::Slot => event::Event::Done { request: self.id, outcome },
        };
        self.handle.release(Message::Event(event));
    }
}

impl Drop for Offered {
    fn drop(&mut self) {
        self.end(request::Outcome::Abandoned);
        self.handle.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Thread {
    /// Ends the thread and waits for it.
    pub fn stop(&mut self) {
        let _ = self.stop.try_send(());
        if let Some(thread) = self.thread.take()
            && thread.join().is_err()
        {
            log::error!(duty = "decisions"; "duty-panicked");
        }
    }
}

impl Drop for Thread {
    fn drop(&mut self) {
        self.stop();
    }
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
