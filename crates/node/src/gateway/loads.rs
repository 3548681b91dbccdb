//! Loads: datagrams by which nodes tell each other what they have in flight.

use std::rc;
use std::time::{Duration, Instant};

use model::id;
use prost::Message as _;
use steer::dispatch::peers;
use tokio::net::UdpSocket;

use crate::gateway::state;

/// Shortest time between two tellings.
const SHORTEST_PERIOD: Duration = Duration::from_millis(100);

/// Time between two tellings for each node of the fleet, so that what a node receives does not grow
/// with the fleet.
const PERIOD_A_NODE: Duration = Duration::from_millis(8);

/// First byte of a datagram of loads.
pub const MARK: u8 = 1;

/// What a node has in flight.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Loads {
    /// The node.
    #[prost(string, tag = "1")]
    pub node: String,
    /// Short names of upstreams.
    #[prost(fixed32, repeated, tag = "2")]
    pub upstreams: Vec<u32>,
    /// Requests in flight at each.
    #[prost(uint32, repeated, tag = "3")]
    pub requests: Vec<u32>,
}

/// Tells other nodes until the task ends.
pub async fn send(state: rc::Rc<state::State>, socket: rc::Rc<UdpSocket>) {
    let mut had_any = false;
    loop {
        let nodes = u32::try_from(state.members.borrow().count()).unwrap_or(u32::MAX);
        tokio::time::sleep(SHORTEST_PERIOD.max(PERIOD_A_NODE * nodes)).await;
        let in_flight = state.dispatcher.borrow().in_flight();
        let has_any = !in_flight.is_empty();
        // One empty telling follows the last one that was not.
        if !has_any && !had_any {
            continue;
        }
        had_any = has_any;
        let datagram = encode(&state.me.borrow().node, &in_flight);
        let now = Instant::now();
        let addresses: Vec<_> = state.members.borrow().alive(now).map(|m| m.peers).collect();
        for address in addresses {
            // A datagram that cannot be sent is one that was lost.
            let _ = socket.try_send_to(&datagram, address);
            state.metrics.control_bytes.add(datagram.len() as u64);
        }
    }
}

fn encode(node: &id::Node, in_flight: &[(peers::Key, u32)]) -> Vec<u8> {
    let loads = Loads {
        node: node.as_str().to_owned(),
        upstreams: in_flight.iter().map(|(key, _)| key.0).collect(),
        requests: in_flight.iter().map(|(_, requests)| *requests).collect(),
    };
    let mut datagram = vec![MARK];
    datagram.extend(loads.encode_to_vec());
    datagram
}

/// Takes what another node tells; a datagram that cannot be read is passed over.
pub fn receive(state: &state::State, datagram: &[u8]) {
    let Ok(loads) = Loads::decode(datagram) else { return };
    let upstreams = loads.upstreams.into_iter().map(peers::Key);
    let requests = upstreams.zip(loads.requests).collect();
    let node = id::Node::new(&loads.node);
    state.dispatcher.borrow_mut().set_peer_load(node, requests, Instant::now());
}
