//! The owner's side: passes asks and releases to the ledger, sends its answers, and expires waits and leases.

use std::collections;
use std::rc;
use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::peer_load;
use steer::dispatch::slots;
use steer::dispatch::slots::ledger::{self, Room};
use steer::dispatch::slots::message::{self, Answer, Id, Reply};

use crate::gateway::metrics;
use crate::gateway::settings;
use crate::gateway::slots::datagram::{self, Asker};
use crate::gateway::slots::{Destination, ReceivedAnswer, apply_answer, datagram_of, send};
use crate::gateway::state;

/// Interval of the expiry of waits while asks are queued; short compared with the maximum waits of some 100 ms.
const QUEUED_TICK: Duration = Duration::from_millis(20);

/// Shortest time between two expiries, so that a change that is due but not applied keeps no processor busy.
const SHORTEST_TICK: Duration = Duration::from_millis(1);

/// Interval of the expiry of leases while slots are held but no ask is queued.
const HELD_TICK: Duration = Duration::from_millis(200);

/// Maximum number of owned upstreams in the state dump.
const MOST_SHOWN: usize = 200;

/// Applies an ask of another node, or forwards it to the owner.
pub(super) fn receive_ask(state: &rc::Rc<state::State>, sender: &Asker, received: datagram::Ask) {
    let datagram::Ask { ask, asker } = received;
    let is_forwarded = asker.is_some();
    let asker = asker.unwrap_or_else(|| sender.clone());
    let owner = state.dispatcher.borrow().slot_owner(ask.upstream);
    match target(state, slots::step(owner, is_forwarded)) {
        Some(Destination::Here) => {
            state.slots.askers.borrow_mut().insert(asker.node.clone(), asker.peers);
            ask_here(state, &asker.node, &ask);
        }
        Some(Destination::At(_, address)) => {
            state.slots.counts.forwarded.add(1);
            let mut datagram = datagram_of(state);
            datagram.asks.push(datagram::Ask { ask, asker: Some(asker) });
            send(state, address, &datagram);
        }
        None => {
            let reply = Reply::Declined;
            let mut datagram = datagram_of(state);
            datagram.answers.push(datagram::Answer { id: ask.id, upstream: ask.upstream, reply });
            send(state, asker.peers, &datagram);
        }
    }
}

/// Returns where an ask is decided, or the node that forwards it; `None` if the ask is declined or no live node is
/// known to send it to.
pub(super) fn target(state: &state::State, step: slots::Step) -> Option<Destination> {
    match step {
        slots::Step::Serve => Some(Destination::Here),
        slots::Step::SendToNode(node) => {
            let address = state.members.borrow().address(&node, Instant::now())?;
            Some(Destination::At(node, address))
        }
        slots::Step::SendToRegion(region) => {
            let members = state.members.borrow();
            let first = members.first_far_representative(&region, Instant::now())?;
            Some(Destination::At(first.node.clone(), first.peers))
        }
        slots::Step::Decline => None,
    }
}

/// Applies a release of another node.
///
/// A release of an ask that this node does not know is forwarded to the owner once, because an ask may be withdrawn
/// before its owner has answered.
pub(super) fn receive_release(
    state: &rc::Rc<state::State>,
    sender: &Asker,
    received: datagram::Release,
) {
    let datagram::Release { id, upstream, asker } = received;
    let is_forwarded = asker.is_some();
    let asker = asker.unwrap_or_else(|| sender.clone());
    if state.slots.ledger.borrow().knows(&asker.node, id) {
        release(state, &asker.node, id);
        return;
    }
    let owner = state.dispatcher.borrow().slot_owner(upstream);
    if let Some(Destination::At(_, address)) = target(state, slots::step(owner, is_forwarded)) {
        let mut datagram = datagram_of(state);
        datagram.releases.push(datagram::Release { id, upstream, asker: Some(asker) });
        send(state, address, &datagram);
    }
}

/// Applies an ask at this node, which owns the slots of the upstream.
pub(super) fn ask_here(state: &rc::Rc<state::State>, asker: &id::Node, ask: &message::Ask) {
    let now = Instant::now();
    let room = room(state, ask.upstream);
    let had_queue = has_queue(state);
    let answers = state.slots.ledger.borrow_mut().ask(asker, ask, room, now);
    deliver(state, answers);
    update_queued(state);
    start_ticking(state);
    // The task sleeps for long while no ask is queued.
    if !had_queue && has_queue(state) {
        state.slots.queue_began.notify_one();
    }
}

/// Ends an ask, or the lease of a slot, at this node.
pub(super) fn release(state: &rc::Rc<state::State>, asker: &id::Node, id: Id) {
    let room = |upstream| room(state, upstream);
    let answers = state.slots.ledger.borrow_mut().release(asker, id, room, Instant::now());
    deliver(state, answers);
    update_queued(state);
}

