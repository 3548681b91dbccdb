//! Between the decisions' beats and the messages that carry them.

use std::sync;
use std::time::Duration;

use model::epoch;
use model::id;
use model::member;
use model::revision;
use model::table;
use model::upstream;
use steer::common::split;
use steer::ownership::beat;
use wire::peer;

/// Returns a beat as its message.
#[must_use]
pub fn beat_out(beat: beat::Request) -> peer::BeatRequest {
    peer::BeatRequest {
        sender: Some(member_out(&beat.sender)),
        news: Some(news_out(beat.news)),
        epochs: beat
            .epochs
            .into_iter()
            .map(|(region, epoch)| peer::Known { region: text(region.as_str()), epoch: epoch.0 })
            .collect(),
        borrows: beat.borrows,
        held: beat.held.iter().map(loan_out).collect(),
        wants_positions: beat.wants_positions,
    }
}

/// Returns the beat of a message; none when a field is missing or malformed.
#[must_use]
pub fn beat_in(message: peer::BeatRequest) -> Option<beat::Request> {
    Some(beat::Request {
        sender: member_in(&message.sender?)?,
        news: news_in(&message.news.unwrap_or_default()),
        epochs: message
            .epochs
            .iter()
            .map(|known| (id::Region::new(&known.region), epoch::Epoch(known.epoch)))
            .collect(),
        borrows: message.borrows,
        held: message.held.iter().map(loan_in).collect(),
        wants_positions: message.wants_positions,
    })
}

/// Returns a reply as its message.
#[must_use]
pub fn reply_out(reply: beat::Reply) -> peer::BeatReply {
    peer::BeatReply {
        sender: Some(member_out(&reply.sender)),
        news: Some(news_out(reply.news)),
        loans: reply.loans.iter().map(loan_out).collect(),
        term_ms: millis(reply.term),
        positions: reply.positions.iter().map(position_out).collect(),
    }
}

/// Returns the reply of a message; none when a field is missing or malformed.
#[must_use]
pub fn reply_in(message: peer::BeatReply) -> Option<beat::Reply> {
    Some(beat::Reply {
        sender: member_in(&message.sender?)?,
        news: news_in(&message.news.unwrap_or_default()),
        loans: message.loans.iter().map(loan_in).collect(),
        term: Duration::from_millis(message.term_ms),
        positions: message.positions.iter().map(position_in).collect(),
    })
}

/// Returns a home's use of its slots as its message.
#[must_use]
pub fn usage_out(usage: beat::Use) -> peer::Usage {
    peer::Usage { busy: usage.busy, usable: usage.usable }
}

/// Returns the use of a message.
#[must_use]
pub fn usage_in(usage: peer::Usage) -> beat::Use {
    beat::Use { busy: usage.busy, usable: usage.usable }
}

fn member_out(member: &beat::Member) -> peer::Member {
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

fn member_in(member: &peer::Member) -> Option<beat::Member> {
    Some(beat::Member {
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

fn news_out(news: beat::News) -> peer::News {
    let table = |table: &sync::Arc<table::Table>| serde_json::to_vec(&**table).ok();
    let pulse = |pulse: beat::Pulse| peer::Pulse {
        name: text(pulse.key.node.as_str()),
        incarnation: pulse.key.incarnation,
        sequence: pulse.sequence,
    };
    peer::News {
        members: news.members.iter().map(member_out).collect(),
        pulses: news.pulses.into_iter().map(pulse).collect(),
        summaries: news.summaries.into_iter().map(summary_out).collect(),
        regions: news.regions.into_iter().map(summary_out).collect(),
        tables: news.tables.iter().filter_map(table).collect(),
    }
}

/// Returns the news of a message. What is malformed is passed over, so that one bad entry that
/// came by way of others does not silence a peer.
fn news_in(news: &peer::News) -> beat::News {
    let table = |bytes: &Vec<u8>| serde_json::from_slice(bytes).ok().map(sync::Arc::new);
    let pulse = |pulse: &peer::Pulse| beat::Pulse {
        key: member::Key { node: id::Node::new(&pulse.name), incarnation: pulse.incarnation },
        sequence: pulse.sequence,
    };
    beat::News {
        members: news.members.iter().filter_map(member_in).collect(),
        pulses: news.pulses.iter().map(pulse).collect(),
        summaries: news.summaries.iter().map(summary_in).collect(),
        regions: news.regions.iter().map(summary_in).collect(),
        tables: news.tables.iter().filter_map(table).collect(),
    }
}

fn summary_out(summary: beat::Summary) -> peer::Summary {
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

fn summary_in(summary: &peer::Summary) -> beat::Summary {
    let rate = |rate: &peer::Rate| (id::Place::new(&rate.place), rate.thousandths);
    beat::Summary {
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

fn loan_out(loan: &beat::Loan) -> peer::Loan {
    peer::Loan {
        service: text(loan.upstream.service.as_str()),
        upstream: text(loan.upstream.upstream.as_str()),
        slots: loan.slots,
        tail_ms: millis(loan.tail),
    }
}

fn loan_in(loan: &peer::Loan) -> beat::Loan {
    let upstream = upstream::Key {
        service: id::Service::new(&loan.service),
        upstream: id::Upstream::new(&loan.upstream),
    };
    beat::Loan { upstream, slots: loan.slots, tail: Duration::from_millis(loan.tail_ms) }
}

fn position_out(position: &beat::Position) -> peer::Position {
    let parts = position.split.parts();
    let part =
        |(region, share): (&id::Region, u32)| peer::Part { region: text(region.as_str()), share };
    peer::Position {
        service: text(position.service.as_str()),
        place: text(position.place.as_str()),
        parts: parts.map(part).collect(),
    }
}

fn position_in(position: &peer::Position) -> beat::Position {
    let parts = position.parts.iter().map(|p| (id::Region::new(&p.region), p.share)).collect();
    beat::Position {
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
