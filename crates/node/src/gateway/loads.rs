//! Loads: datagrams by which nodes tell each other what they have in flight.

use std::net;
use std::rc;
use std::time::{Duration, Instant};

use model::id;
use prost::Message as _;
use steer::dispatch::peer_load;
use tokio::net::UdpSocket;
use wire::gateway::loads as message;

use crate::gateway::member;
use crate::gateway::members;
use crate::gateway::state;

/// Shortest time between two tellings.
const SHORTEST_PERIOD: Duration = Duration::from_millis(100);

/// Time between two tellings for each node of the region, so that what a node receives does not grow
/// with the region.
const PERIOD_A_NODE: Duration = Duration::from_millis(8);

/// Names of nodes do not begin so; what does stands for the sum of several nodes.
const SUM: &str = "+";

/// Tells other nodes until the task ends.
pub async fn send(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    let mut had_any = false;
    loop {
        let nodes = u32::try_from(state.members.borrow().near_count()).unwrap_or(u32::MAX);
        tokio::time::sleep(SHORTEST_PERIOD.max(PERIOD_A_NODE * nodes)).await;
        let has_any = !state.dispatcher.borrow().in_flight().is_empty();
        // One empty telling follows the last one that was not.
        if has_any || had_any {
            tell_own(&state, &socket);
        }
        had_any = has_any;
        relay(&state, &socket);
    }
}

/// Tells the nodes of the region what this one has in flight; a speaker tells those of others too.
fn tell_own(state: &state::State, socket: &UdpSocket) {
    let in_flight = state.dispatcher.borrow().in_flight();
    let datagram = encode(&state.me.borrow().node, &in_flight);
    let now = Instant::now();
    let members = state.members.borrow();
    let mut addresses = peers_of(members.near(now));
    if members.is_speaker(&state.me.borrow().node, now) {
        addresses.extend(peers_of(members.far_speakers(now).into_iter()));
    }
    send_all(state, socket, &datagram, &addresses);
}

/// As the first speaker, tells other regions' speakers what the rest of this region has in flight, and
/// the rest of this region what other regions have.
fn relay(state: &state::State, socket: &UdpSocket) {
    let now = Instant::now();
    let members = state.members.borrow();
    let me = state.me.borrow();
    if !members.is_first_speaker(&me.node, now) {
        return;
    }
    let others = members.near(now).filter(|m| !m.is_leaving);
    let rest: Vec<&member::Member> = others.skip(members::SPEAKERS - 1).collect();
    if rest.is_empty() {
        return;
    }
    let of_rest = |node: &id::Node| rest.iter().any(|m| m.node == *node);
    let far = members.far_speakers(now);
    let of_far = |node: &id::Node| is_sum(node) || far.iter().any(|m| m.node == *node);
    let dispatcher = state.dispatcher.borrow();
    let rest_load = dispatcher.peer_load(of_rest, now);
    let far_load = dispatcher.peer_load(of_far, now);
    let region = me.region.as_str();
    let for_far = encode(&id::Node::new(&format!("{SUM}{region}")), &rest_load);
    let for_rest = encode(&id::Node::new(&format!("{SUM}not-{region}")), &far_load);
    send_all(state, socket, &for_far, &peers_of(far.into_iter()));
    send_all(state, socket, &for_rest, &peers_of(rest.into_iter()));
}

/// Returns whether `node` stands for the sum of several.
fn is_sum(node: &id::Node) -> bool {
    node.as_str().starts_with(SUM)
}

fn peers_of<'a>(members: impl Iterator<Item = &'a member::Member>) -> Vec<net::SocketAddr> {
    members.map(|member| member.peers).collect()
}

fn send_all(
    state: &state::State,
    socket: &UdpSocket,
    datagram: &[u8],
    addresses: &[net::SocketAddr],
) {
    for address in addresses {
        // A datagram that cannot be sent is one that was lost.
        let _ = socket.try_send_to(datagram, *address);
        state.metrics.control_bytes.add(datagram.len() as u64);
    }
}

fn encode(node: &id::Node, in_flight: &[(peer_load::Key, u32)]) -> Vec<u8> {
    let loads = message::Loads {
        node: node.as_str().to_owned(),
        upstreams: in_flight.iter().map(|(key, _)| key.0).collect(),
        requests: in_flight.iter().map(|(_, requests)| *requests).collect(),
    };
    let mut datagram = vec![message::MARK];
    datagram.extend(loads.encode_to_vec());
    datagram
}

/// Takes what another node tells; a datagram that cannot be read is passed over.
pub fn receive(state: &state::State, datagram: &[u8]) {
    let Ok(loads) = message::Loads::decode(datagram) else { return };
    let upstreams = loads.upstreams.into_iter().map(peer_load::Key);
    let requests = upstreams.zip(loads.requests).collect();
    let node = id::Node::new(&loads.node);
    state.dispatcher.borrow_mut().set_peer_load(node, requests, Instant::now());
}
