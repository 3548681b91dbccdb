//! Heartbeats: datagrams by which nodes tell each other that they are alive and what they know.

use std::collections;
use std::net;
use std::rc;
use std::time::{Duration, Instant};

use rand::RngExt as _;
use tokio::net::UdpSocket;

use crate::gateway::datagram;
use crate::gateway::loads;
use crate::gateway::member;
use crate::gateway::peer;
use crate::gateway::state;

/// Time for which a node waits for the store's news before it asks a node that has them.
const PATIENCE: Duration = Duration::from_millis(700);

/// Time in which news gather before another node is asked for them.
const GATHER: Duration = Duration::from_millis(100);

/// Pause after a node that was asked did not answer.
const PAUSE: Duration = Duration::from_millis(200);

/// Largest datagram that is read, in bytes.
const LARGEST: usize = 16_384;

/// Sends heartbeats until the task ends.
pub async fn send(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    loop {
        beat(&state, &socket).await;
        let period = state.members.borrow().period();
        tokio::select! {
            () = tokio::time::sleep(period) => {}
            () = state.beat.notified() => {}
        }
    }
}

async fn beat(state: &state::State, socket: &UdpSocket) {
    let datagram = {
        let mut me = state.me.borrow_mut();
        me.sequence += 1;
        datagram::write(&me)
    };
    for address in addresses(state) {
        // A datagram that cannot be sent is one that was lost.
        let _ = socket.send_to(&datagram, address).await;
        state.metrics.heartbeats.add(1);
        state.metrics.control_bytes.add(datagram.len() as u64);
    }
    let now = Instant::now();
    state.members.borrow_mut().forget(now);
    state.update_nodes();
}

fn addresses(state: &state::State) -> collections::BTreeSet<net::SocketAddr> {
    let settings = rc::Rc::clone(&state.settings.borrow());
    let (members, me) = (state.members.borrow(), state.me.borrow());
    let now = Instant::now();
    let mut addresses = members.addresses(&me.node, me.sequence, now);
    // Seeds are for finding the others; afterwards they are nodes like any other.
    if members.alive(now).count() < settings.seeds.len() {
        addresses.extend(settings.seeds.iter().copied());
    }
    addresses.remove(&settings.listen.peers);
    addresses
}

/// Receives heartbeats until the task ends.
pub async fn receive(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    loop {
        let Ok((length, _)) = socket.recv_from(&mut buffer).await else {
            tokio::time::sleep(PAUSE).await;
            continue;
        };
        let datagram = &buffer[..length];
        if datagram.first() == Some(&wire::gateway::loads::MARK) {
            loads::receive(&state, &datagram[1..]);
            continue;
        }
        let Some(member) = datagram::read(datagram) else { continue };
        if member.node == state.me.borrow().node {
            continue;
        }
        let name = member.node.clone();
        if member.at > state.replica.borrow().at() {
            state.behind.notify_one();
        }
        let is_new = state.members.borrow_mut().hear(member, Instant::now());
        if is_new {
            log::info!(peer = name.as_str(); "peer-alive");
            state.update_nodes();
        }
    }
}

/// Asks other nodes for what they know of the store and this node does not.
pub async fn catch_up(state: rc::Rc<state::State>) {
    let mut behind_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(PAUSE) => {}
            () = state.behind.notified() => tokio::time::sleep(GATHER).await,
        }
        let sources = sources(&state);
        if sources.is_empty() {
            behind_since = None;
            continue;
        }
        let now = Instant::now();
        let since = *behind_since.get_or_insert(now);
        // A node that watches the store will mostly hear of news by itself.
        let is_patient = state.replica.borrow().is_complete() && state.should_watch();
        if is_patient && now.saturating_duration_since(since) < PATIENCE {
            continue;
        }
        // Any of them: the nodes of a region are behind together, and one alone could not serve all.
        let (source, kind) = sources[rand::rng().random_range(0..sources.len())];
        fetch(&state, source, kind).await;
    }
}

/// Returns the nodes that know more than this one, those of its region if there are any; the seeds
/// while this one knows nothing.
fn sources(state: &state::State) -> Vec<(net::SocketAddr, state::Source)> {
    let replica = state.replica.borrow();
    let members = state.members.borrow();
    let me = state.me.borrow();
    let newer: Vec<&member::Member> =
        members.alive(Instant::now()).filter(|m| m.at > replica.at()).collect();
    let near: Vec<_> = newer
        .iter()
        .filter(|m| m.region == me.region)
        .map(|m| (m.peers, state::Source::NearPeer))
        .collect();
    if !near.is_empty() {
        return near;
    }
    if newer.is_empty() && !replica.is_complete() && !me.is_store_reached {
        let settings = state.settings.borrow();
        let others = settings.seeds.iter().copied().filter(|seed| *seed != me.peers);
        return others.map(|seed| (seed, state::Source::FarPeer)).collect();
    }
    newer.iter().map(|m| (m.peers, state::Source::FarPeer)).collect()
}

async fn fetch(state: &state::State, source: net::SocketAddr, kind: state::Source) {
    let after = state.replica.borrow().at();
    state.metrics.peer_fetches.add(1);
    match peer::fetch(source, after).await {
        Ok(extract) => {
            let is_newer = extract.page.at > state.replica.borrow().at();
            if is_newer {
                state.learn(kind, |replica| replica.merge_extract(extract));
            }
        }
        Err(error) => {
            let (source, error) = (source.to_string(), format!("{error:#}"));
            log::debug!(peer = source.as_str(), error = error.as_str(); "peer-fetch-failed");
        }
    }
}
