//! Heartbeats: datagrams by which nodes report that they are alive and which revision they have.
//!
//! Owns the tasks that send and receive them. Relies on the members for periods and addresses; wakes
//! [`catch_up`](crate::gateway::catch_up) when a heartbeat shows that this node is behind.

use std::collections;
use std::net;
use std::rc;
use std::time::{Duration, Instant};

use anyhow::Context as _;
use steer::dispatch::fleet::{gossip, membership};
use tokio::net::UdpSocket;

use crate::gateway::datagram;
use crate::gateway::facts;
use crate::gateway::loads;
use crate::gateway::member;
use crate::gateway::metrics;
use crate::gateway::quarantine;
use crate::gateway::slots;
use crate::gateway::state;

/// Pause after a failed receive, so that a persistent failure does not keep the thread busy.
const RECEIVE_PAUSE: Duration = Duration::from_millis(200);

/// Interval in which one malformed datagram is logged; the others are counted.
const FAULT_PERIOD: Duration = Duration::from_secs(1);

/// Maximum size of a datagram, in bytes; larger than any heartbeat or load report.
const LARGEST: usize = 16_384;

/// Sends heartbeats until the task ends.
pub async fn send(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    loop {
        send_once(&state, &socket).await;
        let period = state.members.borrow().period();
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = state.beat.notified() => {}
        }
    }
}

async fn send_once(state: &state::State, socket: &UdpSocket) {
    state.update_me(Instant::now());
    let datagram = datagram::write(&state.me.borrow());
    let sequence = state.me.borrow().sequence;
    let addresses: Vec<net::SocketAddr> = addresses(state).into_iter().collect();
    for (index, address) in gossip::in_turn(&addresses, sequence).enumerate() {
        if gossip::is_pause_due(index) {
            tokio::time::sleep(gossip::BURST_PAUSE).await;
        }
        // A send error is treated like a lost datagram: the next heartbeat replaces it.
        let _ = socket.send_to(&datagram, *address).await;
        state.metrics.heartbeats.add(1);
        state.metrics.control_bytes.add(datagram.len() as u64);
    }
    let _timer = metrics::Timer::start(&state.metrics.control_micros);
    let now = Instant::now();
    state.members.borrow_mut().forget(now);
    state.update_nodes();
}

fn addresses(state: &state::State) -> collections::BTreeSet<net::SocketAddr> {
    let settings = rc::Rc::clone(&state.settings.borrow());
    let (members, me) = (state.members.borrow(), state.me.borrow());
    let now = Instant::now();
    let mut addresses = members.addresses(&me.node, me.sequence, now);
    // The seeds are only needed until enough other nodes are known.
    if members.alive(now).count() < settings.seeds.len() {
        addresses.extend(settings.seeds.iter().copied());
    }
    addresses.remove(&settings.listen.peers);
    addresses
}

/// Receives heartbeats until the task ends.
pub async fn receive(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    // One byte more than the maximum, so that a truncated datagram is recognized as too long.
    let mut buffer = vec![0; LARGEST + 1];
    let mut faults = Faults::default();
    loop {
        let (length, from) = match socket.recv_from(&mut buffer).await {
            Ok(received) => received,
            Err(error) => {
                faults.log(None, &error, Instant::now());
                tokio::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        let _timer = metrics::Timer::start(&state.metrics.control_micros);
        state.metrics.control_bytes_received.add(length as u64);
        let datagram = &buffer[..length];
        let member = datagram::read(datagram);
        if is_foreign(&state, from, member.as_ref(), Instant::now()) {
            state.metrics.foreign.add(1);
            continue;
        }
        if let Err(error) = apply(&state, &socket, from, datagram, member) {
            state.metrics.malformed_datagrams.add(1);
            faults.log(Some(from), &error, Instant::now());
        }
    }
}

/// Returns whether a datagram was sent by a node of another fleet.
///
/// Only heartbeats contain the fleet number; other datagrams are attributed by their source address.
fn is_foreign(
    state: &state::State,
    from: net::SocketAddr,
    member: Option<&member::Member>,
    now: Instant,
) -> bool {
    let Some(member) = member else {
        return state.foreign.contains(from, now);
    };
    if membership::is_of(state.fleet(), member.fleet) {
        state.foreign.forget(from);
        return false;
    }
    if state.foreign.record(from, now) {
        let (peer, address) = (member.node.as_str(), from.to_string());
        let fleet = member.fleet.map(|fleet| fleet.to_string()).unwrap_or_default();
        log::warn!(peer, address = address.as_str(), fleet = fleet.as_str(); "peer-of-another-fleet");
    }
    true
}

/// Applies a datagram of another node; `member` is its content if it is a heartbeat.
fn apply(
    state: &rc::Rc<state::State>,
    socket: &UdpSocket,
    from: net::SocketAddr,
    datagram: &[u8],
    member: Option<member::Member>,
) -> anyhow::Result<()> {
    anyhow::ensure!(datagram.len() <= LARGEST, "longer than {LARGEST} bytes");
    match datagram {
        [wire::gateway::loads::MARK, loads @ ..] => Ok(loads::receive(state, loads)?),
        [wire::gateway::quarantine::MARK, report @ ..] => Ok(quarantine::receive(state, report)?),
        [wire::gateway::facts::MARK, facts @ ..] => Ok(facts::receive(state, facts)?),
        [wire::gateway::slots::MARK, slots @ ..] => Ok(slots::receive(state, from, slots)?),
        [wire::gateway::heartbeat::MARK, ..] => {
            take_heartbeat(state, socket, member.context("no heartbeat")?);
            Ok(())
        }
        [mark, ..] => anyhow::bail!("unknown mark {mark}, perhaps of a later version"),
        [] => anyhow::bail!("empty"),
    }
}

fn take_heartbeat(state: &state::State, socket: &UdpSocket, member: member::Member) {
    if member.node == state.me.borrow().node {
        return;
    }
    facts::answer(state, socket, &member);
    let name = member.node.clone();
    let now = Instant::now();
    match member.position() > state.replica.borrow().at() {
        true => state.behind.notify_one(),
        false => state.record_peer_copy(&member, now),
    }
    let is_new = state.members.borrow_mut().record(member, now);
    if is_new {
        log::info!(peer = name.as_str(); "peer-alive");
        // The next tick updates the dispatcher: when a fleet starts, hundreds of nodes become known together.
        state.has_new_nodes.set(true);
    }
}

/// Receive errors and malformed datagrams, of which one per [`FAULT_PERIOD`] is logged.
#[derive(Debug, Default)]
struct Faults {
    logged: Option<Instant>,
    passed_over: u64,
}

impl Faults {
    fn log(&mut self, from: Option<net::SocketAddr>, error: &dyn std::fmt::Display, now: Instant) {
        let is_due = self.logged.is_none_or(|at| now.saturating_duration_since(at) >= FAULT_PERIOD);
        if !is_due {
            self.passed_over += 1;
            return;
        }
        let passed_over = std::mem::take(&mut self.passed_over);
        let (from, error) = (from.map(|from| from.to_string()), error.to_string());
        let from = from.as_deref().unwrap_or_default();
        log::warn!(from, error = error.as_str(), passed_over; "datagram-malformed");
        self.logged = Some(now);
    }
}
