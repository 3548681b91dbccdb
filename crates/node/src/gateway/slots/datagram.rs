//! Format of asks for slots, their answers and releases.
//!
//! Converts between the messages of [`steer::dispatch::slots`] and those of `wire::gateway::slots`.

use std::error;
use std::fmt;
use std::net;
use std::time::Duration;

use model::id;
use prost::Message as _;
use steer::dispatch::peer_load;
use steer::dispatch::slots::message::{self, Id, Reply};
use steer::dispatch::urgency;
use wire::gateway::slots as wire;

/// Maximum number of answers in one datagram, about 3 KB.
pub const MOST_ANSWERS: usize = 100;

/// Longest time that is decoded; longer ones are limited to it, so that sums of times stay in range.
const LONGEST: Duration = Duration::from_secs(3_600);

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Datagram {
    /// Name of the sender.
    pub node: id::Node,
    /// Asks for slots.
    pub asks: Vec<Ask>,
    /// Slots that are no longer used, and asks that are withdrawn.
    pub releases: Vec<Release>,
    /// Answers to asks of the receiver.
    pub answers: Vec<Answer>,
}

/// The node that asked, in an ask or release that another node forwards.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Asker {
    /// Its name.
    pub node: id::Node,
    /// Its address for other gateways.
    pub peers: net::SocketAddr,
}

/// An ask for a slot.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ask {
    /// The ask.
    pub ask: message::Ask,
    /// The node that asked; `None` if the ask was not forwarded.
    pub asker: Option<Asker>,
}

/// Release of a slot, or withdrawal of an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// The ask.
    pub id: Id,
    /// The upstream.
    pub upstream: peer_load::Key,
    /// The node that asked; `None` if the release was not forwarded.
    pub asker: Option<Asker>,
}

/// Answer to an ask of the receiver.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The ask.
    pub id: Id,
    /// The upstream.
    pub upstream: peer_load::Key,
    /// The reply.
    pub reply: Reply,
}

impl Datagram {
    /// Creates a datagram without content.
    #[must_use]
    pub fn new(node: id::Node) -> Self {
        Self { node, asks: Vec::new(), releases: Vec::new(), answers: Vec::new() }
    }

    /// Encodes the datagram with its mark.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let message = wire::Slots {
            asks: self.asks.iter().map(encode_ask).collect(),
            releases: self.releases.iter().map(encode_release).collect(),
            answers: self.answers.iter().map(encode_answer).collect(),
            node: self.node.as_str().to_owned(),
        };
        let mut datagram = vec![wire::MARK];
        datagram.extend(message.encode_to_vec());
        datagram
    }

    /// Decodes a datagram without its mark.
    ///
    /// # Errors
    ///
    /// Fails if any part of the datagram is malformed; no part of it is applied then.
    pub fn decode(datagram: &[u8]) -> Result<Self, Malformed> {
        let message = wire::Slots::decode(datagram).map_err(Malformed::NotReadable)?;
        if message.node.is_empty() {
            return Err(Malformed::NoSender);
        }
        Ok(Self {
            node: id::Node::new(&message.node),
            asks: message.asks.iter().map(decode_ask).collect::<Result<_, _>>()?,
            releases: message.releases.iter().map(decode_release).collect::<Result<_, _>>()?,
            answers: message.answers.iter().map(decode_answer).collect::<Result<_, _>>()?,
        })
    }
}

fn encode_ask(ask: &Ask) -> wire::Ask {
    let Ask { ask, asker } = ask;
    wire::Ask {
        id: ask.id.0,
        upstream: ask.upstream.0,
        organisation_priority: ask.urgency.organisation,
        route_priority: ask.urgency.route,
        organisation: ask.organisation,
        max_wait: micros(ask.max_wait),
        work: micros(ask.work),
        time_left: micros(ask.time_left),
        asker: asker.as_ref().map(encode_asker),
    }
}

