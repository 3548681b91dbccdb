//! Queue of the asks for one upstream: the order in which they get slots, and which are refused.
//!
//! Asks are ordered by urgency, within an urgency round robin between organisations, and within an
//! organisation by arrival. An urgency that is served much less often than all asks takes every
//! second turn until it is not, as in [`priority`]. [`ledger`] grants the slots.
//!
//! [`ledger`]: crate::dispatch::slots::ledger
//! [`priority`]: crate::dispatch::priority

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::priority;
use crate::dispatch::slots::message::{Ask, Id};
use crate::dispatch::urgency;

/// Margin by which a node waits longer for an answer than the maximum wait of its ask.
///
/// Covers the way of the answer between regions and one tick of the owner.
pub const ANSWER_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of asks in a queue.
///
/// Bounds memory where maximum waits are long: about 10 KB for each upstream. Queues are usually
/// bounded by the expected wait, to a few asks for each slot.
const MAX_LENGTH: usize = 64;

/// Factor of its maximum wait above which the expected wait of a queued ask makes it displaced.
///
/// Above one, since the expected wait is an estimate, and an ask that is refused late has waited for
/// nothing.
const DISPLACED_FACTOR: f64 = 1.5;

/// A queued ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Waiting {
    /// Node that asked.
    pub from: id::Node,
    /// The ask.
    pub ask: Ask,
    /// Time of arrival.
    pub since: Instant,
}

impl Waiting {
    /// Returns the time at which the ask is refused if it has no slot.
    #[must_use]
    pub fn expires(&self) -> Instant {
        self.since + self.ask.max_wait.min(self.ask.time_left.saturating_sub(self.ask.work))
    }
}

/// How fast an upstream takes queued asks.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Drain {
    /// Mean time between two requests that the upstream starts, in seconds.
    pub interval: f64,
}

impl Drain {
    /// Returns the expected time until the upstream starts a request with `ahead` asks before it.
    ///
    /// A slot becomes free after one interval, and the upstream first starts the request that was
    /// granted above its slots, after another.
    #[must_use]
    pub fn wait(self, ahead: u32) -> f64 {
        self.interval * (f64::from(ahead) + 2.0)
    }
}

/// Why an ask is not queued.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// Number of asks ahead of it.
    pub position: u32,
    /// Time by which it would be served too late.
    pub lateness: Duration,
}

/// Asks of one organisation, by arrival.
#[derive(Clone, Debug)]
struct Organisation {
    name: u32,
    asks: collections::VecDeque<Waiting>,
}

/// Asks of one urgency; the organisation at the front is next.
type UrgencyQueue = collections::VecDeque<Organisation>;

/// How often the asks of each urgency are served.
#[derive(Clone, Debug, Default)]
struct Rates {
    of_urgencies: collections::BTreeMap<urgency::Urgency, f64>,
    of_all: Option<f64>,
}

impl Rates {
    fn record(&mut self, urgency: urgency::Urgency, is_served: bool) {
        let value = f64::from(u8::from(is_served));
        let of_urgency = self.of_urgencies.entry(urgency).or_insert(value);
        *of_urgency += (value - *of_urgency) * priority::REQUEST_WEIGHT;
        let of_all = self.of_all.get_or_insert(value);
        *of_all += (value - *of_all) * priority::REQUEST_WEIGHT;
    }

    fn is_starved(&self, urgency: urgency::Urgency) -> bool {
        match (self.of_urgencies.get(&urgency), self.of_all) {
            (Some(own), Some(all)) => *own < all * priority::STARVED_FRACTION,
            _ => false,
        }
    }
}

/// The asks that wait for a slot of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    levels: collections::BTreeMap<urgency::Urgency, UrgencyQueue>,
    length: usize,
    rates: Rates,
    /// Whether a starved urgency had the latest turn.
    was_starved_turn: bool,
}

impl Queue {
    /// Returns the number of queued asks.
    #[must_use]
    pub fn len(&self) -> usize {
        self.length
    }

    /// Returns whether no ask is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Iterates over the queued asks, in no order.
    pub fn iter(&self) -> impl Iterator<Item = &Waiting> {
        self.levels.values().flatten().flat_map(|organisation| &organisation.asks)
    }

    /// Returns the queued asks in the order in which they are served if no other ask arrives or ends.
    #[must_use]
    pub fn order(&self) -> Vec<&Waiting> {
        let mut levels: Vec<_> = self
            .levels
            .iter()
            .map(|(urgency, level)| {
                let longest = level.iter().map(|o| o.asks.len()).max().unwrap_or(0);
                let rounds =
                    (0..longest).flat_map(|n| level.iter().filter_map(move |o| o.asks.get(n)));
                (self.rates.is_starved(*urgency), rounds.peekable())
            })
            .collect();
        let mut was_starved_turn = self.was_starved_turn;
        let mut order = Vec::with_capacity(self.length);
        while order.len() < self.length {
            let is_left = |(_, level): &mut (bool, std::iter::Peekable<_>)| level.peek().is_some();
            let starved = levels.iter_mut().position(|level| level.0 && is_left(level));
            let starved = starved.filter(|_| !was_starved_turn);
            was_starved_turn = starved.is_some();
            let Some(next) = starved.or_else(|| levels.iter_mut().position(is_left)) else { break };
            order.extend(levels[next].1.next());
        }
        order
    }

