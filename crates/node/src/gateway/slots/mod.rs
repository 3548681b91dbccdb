//! Slots: asks slot owners for slots of contended upstreams, and grants those that this node owns.
//!
//! Sends and receives the datagrams and owns the pending asks; [`steer::dispatch::slots`] makes every decision.
//! Nothing is sent, and no task runs, before the first ask.

mod asking;
mod counts;
pub mod datagram;
mod guard;
mod owning;
mod repeating;

use std::cell;
use std::collections;
use std::net;
use std::rc;
use std::time::Instant;

use model::id;
use rand::RngExt as _;
use steer::dispatch::peer_load;
use steer::dispatch::slots::holder;
use steer::dispatch::slots::ledger;
use steer::dispatch::slots::message::{Id, Reply};
use tokio::net::UdpSocket;
use tokio::sync::{Notify, mpsc};

use crate::gateway::slots::datagram::Datagram;
use crate::gateway::state;

pub use crate::gateway::slots::asking::{Request, hold};
pub use crate::gateway::slots::counts::metrics_text;
pub use crate::gateway::slots::datagram::Malformed;
pub use crate::gateway::slots::guard::Guard;
pub use crate::gateway::slots::owning::{apply_report, dump_entries};

/// Asks of this node, and the slots that it owns.
#[derive(Debug)]
pub struct Slots {
    /// Sends the datagrams; unset until the gateway has started.
    socket: cell::OnceCell<rc::Rc<UdpSocket>>,
    holder: cell::RefCell<holder::Holder>,
    /// Asks of this node that have not ended, each with the channel to which its answers are sent.
    pending: cell::RefCell<collections::HashMap<Id, mpsc::UnboundedSender<ReceivedAnswer>>>,
    ledger: cell::RefCell<ledger::Ledger>,
    /// Addresses of the nodes in the ledger.
    askers: cell::RefCell<collections::BTreeMap<id::Node, net::SocketAddr>>,
    /// Addresses of the nodes that releases were sent to, while releases are to be repeated.
    released_to: cell::RefCell<collections::BTreeMap<id::Node, net::SocketAddr>>,
    /// End of the task that repeats releases; `None` if it does not run.
    repeats_until: cell::Cell<Option<Instant>>,
    /// Whether the task that expires asks and leases runs.
    is_ticking: cell::Cell<bool>,
    /// Wakes that task when the first ask is queued.
    queue_began: Notify,
    counts: counts::Counts,
}

impl Default for Slots {
    fn default() -> Self {
        Self::new()
    }
}

/// Where an ask is decided.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Destination {
    /// At this node.
    Here,
    /// At this other node, or at the owner to which that node forwards the ask.
    At(id::Node, net::SocketAddr),
}

/// An answer to an ask of this node.
#[derive(Clone, Debug)]
struct ReceivedAnswer {
    answer: datagram::Answer,
    /// The node that answered.
    owner: id::Node,
    destination: Destination,
}

impl Slots {
    /// Creates the state of a node that has neither asked nor been asked.
    #[must_use]
    pub fn new() -> Self {
        // Random, so that a restarted process does not repeat the ids of its predecessor.
        let holder = holder::Holder::new(rand::rng().random());
        Self {
            socket: cell::OnceCell::new(),
            holder: cell::RefCell::new(holder),
            pending: cell::RefCell::default(),
            ledger: cell::RefCell::default(),
            askers: cell::RefCell::default(),
            released_to: cell::RefCell::default(),
            repeats_until: cell::Cell::new(None),
            is_ticking: cell::Cell::new(false),
            queue_began: Notify::new(),
            counts: counts::Counts::default(),
        }
    }

    /// Sets the socket that sends the datagrams; a second one is ignored.
    pub fn set_socket(&self, socket: rc::Rc<UdpSocket>) {
        let _ = self.socket.set(socket);
    }

    /// Forgets which owners did not answer, except those that `is_known` selects.
    pub fn forget_owners(&self, is_known: impl Fn(&id::Node) -> bool) {
        self.holder.borrow_mut().retain(is_known);
    }

    /// Returns the asks queued at this node, by upstream.
    #[must_use]
    pub fn queued(&self) -> Vec<(peer_load::Key, u32)> {
        self.ledger.borrow().queued().collect()
    }
}

/// Applies a datagram of another node, without its mark.
///
/// # Errors
///
/// Fails if the datagram is malformed or its sender is unknown; nothing is applied then.
pub fn receive(
    state: &rc::Rc<state::State>,
    from: net::SocketAddr,
    datagram: &[u8],
) -> Result<(), Malformed> {
    let datagram = Datagram::decode(datagram)?;
    if datagram.node == state.me.borrow().node {
        return Ok(());
    }
    // An owner in another region may only be known by the ask that it answers, and an asking node there by
    // the forwarded ask that it releases.
    let answers_ask = datagram.answers.iter().any(|answer| is_pending(state, answer.id));
    let ledger = state.slots.ledger.borrow();
    let ends_ask = datagram.releases.iter().any(|release| ledger.knows(&datagram.node, release.id));
    drop(ledger);
    let is_expected = datagram.asks.is_empty() && (answers_ask || ends_ask);
    if !is_expected && !state.members.borrow().is_known(&datagram.node) {
        return Err(Malformed::Unknown(datagram.node));
    }
    for answer in datagram.answers {
        let owner = datagram.node.clone();
        let destination = Destination::At(owner.clone(), from);
        apply_answer(state, ReceivedAnswer { answer, owner, destination });
    }
    let sender = datagram::Asker { node: datagram.node, peers: from };
    for release in datagram.releases {
        owning::receive_release(state, &sender, release);
    }
    for ask in datagram.asks {
        owning::receive_ask(state, &sender, ask);
    }
    Ok(())
}

fn is_pending(state: &state::State, id: Id) -> bool {
    state.slots.pending.borrow().contains_key(&id)
}

/// Passes an answer to the request that waits for it.
fn apply_answer(state: &rc::Rc<state::State>, received: ReceivedAnswer) {
    let datagram::Answer { id, upstream, reply, .. } = received.answer;
    let destination = received.destination.clone();
    // While the id is pending, the guard of the request releases the slot, also if the request no longer
    // waits for an answer: a repeated answer must not release a slot in use.
    let is_pending = match state.slots.pending.borrow().get(&id) {
        Some(waiting) => {
            let _ = waiting.send(received);
            true
        }
        None => false,
    };
    // The request has been sent without a slot, or has ended, so nothing else releases the slot.
    if !is_pending && matches!(reply, Reply::Granted | Reply::Queued) {
        guard::release(state, &destination, id, upstream);
    }
}

/// Sends a datagram. A send error is treated like a lost datagram, which time-outs and leases provide for.
fn send(state: &state::State, to: net::SocketAddr, datagram: &Datagram) {
    let Some(socket) = state.slots.socket.get() else { return };
    let bytes = datagram.encode();
    let _ = socket.try_send_to(&bytes, to);
    state.metrics.control_bytes.add(bytes.len() as u64);
}

/// Returns an empty datagram of this node.
fn datagram_of(state: &state::State) -> Datagram {
    Datagram::new(state.me.borrow().node.clone())
}
