//! Translates heartbeats between the decisions' types and the wire's messages.
//!
//! The wire's names differ where they are older: news is an update, a pulse a liveness counter, a loan a
//! lease, and `borrows` asks for leases. Owns nothing; relies on `wire` for the messages.

use std::sync;
use std::time::Duration;

use model::epoch;
use model::id;
use model::member;
use model::revision;
use model::table;
use model::upstream;
use steer::common::split;
use steer::ownership::heartbeat;
use wire::peer;

/// Returns a heartbeat as its message.
#[must_use]
pub fn request_out(heartbeat: heartbeat::Request) -> peer::BeatRequest {
    peer::BeatRequest {
        sender: Some(member_out(&heartbeat.sender)),
        news: Some(update_out(heartbeat.update)),
        epochs: heartbeat
            .epochs
            .into_iter()
            .map(|(region, epoch)| peer::Known { region: text(region.as_str()), epoch: epoch.0 })
            .collect(),
        borrows: heartbeat.wants_leases,
        held: heartbeat.held.iter().map(lease_out).collect(),
        wants_positions: heartbeat.wants_positions,
    }
}

/// Returns the heartbeat of a message; none when a field is missing or malformed.
#[must_use]
pub fn request_in(message: peer::BeatRequest) -> Option<heartbeat::Request> {
    Some(heartbeat::Request {
        sender: member_in(&message.sender?)?,
        update: update_in(&message.news.unwrap_or_default()),
        epochs: message
            .epochs
            .iter()
            .map(|known| (id::Region::new(&known.region), epoch::Epoch(known.epoch)))
            .collect(),
        wants_leases: message.borrows,
        held: message.held.iter().map(lease_in).collect(),
        wants_positions: message.wants_positions,
    })
}

/// Returns a reply as its message.
#[must_use]
pub fn reply_out(reply: heartbeat::Reply) -> peer::BeatReply {
    peer::BeatReply {
        sender: Some(member_out(&reply.sender)),
        news: Some(update_out(reply.update)),
        loans: reply.leases.iter().map(lease_out).collect(),
        term_ms: millis(reply.term),
        positions: reply.positions.iter().map(position_out).collect(),
    }
}

/// Returns the reply of a message; none when a field is missing or malformed.
#[must_use]
pub fn reply_in(message: peer::BeatReply) -> Option<heartbeat::Reply> {
    Some(heartbeat::Reply {
        sender: member_in(&message.sender?)?,
        update: update_in(&message.news.unwrap_or_default()),
        leases: message.loans.iter().map(lease_in).collect(),
        term: Duration::from_millis(message.term_ms),
        positions: message.positions.iter().map(position_in).collect(),
    })
}

/// Returns an owner's use of its slots as its message.
#[must_use]
pub fn usage_out(usage: heartbeat::Usage) -> peer::Usage {
    peer::Usage { busy: usage.busy, usable: usage.usable }
}

/// Returns the use of a message.
#[must_use]
pub fn usage_in(usage: peer::Usage) -> heartbeat::Usage {
    heartbeat::Usage { busy: usage.busy, usable: usage.usable }
}

fn member_out(member: &heartbeat::Member) -> peer::Member {
    peer::Member {
        name: text(member.key.node.as_str()),
        incarnation: member.key.incarnation,
        region: text(member.region.as_str()),
        hall: text(member.hall.as_str()),
        callers: member.callers.to_string(),
        peers: member.peers.to_string(),
        operators: member.operators.to_string(),
        sequence: member.sequence,
        revision: member.revision.0,
        epoch: member.epoch.0,
        settled: member.settled.0,
        leaving: member.is_leaving,
    }
}

fn member_in(member: &peer::Member) -> Option<heartbeat::Member> {
    Some(heartbeat::Member {
        key: member::Key { node: id::Node::new(&member.name), incarnation: member.incarnation },
        region: id::Region::new(&member.region),
        hall: id::Hall::new(&member.hall),
        callers: member.callers.parse().ok()?,
        peers: member.peers.parse().ok()?,
        operators: member.operators.parse().ok()?,
        sequence: member.sequence,
        revision: revision::Revision(member.revision),
        epoch: epoch::Epoch(member.epoch),
        settled: epoch::Epoch(member.settled),
        is_leaving: member.leaving,
    })
}