    /// Queues an ask, and returns the asks that it displaces, each with its position and lateness.
    ///
    /// # Errors
    ///
    /// Fails if the ask would be served too late, or if the queue is full of better ones.
    pub fn push(
        &mut self,
        waiting: Waiting,
        drain: Drain,
        now: Instant,
    ) -> Result<Vec<(Waiting, Rejection)>, Rejection> {
        let key = (waiting.from.clone(), waiting.ask.id);
        let urgency = waiting.ask.urgency;
        self.insert(waiting);
        let rejections = self.rejections(&key, drain, now);
        if let Some((_, rejection)) = rejections.iter().find(|(late, _)| *late == key) {
            self.remove(&key.0, key.1, urgency);
            return Err(*rejection);
        }
        let take = |((from, id), rejection): ((id::Node, Id), Rejection)| {
            let urgency = self.iter().find(|w| w.ask.id == id && w.from == from)?.ask.urgency;
            Some((self.remove(&from, id, urgency)?, rejection))
        };
        Ok(rejections.into_iter().filter_map(take).collect())
    }

    /// Returns the asks that cannot stay after the one with this `key` has been queued: itself, if it
    /// would be served too late, or those behind it that would be.
    fn rejections(
        &self,
        key: &(id::Node, Id),
        drain: Drain,
        now: Instant,
    ) -> Vec<((id::Node, Id), Rejection)> {
        let mut rejections = Vec::new();
        let (mut position, mut is_behind) = (0, false);
        for waiting in self.order() {
            let wait = drain.wait(position);
            let ask = &waiting.ask;
            let is_new = ask.id == key.1 && waiting.from == key.0;
            let waited = now.saturating_duration_since(waiting.since).as_secs_f64();
            let limit = match is_new {
                true => ask.max_wait.as_secs_f64(),
                false => ask.max_wait.as_secs_f64() * DISPLACED_FACTOR,
            };
            let time_left = ask.time_left.as_secs_f64();
            let lateness =
                (waited + wait - limit).max(waited + wait + ask.work.as_secs_f64() - time_left);
            let is_late = (is_new || is_behind) && lateness > 0.0;
            if is_late || position as usize >= MAX_LENGTH {
                let lateness = Duration::from_secs_f64(lateness.max(0.0));
                rejections.push(((waiting.from.clone(), ask.id), Rejection { position, lateness }));
                if is_new {
                    break;
                }
                continue;
            }
            is_behind |= is_new;
            position += 1;
        }
        rejections
    }

    /// Removes and returns the next ask.
    pub fn pop(&mut self) -> Option<Waiting> {
        let first = self.levels.keys().next().copied()?;
        let starved = self.starved().filter(|_| !self.was_starved_turn);
        self.was_starved_turn = starved.is_some();
        let urgency = starved.unwrap_or(first);
        let level = self.levels.get_mut(&urgency)?;
        let mut organisation = level.pop_front()?;
        let waiting = organisation.asks.pop_front()?;
        if !organisation.asks.is_empty() {
            level.push_back(organisation);
        }
        if level.is_empty() {
            self.levels.remove(&urgency);
        }
        self.length -= 1;
        Some(waiting)
    }

    /// Removes and returns an ask.
    pub fn remove(
        &mut self,
        from: &id::Node,
        id: Id,
        urgency: urgency::Urgency,
    ) -> Option<Waiting> {
        let level = self.levels.get_mut(&urgency)?;
        let is_ask = |waiting: &Waiting| waiting.ask.id == id && waiting.from == *from;
        let removed = level.iter_mut().find_map(|organisation| {
            let index = organisation.asks.iter().position(is_ask)?;
            organisation.asks.remove(index)
        })?;
        self.length -= 1;
        level.retain(|organisation| !organisation.asks.is_empty());
        if level.is_empty() {
            self.levels.remove(&urgency);
        }
        Some(removed)
    }

    /// Removes and returns the asks that `is_ended` selects, each with its position.
    pub fn remove_all(&mut self, is_ended: impl Fn(&Waiting) -> bool) -> Vec<(Waiting, u32)> {
        if !self.iter().any(&is_ended) {
            return Vec::new();
        }
        let order = self.order().into_iter().enumerate();
        let ended = order.filter(|(_, waiting)| is_ended(waiting));
        let ended: Vec<(Waiting, usize)> = ended.map(|(n, w)| (w.clone(), n)).collect();
        for (waiting, _) in &ended {
            self.remove(&waiting.from, waiting.ask.id, waiting.ask.urgency);
        }
        let position = |n| u32::try_from(n).unwrap_or(u32::MAX);
        ended.into_iter().map(|(waiting, n)| (waiting, position(n))).collect()
    }

    /// Records whether an ask was granted or refused.
    pub fn record(&mut self, urgency: urgency::Urgency, is_served: bool) {
        self.rates.record(urgency, is_served);
    }

    fn insert(&mut self, waiting: Waiting) {
        let level = self.levels.entry(waiting.ask.urgency).or_default();
        let name = waiting.ask.organisation;
        match level.iter_mut().find(|organisation| organisation.name == name) {
            Some(organisation) => organisation.asks.push_back(waiting),
            None => level.push_back(Organisation { name, asks: [waiting].into() }),
        }
        self.length += 1;
    }

    /// Returns the most urgent of the queued urgencies that are starved.
    fn starved(&self) -> Option<urgency::Urgency> {
        self.levels.keys().find(|urgency| self.rates.is_starved(**urgency)).copied()
    }
}
