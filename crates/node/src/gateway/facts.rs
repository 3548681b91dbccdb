//! Facts: datagrams with all that a node knows, for another one that missed some of it.
//!
//! Owns their form, and sends them where a heartbeat shows a difference. Relies on [`repair`] for which nodes answer.

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

/// Most upstreams of one datagram; some 3 KB.
const MOST_LEAVING: usize = 64;

/// Answers the heartbeat of a node that does not know the same, if it is this node's turn.
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
        // As good as a lost datagram: the next heartbeat shows the difference again.
        let _ = socket.try_send_to(&datagram, sender.peers);
        state.metrics.control_bytes.add(datagram.len() as u64);
        state.metrics.repairs.add(1);
    }
}

/// Writes what `node` knows as one datagram, or as several when it is long; as none when it is nothing.
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

/// Applies what another node knows; the datagram comes without its mark.
///
/// # Errors
///
/// Fails when it cannot be read; nothing is lost, since the next heartbeat shows the difference again.
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

/// Why a datagram cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Its bytes are no such message.
    NotReadable(prost::DecodeError),
    /// It has so many names, and so many figures for them.
    Uneven(usize, usize),
    /// No heartbeat came from its sender, and the store does not list it.
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
