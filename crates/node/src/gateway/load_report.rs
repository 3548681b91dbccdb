//! Form of a load report: one datagram, or several when it is long.
//!
//! Owns the way between the reports of [`loads`](crate::gateway::loads) and [`wire::gateway::loads`].

use std::error;
use std::fmt;

use model::id;
use prost::Message as _;
use steer::dispatch::peer_load;
use steer::dispatch::quota::usage;
use wire::gateway::loads as message;

/// Most upstreams of one datagram; those of a longer report go into several. Not measured; some 8 KB.
const MOST_UPSTREAMS: usize = 1_000;

/// Most organisations of one datagram, beside its upstreams. Not measured; some 4 KB.
const MOST_ORGANISATIONS: usize = 500;

/// Mark before the number of a further part of a report; names of nodes have none.
pub const PART_MARK: char = '#';

/// Parts of a request, or of one a second, in which usages are written.
const SCALE: f64 = 100.0;

/// What one datagram reports.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Its sender, or a name for the sum of several, with the number of the part.
    pub node: id::Node,
    /// Requests in flight by upstream.
    pub requests: Vec<(peer_load::Key, u32)>,
    /// What organisations ask.
    pub usages: Vec<usage::Usage>,
}

/// Writes a report as one datagram, or as several when it is long; an empty one too, so that it replaces another.
///
/// Each part is applied like the report of a node of its own; one that is no longer sent soon counts no more.
#[must_use]
pub fn encode(
    node: &id::Node,
    in_flight: &[(peer_load::Key, u32)],
    usages: &[usage::Usage],
) -> Vec<Vec<u8>> {
    let name = |number| match number {
        0 => node.as_str().to_owned(),
        _ => format!("{node}{PART_MARK}{number}"),
    };
    let loads: Vec<_> = in_flight.chunks(MOST_UPSTREAMS).collect();
    let usages: Vec<_> = usages.chunks(MOST_ORGANISATIONS).collect();
    let parts = loads.len().max(usages.len()).max(1);
    let part = |number: usize| {
        let (loads, usages) = (loads.get(number), usages.get(number));
        encode_part(name(number), loads.copied().unwrap_or(&[]), usages.copied().unwrap_or(&[]))
    };
    (0..parts).map(part).collect()
}

fn encode_part(
    node: String,
    in_flight: &[(peer_load::Key, u32)],
    usages: &[usage::Usage],
) -> Vec<u8> {
    let loads = message::Loads {
        node,
        upstreams: in_flight.iter().map(|(key, _)| key.0).collect(),
        requests: in_flight.iter().map(|(_, requests)| *requests).collect(),
        organisations: usages.iter().map(|usage| usage.key.0).collect(),
        asked: usages.iter().map(asked).collect(),
        admitted: usages.iter().map(|usage| hundredths(usage.admitted)).collect(),
        excess: usages.iter().map(|usage| hundredths(usage.excess)).collect(),
        debts: usages.iter().map(|usage| hundredths(usage.debt)).collect(),
    };
    let mut datagram = vec![message::MARK];
    datagram.extend(loads.encode_to_vec());
    datagram
}

/// Returns what is asked in hundredths, twice, and one more where the organisation is near its limit.
fn asked(usage: &usage::Usage) -> u32 {
    hundredths(usage.asked).min(u32::MAX / 2) * 2 + u32::from(usage.is_near)
}

fn hundredths(figure: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "no figure is negative, and one beyond the type becomes its greatest"
    )]
    let hundredths = (figure * SCALE).round() as u32;
    hundredths
}

impl Report {
    /// Reads a datagram without its mark.
    ///
    /// # Errors
    ///
    /// Fails when it is no load report.
    pub fn read(datagram: &[u8]) -> Result<Self, Malformed> {
        let loads = message::Loads::decode(datagram).map_err(Malformed::NotReadable)?;
        if loads.upstreams.len() != loads.requests.len() {
            return Err(Malformed::Uneven(loads.upstreams.len(), loads.requests.len()));
        }
        let usages = read_usages(&loads)?;
        let upstreams = loads.upstreams.into_iter().map(peer_load::Key);
        Ok(Self {
            node: id::Node::new(&loads.node),
            requests: upstreams.zip(loads.requests).collect(),
            usages,
        })
    }
}

/// Reads what organisations ask.
///
/// A node of an earlier version, as there are some while a fleet is rolled, does not say what it admits: it counts as admitting
/// all that is asked, which errs toward refusals.
fn read_usages(loads: &message::Loads) -> Result<Vec<usage::Usage>, Malformed> {
    let names = loads.organisations.len();
    let is_earlier = [&loads.admitted, &loads.excess, &loads.debts].iter().all(|l| l.is_empty());
    let added = [&loads.admitted, &loads.excess, &loads.debts].into_iter().filter(|_| !is_earlier);
    if let Some(uneven) = added.chain([&loads.asked]).find(|figures| figures.len() != names) {
        return Err(Malformed::Uneven(names, uneven.len()));
    }
    let figure = |figures: &[u32], index: usize| f64::from(figures[index]) / SCALE;
    let usage = |index: usize| {
        let asked = f64::from(loads.asked[index] / 2) / SCALE;
        let none = usage::Usage::none(usage::Key(loads.organisations[index]));
        let usage = usage::Usage { asked, is_near: loads.asked[index] % 2 == 1, ..none };
        match is_earlier {
            true => usage::Usage { admitted: asked, ..usage },
            false => usage::Usage {
                admitted: figure(&loads.admitted, index),
                excess: figure(&loads.excess, index),
                debt: figure(&loads.debts, index),
                ..usage
            },
        }
    };
    Ok((0..names).map(usage).collect())
}

/// Why a load report cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// Its bytes are no load report.
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
            Self::Unknown(node) => write!(formatter, "loads of {node}, which is not known"),
        }
    }
}

impl error::Error for Malformed {}
