//! Heartbeats: datagrams by which nodes report that they are alive and which revision they have.
//!
//! Owns the tasks that send and receive them, and the one that fetches changes when a heartbeat shows that
//! this node is behind. Relies on [`steer::dispatch::fleet`] for periods and for which nodes are asked.

use std::collections;
use std::net;
use std::rc;
use std::time::{Duration, Instant};

use platform::field;
use rand::RngExt as _;
use steer::dispatch::fleet::catch_up;
use tokio::net::UdpSocket;

use crate::gateway::datagram;
use crate::gateway::loads;
use crate::gateway::member;
use crate::gateway::peer;
use crate::gateway::state;

/// Pause after a failed receive, so that a lasting failure does not spin. Not measured.
const RECEIVE_PAUSE: Duration = Duration::from_millis(200);

/// Largest datagram that is read, in bytes. Not measured; above any heartbeat or load report.
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
    let datagram = {
        let mut me = state.me.borrow_mut();
        me.sequence += 1;
        datagram::write(&me)
    };
    for address in addresses(state) {
        // As good as a lost datagram: the next heartbeat replaces it.
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
    // Seeds help to find the others; afterwards they are nodes like any other.
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
            tokio::time::sleep(RECEIVE_PAUSE).await;
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
        let is_new = state.members.borrow_mut().record(member, Instant::now());
        if is_new {
            log::info!(peer = name.as_str(); "peer-alive");
            state.update_nodes();
        }
    }
}

/// Fetches changes of the store from other nodes while this one is behind, until the task ends.
pub async fn fetch_changes(state: rc::Rc<state::State>) {
    let mut behind_since: Option<Instant> = None;
    loop {
        tokio::select! {
            () = tokio::time::sleep(catch_up::CHECK_PERIOD) => {}
            () = state.behind.notified() => tokio::time::sleep(catch_up::GATHER).await,
        }
        let sources = sources(&state);
        if sources.is_empty() {
            behind_since = None;
            continue;
        }
        let now = Instant::now();
        let since = *behind_since.get_or_insert(now);
        let behind = now.saturating_duration_since(since);
        if !catch_up::is_due(standing(&state), state.should_watch(), behind) {
            continue;
        }
        // Any of them: the nodes of a region are behind together, and one alone could not serve all.
        let (source, kind) = sources[rand::rng().random_range(0..sources.len())];
        fetch(&state, source, kind).await;
    }
}

fn standing(state: &state::State) -> catch_up::Standing {
    catch_up::Standing {
        is_complete: state.replica.borrow().is_complete(),
        is_store_reached: state.is_store_reached(),
    }
}

/// Returns the nodes that may be asked for changes; none when this node is not behind.
fn sources(state: &state::State) -> Vec<(net::SocketAddr, state::Source)> {
    let at = state.replica.borrow().at();
    let members = state.members.borrow();
    let me = state.me.borrow();
    let ahead = members.alive(Instant::now()).filter(|m| m.at > at);
    let (near, far): (Vec<&member::Member>, Vec<&member::Member>) =
        ahead.partition(|m| m.region == me.region);
    let from =
        |members: Vec<&member::Member>, source| members.iter().map(|m| (m.peers, source)).collect();
    match catch_up::sources(near.len(), far.len(), standing(state)) {
        catch_up::Sources::Near => from(near, state::Source::NearPeer),
        catch_up::Sources::Far => from(far, state::Source::FarPeer),
        catch_up::Sources::Seeds => {
            let settings = state.settings.borrow();
            let others = settings.seeds.iter().copied().filter(|seed| *seed != me.peers);
            others.map(|seed| (seed, state::Source::FarPeer)).collect()
        }
    }
}

async fn fetch(state: &state::State, source: net::SocketAddr, kind: state::Source) {
    let after = state.replica.borrow().at();
    let began = Instant::now();
    state.metrics.peer_fetches.add(1);
    match peer::fetch(source, after).await {
        Ok(extract) => {
            let is_newer = extract.page.at > state.replica.borrow().at();
            if is_newer {
                state.apply(kind, |replica| replica.merge_extract(extract));
            }
        }
        Err(error) => {
            state.metrics.peer_fetches_failed.add(1);
            let (source, error) = (source.to_string(), format!("{error:#}"));
            let waited_ms = field::whole_millis(began.elapsed());
            log::info!(peer = source.as_str(), error = error.as_str(), waited_ms; "peer-fetch-failed");
        }
    }
}