fn decode_ask(ask: &wire::Ask) -> Result<Ask, Malformed> {
    Ok(Ask {
        ask: message::Ask {
            id: Id(ask.id),
            upstream: peer_load::Key(ask.upstream),
            urgency: urgency::Urgency {
                organisation: ask.organisation_priority,
                route: ask.route_priority,
            },
            organisation: ask.organisation,
            max_wait: duration(ask.max_wait),
            work: duration(ask.work),
            time_left: duration(ask.time_left),
        },
        asker: ask.asker.as_ref().map(decode_asker).transpose()?,
    })
}

fn encode_release(release: &Release) -> wire::Release {
    wire::Release {
        id: release.id.0,
        upstream: release.upstream.0,
        asker: release.asker.as_ref().map(encode_asker),
    }
}

fn decode_release(release: &wire::Release) -> Result<Release, Malformed> {
    Ok(Release {
        id: Id(release.id),
        upstream: peer_load::Key(release.upstream),
        asker: release.asker.as_ref().map(decode_asker).transpose()?,
    })
}

fn encode_answer(answer: &Answer) -> wire::Answer {
    let (reply, retry_after, position) = match answer.reply {
        Reply::Granted => (wire::Reply::Granted, 0, 0),
        Reply::Queued => (wire::Reply::Queued, 0, 0),
        Reply::Refused { retry_after, position } => {
            (wire::Reply::Refused, micros(retry_after), position)
        }
        Reply::Declined => (wire::Reply::Declined, 0, 0),
    };
    wire::Answer {
        id: answer.id.0,
        upstream: answer.upstream.0,
        reply: reply.into(),
        retry_after,
        position,
    }
}

fn decode_answer(answer: &wire::Answer) -> Result<Answer, Malformed> {
    let reply = match wire::Reply::try_from(answer.reply) {
        Ok(wire::Reply::Granted) => Reply::Granted,
        Ok(wire::Reply::Queued) => Reply::Queued,
        Ok(wire::Reply::Refused) => {
            Reply::Refused { retry_after: duration(answer.retry_after), position: answer.position }
        }
        Ok(wire::Reply::Declined) => Reply::Declined,
        Ok(wire::Reply::Unspecified) | Err(_) => return Err(Malformed::Reply(answer.reply)),
    };
    Ok(Answer { id: Id(answer.id), upstream: peer_load::Key(answer.upstream), reply })
}

fn encode_asker(asker: &Asker) -> wire::Asker {
    wire::Asker { node: asker.node.as_str().to_owned(), peers: asker.peers.to_string() }
}

fn decode_asker(asker: &wire::Asker) -> Result<Asker, Malformed> {
    if asker.node.is_empty() {
        return Err(Malformed::NoSender);
    }
    let peers = asker.peers.parse().map_err(|_| Malformed::Address(asker.peers.clone()))?;
    Ok(Asker { node: id::Node::new(&asker.node), peers })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.min(LONGEST).as_micros()).unwrap_or(u64::MAX)
}

fn duration(micros: u64) -> Duration {
    Duration::from_micros(micros).min(LONGEST)
}

/// Reason why a datagram cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes cannot be decoded.
    NotReadable(prost::DecodeError),
    /// The sender, or the node that asked, is not named.
    NoSender,
    /// The address of the node that asked is not a socket address.
    Address(String),
    /// The reply is unknown.
    Reply(i32),
    /// The sender is neither known from heartbeats nor registered in the store.
    Unknown(id::Node),
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReadable(error) => error.fmt(formatter),
            Self::NoSender => formatter.write_str("slots of a node without a name"),
            Self::Address(address) => write!(formatter, "{address} is no socket address"),
            Self::Reply(reply) => write!(formatter, "unknown reply {reply}"),
            Self::Unknown(node) => write!(formatter, "slots of {node}, which is not known"),
        }
    }
}

impl error::Error for Malformed {}
