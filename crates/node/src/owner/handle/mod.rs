//! The handle: how other threads ask the event loop.
//!
//! Owns the bound of requests in flight. Relies on the rings that [`start`](mod@start)
//! makes; everything that a request takes is given back by the drop of [`routed::Routed`] or
//! [`offered::Offered`].

pub mod offered;
pub mod routed;
pub mod start;

use std::fmt;
use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant};

use crossbeam_channel as ring;
use model::clock;
use model::id;
use model::verdict;
use steer::ownership::event;
use steer::ownership::heartbeat;
use steer::ownership::request;
use steer::ownership::ticket;
use tokio::sync::{oneshot, watch};

use crate::owner::answer;
use crate::owner::event_loop::message;
use crate::owner::view;

/// `Retry-After` when this process has too many requests in flight. Not measured.
const BUSY_RETRY: Duration = Duration::from_secs(1);

/// Time between two tries to hand over an event while the ring is full. Not measured; a fraction of a tick.
const ROOM_CHECK: Duration = Duration::from_millis(5);

/// The way for other threads to ask the decisions; cheap to clone.
#[derive(Clone)]
pub struct Handle {
    asks: ring::Sender<message::Message>,
    releases: ring::Sender<message::Message>,
    next: sync::Arc<atomic::AtomicU64>,
    in_flight: sync::Arc<atomic::AtomicUsize>,
    most: usize,
    view: watch::Receiver<sync::Arc<view::View>>,
    clock: sync::Arc<dyn clock::Clock>,
    issuer: ticket::Issuer,
    refused: sync::Arc<atomic::AtomicU64>,
}

/// How full the rings to the event loop are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pressure {
    /// Asks that wait.
    pub asks: usize,
    /// Releases that wait.
    pub releases: usize,
    /// Asks refused since the start, because a bound was reached.
    pub refused: u64,
}

impl fmt::Debug for Handle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Handle").finish_non_exhaustive()
    }
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
    ) -> (routed::Routed, message::Decision) {
        let id = self.next_id();
        let routed = routed::Routed { id, handle: self.clone() };
        let event = event::Event::Route { request: id, service, place, region };
        (routed, self.ask(event, id).await.decision)
    }

    /// Asks for a slot here.
    pub async fn offer(
        &self,
        offer: impl FnOnce(request::Id) -> request::Offer,
    ) -> (offered::Offered, message::Answer) {
        let id = self.next_id();
        let state = offered::Held::Waiting;
        let mut offered = offered::Offered { id, handle: self.clone(), state };
        let over = self.in_flight.fetch_add(1, atomic::Ordering::Relaxed) >= self.most;
        if over {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            offered.state = offered::Held::Nothing;
            return (offered, busy());
        }
        let answer = self.ask(event::Event::Offer { offer: offer(id) }, id).await;
        offered.state = match &answer.decision {
            message::Decision::Run { .. } => offered::Held::Slot,
            _ => offered::Held::Nothing,
        };
        (offered, answer)
    }

    /// Answers a peer's heartbeat; none when the ring is full or the node ends.
    pub async fn heartbeat(&self, heartbeat: heartbeat::Request) -> Option<heartbeat::Reply> {
        let (reply, answer) = oneshot::channel();
        let heartbeat = Box::new(heartbeat);
        self.asks.try_send(message::Message::Heartbeat { heartbeat, reply }).ok()?;
        answer.await.ok()
    }

    /// Claims a ticket.
    pub async fn claim(&self, ticket: ticket::Ticket) -> ticket::Claim<answer::Answer> {
        let (reply, answer) = oneshot::channel();
        match self.asks.try_send(message::Message::Claim { ticket, reply }) {
            Ok(()) => answer.await.unwrap_or(ticket::Claim::Unknown),
            Err(_) => ticket::Claim::Full,
        }
    }

    /// Remembers how the request of a ticket ended.
    pub fn finish(&self, ticket: ticket::Ticket, outcome: ticket::Outcome<answer::Answer>) {
        self.release(message::Message::Finish { ticket, outcome });
    }

    /// Hands an event to the decisions; it is dropped when their ring is full.
    ///
    /// Only for events whose sender repeats them, or whose loss another node makes up for.
    pub fn send(&self, event: event::Event) {
        if self.asks.try_send(message::Message::Event(event)).is_err() {
            log::debug!(asks = self.asks.len(); "event-dropped");
        }
    }

    /// Hands an event to the decisions, and waits for room in their ring until the node ends.
    ///
    /// For events that are not repeated. The decisions empty their ring all the time, so the wait is short.
    pub async fn deliver(&self, event: event::Event) {
        let mut message = message::Message::Event(event);
        loop {
            message = match self.asks.try_send(message) {
                Err(ring::TrySendError::Full(message)) => message,
                // Without a receiver the node ends, and its decisions with it.
                Ok(()) | Err(ring::TrySendError::Disconnected(_)) => return,
            };
            tokio::time::sleep(ROOM_CHECK).await;
        }
    }

    /// Reports how much of its slots a service uses at an owner; the next answer reports it again.
    pub fn used(&self, owner: &id::Node, service: &id::Service, usage: heartbeat::Usage) {
        let (owner, service) = (owner.clone(), service.clone());
        self.send(event::Event::Used { owner, service, usage });
    }

    /// Reads the decisions' state from their own thread; none when the ring is full or the node ends.
    pub async fn look<T: Send + 'static>(
        &self,
        look: impl FnOnce(&message::State<'_>) -> T + Send + 'static,
    ) -> Option<T> {
        let (reply, answer) = oneshot::channel();
        let look: message::Look = Box::new(move |state| {
            // Without a receiver the read was given up.
            let _ = reply.send(look(state));
        });
        self.asks.try_send(message::Message::Look(look)).ok()?;
        answer.await.ok()
    }

    /// Returns how full the rings are.
    #[must_use]
    pub fn pressure(&self) -> Pressure {
        Pressure {
            asks: self.asks.len(),
            releases: self.releases.len(),
            refused: self.refused.load(atomic::Ordering::Relaxed),
        }
    }

    fn next_id(&self) -> request::Id {
        request::Id(self.next.fetch_add(1, atomic::Ordering::Relaxed))
    }

    async fn ask(&self, event: event::Event, request: request::Id) -> message::Answer {
        let (reply, answer) = oneshot::channel();
        if self.asks.try_send(message::Message::Ask { event, request, reply }).is_err() {
            self.refused.fetch_add(1, atomic::Ordering::Relaxed);
            return busy();
        }
        // A dropped reply means that the node ends; nothing ran.
        answer.await.unwrap_or_else(|_| busy())
    }

    fn release(&self, message: message::Message) {
        // The ring holds more than can be out, so this waits only if that bound is wrong. A closed ring
        // means that the node ends, and its slots with it.
        let _ = self.releases.send(message);
    }
}

fn busy() -> message::Answer {
    let failure = verdict::Failure::not_run(verdict::Reason::Full).with_retry_after(BUSY_RETRY);
    message::Answer {
        decision: message::Decision::Refuse(failure),
        usage: heartbeat::Usage::default(),
    }
}
