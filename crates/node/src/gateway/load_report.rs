//! Format of load reports: one datagram, or several if the report is long.
//!
//! Converts between the reports of [`loads`](crate::gateway::loads) and the messages of [`wire::gateway::loads`].

use std::error;
use std::fmt;
use std::time::Duration;

use model::{id, limit};
use prost::Message as _;
use steer::dispatch::leaving;
use steer::dispatch::pace;
use steer::dispatch::peer_load;
use steer::dispatch::quota::usage;
use steer::dispatch::region::demand::report as demand;
use steer::dispatch::rollout;
use steer::dispatch::upstream_limit::{self, announcement};
use wire::gateway::loads as message;

use crate::gateway::leaving_report;
use crate::gateway::rollout_report;

/// Maximum number of upstreams in one datagram, about 8 KB.
const MOST_UPSTREAMS: usize = 1_000;

/// Maximum number of upstreams with held slots, and with queued asks, in one datagram, about 4 KB.
const MOST_COUNTED: usize = 250;

/// Maximum number of organisations in one datagram, about 4 KB.
const MOST_ORGANISATIONS: usize = 500;

/// Maximum number of upstreams with limits in one datagram, about 8 KB.
const MOST_LIMITED: usize = 250;

/// Maximum number of leaving upstreams in one datagram, about 3 KB.
const MOST_LEAVING: usize = 100;

/// Maximum number of regions and services with their demand in one datagram, about 2 KB.
const MOST_DEMANDS: usize = 250;

/// Encodes that an upstream has withdrawn its limit.
const NO_LIMIT: f64 = -1.0;

/// Separator between a node name and the number of a further part of its report; node names do not contain it.
pub const PART_MARK: char = '#';

/// Fraction of a request, or of a request per second, that is the unit of encoded usages.
const SCALE: f64 = 100.0;

/// Content of a report by one node, or of the sum of several nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Content {
    /// Requests in flight, by upstream.
    pub requests: Vec<(peer_load::Key, u32)>,
    /// Usage by organisation.
    pub usages: Vec<usage::Usage>,
    /// Limits that upstreams announce, and the usage of those upstreams.
    pub limits: upstream_limit::Report,
    /// Upstreams that announced that they are leaving.
    pub leavings: Vec<leaving::Announcement>,
    /// Answers by version, for each roll-out in progress.
    pub rollouts: Vec<rollout::Report>,
    /// Demand by region and service.
    pub demand: Vec<demand::Rate>,
    /// Upstreams that are slow at this moment; in sums there are none, since they would come too late.
    pub slow: Vec<pace::Slow>,
    /// Requests in flight that hold a slot, by upstream.
    pub held: Vec<(peer_load::Key, u32)>,
    /// Asks queued at the owner of the upstream's slots, by upstream.
    pub queued: Vec<(peer_load::Key, u32)>,
}

/// Content of one datagram.
#[derive(Clone, Debug, PartialEq)]
pub struct Report {
    /// Name of the sender or of the sum, followed by the number of the part.
    pub node: id::Node,
    /// Content of the report.
    pub content: Content,
}

/// Encodes a report as one or more datagrams.
///
/// An empty report takes one datagram, since it replaces the previous one. Receivers treat each part like the report
/// of a separate node, so a part that is no longer sent expires.
#[must_use]
pub fn encode(node: &id::Node, content: &Content) -> Vec<Vec<u8>> {
    let name = |number| match number {
        0 => node.as_str().to_owned(),
        _ => format!("{node}{PART_MARK}{number}"),
    };
    let loads: Vec<_> = content.requests.chunks(MOST_UPSTREAMS).collect();
    let usages: Vec<_> = content.usages.chunks(MOST_ORGANISATIONS).collect();
    let sends: Vec<_> = content.limits.usages.chunks(MOST_LIMITED).collect();
    let announcements: Vec<_> = content.limits.announcements.chunks(MOST_LIMITED).collect();
    let leavings: Vec<_> = content.leavings.chunks(MOST_LEAVING).collect();
    let demand: Vec<_> = content.demand.chunks(MOST_DEMANDS).collect();
    let held: Vec<_> = content.held.chunks(MOST_COUNTED).collect();
    let queued: Vec<_> = content.queued.chunks(MOST_COUNTED).collect();
    let limited = sends.len().max(announcements.len());
    let counted = held.len().max(queued.len());
    let parts = [loads.len(), usages.len(), limited, leavings.len(), demand.len(), counted, 1];
    let parts = parts.into_iter().max();
    let part = |number: usize| {
        let loads = message::Loads {
            node: name(number),
            sends: sends.get(number).map(|sends| encode_sends(sends)),
            limits: announcements.get(number).map(|part| encode_announcements(part)),
            leavings: leavings.get(number).map(|leavings| leaving_report::encode(leavings)),
            rollouts: match number {
                0 => content.rollouts.iter().map(rollout_report::encode).collect(),
                _ => Vec::new(),
            },
            demand: demand.get(number).map(|rates| encode_demand(rates)),
            slow: (number == 0 && !content.slow.is_empty()).then(|| encode_slow(&content.slow)),
            held: held.get(number).map(|held| encode_counts(held)),
            queued: queued.get(number).map(|queued| encode_counts(queued)),
            ..encode_loads(part_of(&loads, number), part_of(&usages, number))
        };
        let mut datagram = vec![message::MARK];
        datagram.extend(loads.encode_to_vec());
        datagram
    };
    (0..parts.unwrap_or(1)).map(part).collect()
}