/// Applies what a load report changed: asks that are queued here may have room now.
pub fn apply_report(state: &rc::Rc<state::State>) {
    if has_queue(state) {
        expire(state);
    }
}

fn has_queue(state: &state::State) -> bool {
    state.slots.ledger.borrow().queued().next().is_some()
}

/// Returns the room at an upstream; `None` if no slots are granted there.
fn room(state: &state::State, upstream: peer_load::Key) -> Option<Room> {
    let is_off = state.settings.borrow().slots == settings::Slots::Off;
    let dispatcher = state.dispatcher.borrow();
    let is_owner = dispatcher.slot_owner(upstream) == Some(slots::Owner::This);
    if is_off || !is_owner { None } else { dispatcher.room(upstream, Instant::now()) }
}

/// Sends answers of the ledger to the nodes that asked, in one datagram for each.
fn deliver(state: &rc::Rc<state::State>, answers: Vec<Answer>) {
    if answers.is_empty() {
        return;
    }
    let mut by_node: collections::BTreeMap<id::Node, Vec<datagram::Answer>> =
        collections::BTreeMap::new();
    for Answer { to, id, upstream, reply } in answers {
        by_node.entry(to).or_default().push(datagram::Answer { id, upstream, reply });
    }
    let me = state.me.borrow().node.clone();
    for (node, answers) in by_node {
        if node == me {
            for answer in answers {
                apply_answer(
                    state,
                    ReceivedAnswer { answer, owner: me.clone(), destination: Destination::Here },
                );
            }
            continue;
        }
        let Some(address) = state.slots.askers.borrow().get(&node).copied() else { continue };
        for answers in answers.chunks(datagram::MOST_ANSWERS) {
            let mut datagram = datagram_of(state);
            datagram.answers = answers.to_vec();
            send(state, address, &datagram);
        }
    }
}

/// Starts the task that expires waits and leases, unless it runs.
fn start_ticking(state: &rc::Rc<state::State>) {
    if is_idle(state) || state.slots.is_ticking.replace(true) {
        return;
    }
    tokio::task::spawn_local(tick(rc::Rc::clone(state)));
}

/// Returns whether nothing was asked for at this node lately.
fn is_idle(state: &state::State) -> bool {
    state.slots.ledger.borrow().upstreams().next().is_none()
}

/// Expires waits and leases until the ledger has no upstreams, some time after the last ask.
async fn tick(state: rc::Rc<state::State>) {
    while !is_idle(&state) {
        let period = if has_queue(&state) { QUEUED_TICK } else { HELD_TICK };
        let now = Instant::now();
        let due = state.slots.ledger.borrow().next_event().unwrap_or(now + period);
        let due = due.max(now + SHORTEST_TICK).min(now + period);
        tokio::select! {
            () = tokio::time::sleep_until(due.into()) => {}
            () = state.slots.queue_began.notified() => continue,
        }
        let _timer = metrics::Timer::start(&state.metrics.control_micros);
        expire(&state);
    }
    state.slots.askers.borrow_mut().clear();
    state.slots.is_ticking.set(false);
}

/// Expires waits and leases, and grants what there is room for.
fn expire(state: &rc::Rc<state::State>) {
    let now = Instant::now();
    let is_alive = |node: &id::Node| !state.members.borrow().is_dead(node, now);
    let room = |upstream| room(state, upstream);
    let answers = state.slots.ledger.borrow_mut().tick(is_alive, room, now);
    deliver(state, answers);
    update_queued(state);
}

/// Passes the queues of this node to the dispatcher, whose selections count the queued requests.
fn update_queued(state: &state::State) {
    let queued = state.slots.queued();
    state.dispatcher.borrow_mut().set_own_queued(queued);
}

/// Returns the slots and queues of the upstreams that this node owns, for the state dump.
#[must_use]
pub fn dump_entries(state: &state::State, now: Instant) -> Vec<serde_json::Value> {
    let ledger = state.slots.ledger.borrow();
    let dispatcher = state.dispatcher.borrow();
    let names: collections::HashMap<peer_load::Key, &str> =
        dispatcher.upstreams().map(|known| (known.key, known.entry.id.as_str())).collect();
    let entry = |owned: ledger::Upstream| {
        let room = dispatcher.room(owned.key, now);
        serde_json::json!({
            "upstream": names.get(&owned.key),
            "slots": room.map(|room| room.slots),
            "others": room.map(|room| room.others),
            "held": owned.held,
            "queued": owned.queued,
        })
    };
    ledger.upstreams().take(MOST_SHOWN).map(entry).collect()
}
