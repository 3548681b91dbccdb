//! Facts: datagrams with all leaving upstreams known to a node, for a node that missed some.
//!
//! Defines their format and sends them when a heartbeat contains a different digest. [`repair`] decides which
//! nodes respond.

use std::error;
use std::fmt;
use std::time::Instant;

use model::id;
use prost::Message as _;
use rand::RngExt as _;
use steer::dispatch::fleet::{repair, representatives};
use steer::dispatch::leaving;
use tokio::net::UdpSocket;
use wire::gateway::facts as message;

use crate::gateway::leaving_report;
use crate::gateway::member;
use crate::gateway::state;

/// Maximum number of upstreams in one datagram, about 3 KB.
const MOST_LEAVING: usize = 64;

/// Responds to a heartbeat with a different digest, if this node is among the responders.
pub fn answer(state: &state::State, socket: &UdpSocket, sender: &member::Member) {
    let own = state.dispatcher.borrow().leaving_digest();
    let is_near = sender.region == state.me.borrow().region;
    let receivers = match is_near {
        true => state.members.borrow().near_count(),
        false => representatives::PER_REGION,
    };
    let draw = |nodes| rand::rng().random_range(0..nodes);
    if !repair::is_answered(sender.leavings, own, receivers, draw) {
        return;
    }
    let leavings = state.dispatcher.borrow().all_leavings(Instant::now());
    for datagram in encode(&state.me.borrow().node, &leavings) {
        // A send error is treated like a lost datagram: the next heartbeat contains the difference again.
        let _ = socket.try_send_to(&datagram, sender.peers);
        state.metrics.control_bytes.add(datagram.len() as u64);
        state.metrics.repairs.add(1);
    }
}

/// Encodes the leaving upstreams known to `node` as datagrams of bounded size.
#[must_use]
pub fn encode(node: &id::Node, leavings: &[leaving::Announcement]) -> Vec<Vec<u8>> {
    let part = |leavings: &[leaving::Announcement]| {
        let message = message::Facts {
            node: node.as_str().to_owned(),
            leavings: Some(leaving_report::encode(leavings)),
        };
        let mut datagram = vec![message::MARK];
        datagram.extend(message.encode_to_vec());
        datagram
    };
    leavings.chunks(MOST_LEAVING).map(part).collect()
}

/// Applies a datagram of another node, without its mark.
///
/// # Errors
///
/// Fails if the datagram is malformed; the next heartbeat shows the difference again.
pub fn receive(state: &state::State, datagram: &[u8]) -> Result<(), Malformed> {
    let message = message::Facts::decode(datagram).map_err(Malformed::NotReadable)?;
    let sender = id::Node::new(&message.node);
    if !state.members.borrow().is_known(&sender) {
        return Err(Malformed::Unknown(sender));
    }
    let leavings = leaving_report::read(&message.leavings.unwrap_or_default())
        .map_err(|uneven| Malformed::Uneven(uneven.names, uneven.figures))?;
    state.receive_leavings(&sender, &leavings, Instant::now());
    Ok(())
}

/// Reason why a datagram cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes cannot be decoded.
    NotReadable(prost::DecodeError),
    /// Parallel lists differ in length: the number of names and of values.
    Uneven(usize, usize),
    /// The sender is neither known from heartbeats nor registered in the store.
    Unknown(id::Node),
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReadable(error) => error.fmt(formatter),
            Self::Uneven(names, figures) => {
                write!(formatter, "{names} names with {figures} figures")
            }
            Self::Unknown(node) => write!(formatter, "facts of {node}, which is not known"),
        }
    }
}

impl error::Error for Malformed {}