fn update_out(update: heartbeat::Update) -> peer::News {
    let table = |table: &sync::Arc<table::Table>| serde_json::to_vec(&**table).ok();
    let liveness = |liveness: heartbeat::Liveness| peer::Pulse {
        name: text(liveness.key.node.as_str()),
        incarnation: liveness.key.incarnation,
        sequence: liveness.sequence,
    };
    peer::News {
        members: update.members.iter().map(member_out).collect(),
        pulses: update.liveness.into_iter().map(liveness).collect(),
        summaries: update.summaries.into_iter().map(summary_out).collect(),
        regions: update.regions.into_iter().map(summary_out).collect(),
        tables: update.tables.iter().filter_map(table).collect(),
    }
}

/// Returns the update of a message.
///
/// Malformed entries are skipped: they may have come by way of a third node, and dropping the
/// whole message would make the sender look dead.
fn update_in(news: &peer::News) -> heartbeat::Update {
    let table = |bytes: &Vec<u8>| serde_json::from_slice(bytes).ok().map(sync::Arc::new);
    let liveness = |liveness: &peer::Pulse| heartbeat::Liveness {
        key: member::Key { node: id::Node::new(&liveness.name), incarnation: liveness.incarnation },
        sequence: liveness.sequence,
    };
    heartbeat::Update {
        members: news.members.iter().filter_map(member_in).collect(),
        liveness: news.pulses.iter().map(liveness).collect(),
        summaries: news.summaries.iter().map(summary_in).collect(),
        regions: news.regions.iter().map(summary_in).collect(),
        tables: news.tables.iter().filter_map(table).collect(),
    }
}

fn summary_out(summary: heartbeat::Summary) -> peer::Summary {
    let rate = |(place, rate): (id::Place, u32)| peer::Rate {
        place: text(place.as_str()),
        thousandths: rate,
    };
    peer::Summary {
        node: text(summary.key.node.as_str()),
        incarnation: summary.key.incarnation,
        region: text(summary.region.as_str()),
        service: text(summary.service.as_str()),
        sequence: summary.sequence,
        usable: summary.usable,
        in_flight: summary.in_flight,
        queued: summary.queued,
        rates: summary.rates.into_iter().map(rate).collect(),
    }
}

fn summary_in(summary: &peer::Summary) -> heartbeat::Summary {
    let rate = |rate: &peer::Rate| (id::Place::new(&rate.place), rate.thousandths);
    heartbeat::Summary {
        key: member::Key { node: id::Node::new(&summary.node), incarnation: summary.incarnation },
        region: id::Region::new(&summary.region),
        service: id::Service::new(&summary.service),
        sequence: summary.sequence,
        usable: summary.usable,
        in_flight: summary.in_flight,
        queued: summary.queued,
        rates: summary.rates.iter().map(rate).collect(),
    }
}

fn lease_out(lease: &heartbeat::Lease) -> peer::Loan {
    peer::Loan {
        service: text(lease.upstream.service.as_str()),
        upstream: text(lease.upstream.upstream.as_str()),
        slots: lease.slots,
        tail_ms: millis(lease.tail),
    }
}

fn lease_in(lease: &peer::Loan) -> heartbeat::Lease {
    let upstream = upstream::Key {
        service: id::Service::new(&lease.service),
        upstream: id::Upstream::new(&lease.upstream),
    };
    heartbeat::Lease { upstream, slots: lease.slots, tail: Duration::from_millis(lease.tail_ms) }
}

fn position_out(position: &heartbeat::Position) -> peer::Position {
    let parts = position.split.parts();
    let part =
        |(region, share): (&id::Region, u32)| peer::Part { region: text(region.as_str()), share };
    peer::Position {
        service: text(position.service.as_str()),
        place: text(position.place.as_str()),
        parts: parts.map(part).collect(),
    }
}

fn position_in(position: &peer::Position) -> heartbeat::Position {
    let parts = position.parts.iter().map(|p| (id::Region::new(&p.region), p.share)).collect();
    heartbeat::Position {
        service: id::Service::new(&position.service),
        place: id::Place::new(&position.place),
        split: split::Split::from_parts(parts),
    }
}

fn text(name: &str) -> String {
    name.to_owned()
}

fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}
