//! Heartbeats between [`member::Member`] and their form on the wire.
//!
//! Owns the conversion only; [`heartbeat`] has the message.

use std::num;
use std::time::Duration;

use model::id;
use prost::Message as _;
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::{freshness, repair};
use wire::gateway::heartbeat;

use crate::gateway::member;

/// Writes a heartbeat, mark and all.
#[must_use]
pub fn write(member: &member::Member) -> Vec<u8> {
    let message = heartbeat::Heartbeat {
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
        era: member.era,
        capacity: member.capacity,
        requests: member.requests,
        leavings: member.leavings.0,
        fleet: member.fleet.map_or(0, |fleet| fleet.0.get()),
        is_cut_off: member.connectivity.is_cut_off,
        unreached: member.connectivity.unreached.iter().map(|key| key.0).collect(),
        copy_age_ms: member.copy.map(|copy| copy.age.map_or(heartbeat::NOT_CURRENT, millis)),
        has_far_contact: member.copy.is_some_and(|copy| copy.has_far_contact),
    };
    let mut datagram = vec![heartbeat::MARK];
    datagram.extend(message.encode_to_vec());
    datagram
}

/// Reads a heartbeat, mark and all; none when it is not one.
///
/// Nothing is lost with a malformed one: a datagram may be lost at any time, and its sender sends another
/// within a second.
#[must_use]
pub fn read(datagram: &[u8]) -> Option<member::Member> {
    let message = datagram.strip_prefix(&[heartbeat::MARK])?;
    let message = heartbeat::Heartbeat::decode(message).ok()?;
    Some(member::Member {
        node: id::Node::new(&message.node),
        incarnation: message.incarnation,
        sequence: message.sequence,
        region: id::Region::new(&message.region),
        hall: id::Hall::new(&message.hall),
        callers: message.callers.parse().ok()?,
        peers: message.peers.parse().ok()?,
        is_ready: message.is_ready,
        is_leaving: message.is_leaving,
        is_store_reached: message.is_store_reached,
        at: message.at,
        era: message.era,
        capacity: message.capacity,
        requests: message.requests,
        leavings: repair::Digest(message.leavings),
        fleet: num::NonZeroU32::new(message.fleet).map(id::Fleet),
        connectivity: report::Report {
            is_cut_off: message.is_cut_off,
            unreached: message.unreached.into_iter().map(report::Key).collect(),
        },
        copy: message.copy_age_ms.map(|age| freshness::Report {
            age: (age != heartbeat::NOT_CURRENT).then(|| Duration::from_millis(age.into())),
            has_far_contact: message.has_far_contact,
        }),
    })
}

/// Returns an age as a heartbeat contains it.
fn millis(age: Duration) -> u32 {
    u32::try_from(age.as_millis()).unwrap_or(heartbeat::NOT_CURRENT).min(heartbeat::NOT_CURRENT - 1)
}