fn part_of<'a, T>(parts: &[&'a [T]], number: usize) -> &'a [T] {
    parts.get(number).copied().unwrap_or(&[])
}

fn encode_loads(in_flight: &[(peer_load::Key, u32)], usages: &[usage::Usage]) -> message::Loads {
    let figures = Figures::of(usages);
    message::Loads {
        upstreams: in_flight.iter().map(|(key, _)| key.0).collect(),
        requests: in_flight.iter().map(|(_, requests)| *requests).collect(),
        organisations: figures.keys,
        asked: figures.asked,
        admitted: figures.admitted,
        excess: figures.excess,
        debts: figures.debts,
        ..message::Loads::default()
    }
}

fn encode_sends(usages: &[usage::Usage]) -> message::Sends {
    let Figures { keys: upstreams, asked, admitted, excess, debts } = Figures::of(usages);
    message::Sends { upstreams, asked, admitted, excess, debts }
}

fn encode_announcements(announcements: &[announcement::Announcement]) -> message::Limits {
    message::Limits {
        upstreams: announcements.iter().map(|announced| announced.upstream.0).collect(),
        rates: announcements
            .iter()
            .map(|n| n.limit.map_or(NO_LIMIT, limit::Rate::per_second))
            .collect(),
        ages: announcements.iter().map(|announced| leaving_report::millis(announced.age)).collect(),
    }
}

fn encode_demand(rates: &[demand::Rate]) -> message::Demand {
    message::Demand {
        keys: rates.iter().map(|rate| rate.key.0).collect(),
        rates: rates.iter().map(|rate| hundredths(rate.per_second)).collect(),
    }
}

fn encode_slow(slow: &[pace::Slow]) -> message::SlowUpstreams {
    message::SlowUpstreams {
        upstreams: slow.iter().map(|observed| observed.upstream.0).collect(),
        percents: slow.iter().map(|observed| observed.percent).collect(),
    }
}

fn encode_counts(counts: &[(peer_load::Key, u32)]) -> message::Counts {
    message::Counts {
        upstreams: counts.iter().map(|(key, _)| key.0).collect(),
        counts: counts.iter().map(|(_, count)| *count).collect(),
    }
}

/// Usages as the parallel lists of a message.
#[derive(Clone, Debug, Default)]
struct Figures {
    keys: Vec<u32>,
    asked: Vec<u32>,
    admitted: Vec<u32>,
    excess: Vec<u32>,
    debts: Vec<u32>,
}

impl Figures {
    fn of(usages: &[usage::Usage]) -> Self {
        Self {
            keys: usages.iter().map(|usage| usage.key.0).collect(),
            asked: usages.iter().map(asked).collect(),
            admitted: usages.iter().map(|usage| hundredths(usage.admitted)).collect(),
            excess: usages.iter().map(|usage| hundredths(usage.excess)).collect(),
            debts: usages.iter().map(|usage| hundredths(usage.debt)).collect(),
        }
    }

    /// Decodes usages.
    ///
    /// A node of an earlier version does not report what it admits. It is assumed to admit all requests, which errs on
    /// the side of refusals.
    fn read(&self) -> Result<Vec<usage::Usage>, Malformed> {
        let names = self.keys.len();
        let is_earlier = [&self.admitted, &self.excess, &self.debts].iter().all(|l| l.is_empty());
        let added = [&self.admitted, &self.excess, &self.debts].into_iter().filter(|_| !is_earlier);
        if let Some(uneven) = added.chain([&self.asked]).find(|figures| figures.len() != names) {
            return Err(Malformed::Uneven(names, uneven.len()));
        }
        let figure = |figures: &[u32], index: usize| f64::from(figures[index]) / SCALE;
        let usage = |index: usize| {
            let asked = f64::from(self.asked[index] / 2) / SCALE;
            let idle = usage::Usage::idle(usage::Key(self.keys[index]));
            let usage = usage::Usage { asked, is_near: self.asked[index] % 2 == 1, ..idle };
            match is_earlier {
                true => usage::Usage { admitted: asked, ..usage },
                false => usage::Usage {
                    admitted: figure(&self.admitted, index),
                    excess: figure(&self.excess, index),
                    debt: figure(&self.debts, index),
                    ..usage
                },
            }
        };
        Ok((0..names).map(usage).collect())
    }
}

