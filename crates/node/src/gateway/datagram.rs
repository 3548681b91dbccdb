//! Heartbeats as datagrams: a mark, and a message that keeps them short.

use model::id;
use prost::Message as _;

use crate::gateway::member;

/// First byte of a heartbeat.
pub const MARK: u8 = 2;

/// A heartbeat on the wire.
#[derive(Clone, PartialEq, prost::Message)]
struct Heartbeat {
    #[prost(string, tag = "1")]
    node: String,
    #[prost(uint64, tag = "2")]
    incarnation: u64,
    #[prost(uint64, tag = "3")]
    sequence: u64,
    #[prost(string, tag = "4")]
    region: String,
    #[prost(string, tag = "5")]
    hall: String,
    #[prost(string, tag = "6")]
    callers: String,
    #[prost(string, tag = "7")]
    peers: String,
    #[prost(bool, tag = "8")]
    is_ready: bool,
    #[prost(bool, tag = "9")]
    is_leaving: bool,
    #[prost(bool, tag = "10")]
    is_store_reached: bool,
    #[prost(uint64, tag = "11")]
    at: u64,
}

/// Writes a heartbeat, mark and all.
#[must_use]
pub fn write(member: &member::Member) -> Vec<u8> {
    let heartbeat = Heartbeat {
        node: member.node.as_str().to_owned(),
        incarnation: member.incarnation,
        sequence: member.sequence,
        region: member.region.as_str().to_owned(),
        hall: member.hall.as_str().to_owned(),
        callers: member.callers.to_string(),
        peers: member.peers.to_string(),
        is_ready: member.is_ready,
        is_leaving: member.is_leaving,
        is_store_reached: member.is_store_reached,
        at: member.at,
    };
    let mut datagram = vec![MARK];
    datagram.extend(heartbeat.encode_to_vec());
    datagram
}

/// Reads a heartbeat, mark and all; none when it is not one.
#[must_use]
pub fn read(datagram: &[u8]) -> Option<member::Member> {
    let heartbeat = Heartbeat::decode(datagram.strip_prefix(&[MARK])?).ok()?;
    Some(member::Member {
        node: id::Node::new(&heartbeat.node),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        region: id::Region::new(&heartbeat.region),
        hall: id::Hall::new(&heartbeat.hall),
        callers: heartbeat.callers.parse().ok()?,
        peers: heartbeat.peers.parse().ok()?,
        is_ready: heartbeat.is_ready,
        is_leaving: heartbeat.is_leaving,
        is_store_reached: heartbeat.is_store_reached,
        at: heartbeat.at,
    })
}
