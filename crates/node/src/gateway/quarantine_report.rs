//! Form of the reports of nodes to each other about crashes: datagrams.
//!
//! Owns the way between [`Report`] and [`wire::gateway::quarantine`], where times become ages and ages times.

use std::error;
use std::fmt;
use std::time::{Duration, Instant};

use model::fingerprint::{Caller, Content, Fingerprint, Scope};
use model::id;
use platform::field;
use prost::Message as _;
use steer::dispatch::quarantine::report::Report;
use steer::dispatch::quarantine::ruling::Ruling;
use steer::dispatch::quarantine::sighting::{Crash, Service, Sighting, Start};
use wire::gateway::quarantine as message;

/// Most pieces of a kind in one datagram; some 6 KB.
const MOST_PIECES: usize = 64;

/// Greatest age that is read, so that no sender makes a node add up times that it cannot hold.
const OLDEST: Duration = Duration::from_secs(48 * 3_600);

/// Writes a report as one datagram, or as several when it is long.
#[must_use]
pub fn encode(node: &id::Node, report: &Report, now: Instant) -> Vec<Vec<u8>> {
    let sightings: Vec<_> = report.sightings.chunks(MOST_PIECES).collect();
    let cleared: Vec<_> = report.cleared.chunks(MOST_PIECES).collect();
    let rulings: Vec<_> = report.rulings.chunks(MOST_PIECES).collect();
    let parts = sightings.len().max(cleared.len()).max(rulings.len());
    let part = |number: usize| {
        let sightings = sightings.get(number).copied().unwrap_or_default();
        let cleared = cleared.get(number).copied().unwrap_or_default();
        let rulings = rulings.get(number).copied().unwrap_or_default();
        let message = message::Report {
            node: node.as_str().to_owned(),
            sightings: sightings.iter().map(|sighting| write_sighting(sighting, now)).collect(),
            cleared: cleared.iter().map(|request| write_scope(Scope::from(*request))).collect(),
            rulings: rulings.iter().map(|ruling| write_ruling(ruling, now)).collect(),
        };
        let mut datagram = vec![message::MARK];
        datagram.extend(message.encode_to_vec());
        datagram
    };
    (0..parts).map(part).collect()
}

fn write_scope(scope: Scope) -> message::Request {
    message::Request {
        content: scope.content.to_bytes().to_vec(),
        caller: scope.caller.map(Caller::as_number),
    }
}

fn write_sighting(sighting: &Sighting, now: Instant) -> message::Sighting {
    let Crash { start, service, upstreams, at } = sighting.crash;
    message::Sighting {
        request: Some(write_scope(Scope::from(sighting.fingerprint))),
        start: start.0,
        service: service.0,
        upstreams,
        sent_ms: age(sighting.sent, now),
        crashed_ms: age(at, now),
    }
}

fn write_ruling((scope, ruling): &(Scope, Ruling), now: Instant) -> message::Ruling {
    message::Ruling {
        request: Some(write_scope(*scope)),
        number: ruling.number,
        is_held: ruling.is_held,
        crashes: ruling.crashes,
        since_ms: age(ruling.since, now),
        asked_ms: age(ruling.last_request, now),
    }
}

fn age(at: Instant, now: Instant) -> u64 {
    field::whole_millis(now.saturating_duration_since(at))
}

/// Reads a datagram without its mark; returns its sender, too.
///
/// # Errors
///
/// Fails when it holds no such report.
pub fn read(datagram: &[u8], now: Instant) -> Result<(id::Node, Report), Malformed> {
    let message = message::Report::decode(datagram).map_err(Malformed::NotReadable)?;
    let sightings = message.sightings.iter().map(|sighting| read_sighting(sighting, now));
    let cleared = message.cleared.iter().map(read_fingerprint);
    let rulings = message.rulings.iter().map(|ruling| read_ruling(ruling, now));
    let report = Report {
        sightings: sightings.collect::<Result<_, _>>()?,
        cleared: cleared.collect::<Result<_, _>>()?,
        rulings: rulings.collect::<Result<_, _>>()?,
    };
    Ok((id::Node::new(&message.node), report))
}

fn read_sighting(sighting: &message::Sighting, now: Instant) -> Result<Sighting, Malformed> {
    let request = sighting.request.as_ref().ok_or(Malformed::NoRequest)?;
    Ok(Sighting {
        fingerprint: read_fingerprint(request)?,
        crash: Crash {
            start: Start(sighting.start),
            service: Service(sighting.service),
            upstreams: sighting.upstreams,
            at: before(now, sighting.crashed_ms),
        },
        sent: before(now, sighting.sent_ms),
    })
}

fn read_ruling(ruling: &message::Ruling, now: Instant) -> Result<(Scope, Ruling), Malformed> {
    let request = ruling.request.as_ref().ok_or(Malformed::NoRequest)?;
    let read = Ruling {
        number: ruling.number,
        is_held: ruling.is_held,
        crashes: ruling.crashes,
        since: before(now, ruling.since_ms),
        last_request: before(now, ruling.asked_ms),
    };
    Ok((read_scope(request)?, read))
}

fn read_scope(request: &message::Request) -> Result<Scope, Malformed> {
    let content = Content::from_bytes(&request.content);
    let content = content.ok_or(Malformed::Content(request.content.len()))?;
    Ok(Scope { content, caller: request.caller.map(Caller::from_number) })
}

fn read_fingerprint(request: &message::Request) -> Result<Fingerprint, Malformed> {
    match read_scope(request)? {
        Scope { content, caller: Some(caller) } => Ok(Fingerprint { content, caller }),
        Scope { caller: None, .. } => Err(Malformed::NoCaller),
    }
}

/// Returns the time that was `millis` ago, [`OLDEST`] at most; the present where this node's clock has none so long ago.
fn before(now: Instant, millis: u64) -> Instant {
    now.checked_sub(Duration::from_millis(millis).min(OLDEST)).unwrap_or(now)
}

/// Why a datagram cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Its bytes are no such report.
    NotReadable(prost::DecodeError),
    /// A piece names no request.
    NoRequest,
    /// The hash of what is asked has so many bytes.
    Content(usize),
    /// A request has no caller where one is needed.
    NoCaller,
    /// No heartbeat came from its sender, and the store does not list it.
    Unknown(id::Node),
}

impl fmt::Display for Malformed {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotReadable(error) => error.fmt(formatter),
            Self::NoRequest => formatter.write_str("a piece of a report without its request"),
            Self::Content(bytes) => write!(formatter, "a content of {bytes} bytes"),
            Self::NoCaller => formatter.write_str("a request without its caller"),
            Self::Unknown(node) => write!(formatter, "report of {node}, which is not known"),
        }
    }
}

impl error::Error for Malformed {}