/// Returns the requested rate in hundredths, shifted left by one bit; the lowest bit is set near the limit.
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
    /// Decodes a datagram without its mark.
    ///
    /// # Errors
    ///
    /// Fails if the datagram is not a load report.
    pub fn read(datagram: &[u8]) -> Result<Self, Malformed> {
        let loads = message::Loads::decode(datagram).map_err(Malformed::NotReadable)?;
        if loads.upstreams.len() != loads.requests.len() {
            return Err(Malformed::Uneven(loads.upstreams.len(), loads.requests.len()));
        }
        let figures = Figures {
            keys: loads.organisations,
            asked: loads.asked,
            admitted: loads.admitted,
            excess: loads.excess,
            debts: loads.debts,
        };
        let limits = upstream_limit::Report {
            announcements: read_announcements(&loads.limits.unwrap_or_default())?,
            usages: read_sends(loads.sends.unwrap_or_default())?,
        };
        let upstreams = loads.upstreams.into_iter().map(peer_load::Key);
        let requests = upstreams.zip(loads.requests).collect();
        let leavings = leaving_report::read(&loads.leavings.unwrap_or_default())
            .map_err(|uneven| Malformed::Uneven(uneven.names, uneven.figures))?;
        let rollouts: Result<Vec<rollout::Report>, leaving_report::Uneven> =
            loads.rollouts.iter().map(rollout_report::read).collect();
        let rollouts =
            rollouts.map_err(|uneven| Malformed::Uneven(uneven.names, uneven.figures))?;
        let demand = read_demand(&loads.demand.unwrap_or_default())?;
        let slow = read_slow(&loads.slow.unwrap_or_default())?;
        let held = read_counts(loads.held.unwrap_or_default())?;
        let queued = read_counts(loads.queued.unwrap_or_default())?;
        let usages = figures.read()?;
        let content =
            Content { requests, usages, limits, leavings, rollouts, demand, slow, held, queued };
        Ok(Self { node: id::Node::new(&loads.node), content })
    }
}

fn read_sends(sends: message::Sends) -> Result<Vec<usage::Usage>, Malformed> {
    let message::Sends { upstreams: keys, asked, admitted, excess, debts } = sends;
    Figures { keys, asked, admitted, excess, debts }.read()
}

fn read_demand(demand: &message::Demand) -> Result<Vec<demand::Rate>, Malformed> {
    let message::Demand { keys, rates } = demand;
    if keys.len() != rates.len() {
        return Err(Malformed::Uneven(keys.len(), rates.len()));
    }
    let rate = |(key, rate): (&u32, &u32)| demand::Rate {
        key: demand::Key(*key),
        per_second: f64::from(*rate) / SCALE,
    };
    Ok(keys.iter().zip(rates).map(rate).collect())
}

fn read_slow(slow: &message::SlowUpstreams) -> Result<Vec<pace::Slow>, Malformed> {
    let message::SlowUpstreams { upstreams, percents } = slow;
    if upstreams.len() != percents.len() {
        return Err(Malformed::Uneven(upstreams.len(), percents.len()));
    }
    let observed = |(upstream, percent): (&u32, &u32)| pace::Slow {
        upstream: peer_load::Key(*upstream),
        percent: *percent,
    };
    Ok(upstreams.iter().zip(percents).map(observed).collect())
}

fn read_counts(counts: message::Counts) -> Result<Vec<(peer_load::Key, u32)>, Malformed> {
    let message::Counts { upstreams, counts } = counts;
    if upstreams.len() != counts.len() {
        return Err(Malformed::Uneven(upstreams.len(), counts.len()));
    }
    Ok(upstreams.into_iter().map(peer_load::Key).zip(counts).collect())
}

fn read_announcements(
    limits: &message::Limits,
) -> Result<Vec<announcement::Announcement>, Malformed> {
    let names = limits.upstreams.len();
    if let Some(uneven) =
        [limits.rates.len(), limits.ages.len()].into_iter().find(|figures| *figures != names)
    {
        return Err(Malformed::Uneven(names, uneven));
    }
    let announcement = |index: usize| {
        let limit = match limits.rates[index] {
            rate if rate < 0.0 => None,
            rate => Some(limit::Rate::new(rate).map_err(|_| Malformed::Rate)?),
        };
        Ok(announcement::Announcement {
            upstream: peer_load::Key(limits.upstreams[index]),
            limit,
            age: Duration::from_millis(limits.ages[index].into()),
        })
    };
    (0..names).map(announcement).collect()
}

/// Reason why a load report cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Malformed {
    /// The bytes cannot be decoded.
    NotReadable(prost::DecodeError),
    /// Parallel lists differ in length: the number of names and of values.
    Uneven(usize, usize),
    /// A limit is not a valid rate.
    Rate,
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
            Self::Rate => formatter.write_str("a limit that is no rate"),
            Self::Unknown(node) => write!(formatter, "loads of {node}, which is not known"),
        }
    }
}

impl error::Error for Malformed {}
