//! Oracle: a slow and plain model of one owner, which predicts each answer of the ledger.
//!
//! Keeps every ask and every outcome, and derives the order, the rates and the waits anew each time.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use model::id;
use steer::dispatch::peer_load::Key;
use steer::dispatch::slots::ledger::Room;
use steer::dispatch::slots::message::{Ask, Id};
use steer::dispatch::urgency::Urgency;

/// Maximum number of queued asks of an upstream.
const MAX_LENGTH: usize = 64;

/// Identifies an ask.
pub type Name = (id::Node, Id);

/// What became of an ask.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fate {
    Granted,
    Queued,
    Refused,
    Declined,
}

/// A granted or queued ask.
#[derive(Clone, Debug)]
pub struct Known {
    pub name: Name,
    pub ask: Ask,
    pub since: Instant,
    pub granted_at: Option<Instant>,
}

impl Known {
    fn expires(&self) -> Instant {
        let for_deadline = self.ask.time_left.saturating_sub(self.ask.work);
        self.since + for_deadline.min(self.ask.max_wait)
    }
}

#[derive(Clone, Debug, Default)]
pub struct Upstream {
    pub held: Vec<Known>,
    pub queued: Vec<Known>,
    /// Turn of each organisation that has asks in the queue; the lowest is next.
    turns: BTreeMap<(Urgency, u32), u64>,
    next_turn: u64,
    /// Outcomes of all asks, true for those granted.
    outcomes: Vec<(Urgency, bool)>,
    was_starved_turn: bool,
    /// Times for which slots were held.
    holds: Vec<f64>,
    /// Latest number of requests without a slot, and when it last changed.
    others: Option<(u32, Instant)>,
}

impl Upstream {
    fn is_starved(&self, urgency: Urgency) -> bool {
        let rate = |outcomes: &mut dyn Iterator<Item = bool>| {
            let mut rate = None;
            for outcome in outcomes {
                let value = f64::from(u8::from(outcome));
                let rate = rate.get_or_insert(value);
                *rate += (value - *rate) * 0.02;
            }
            rate
        };
        let of_urgency = self.outcomes.iter().filter(|(of, _)| *of == urgency);
        let own = rate(&mut of_urgency.map(|(_, outcome)| *outcome));
        let all = rate(&mut self.outcomes.iter().map(|(_, outcome)| *outcome));
        own.zip(all).is_some_and(|(own, all)| own < all * 0.3)
    }

    fn insert(&mut self, known: Known) {
        let turn = (known.ask.urgency, known.ask.organisation);
        if !self.turns.contains_key(&turn) {
            self.turns.insert(turn, self.next_turn);
            self.next_turn += 1;
        }
        self.queued.push(known);
    }

    fn remove(&mut self, name: &Name) -> Option<Known> {
        let index = self.queued.iter().position(|known| known.name == *name)?;
        let removed = self.queued.remove(index);
        let turn = (removed.ask.urgency, removed.ask.organisation);
        if !self.queued.iter().any(|k| (k.ask.urgency, k.ask.organisation) == turn) {
            self.turns.remove(&turn);
        }
        Some(removed)
    }

    /// Removes and returns the next ask.
    fn take_next(&mut self) -> Option<Known> {
        let mut urgencies: Vec<Urgency> = self.queued.iter().map(|k| k.ask.urgency).collect();
        urgencies.sort();
        let first = *urgencies.first()?;
        let starved = match self.was_starved_turn {
            true => None,
            false => urgencies.iter().copied().find(|urgency| self.is_starved(*urgency)),
        };
        self.was_starved_turn = starved.is_some();
        let urgency = starved.unwrap_or(first);
        let of_urgency = self.turns.iter().filter(|((of, _), _)| *of == urgency);
        let (_, organisation) = *of_urgency.min_by_key(|(_, turn)| **turn)?.0;
        let is_next = |k: &&Known| k.ask.urgency == urgency && k.ask.organisation == organisation;
        let name = self.queued.iter().find(is_next)?.name.clone();
        let taken = self.remove(&name)?;
        if let Some(turn) = self.turns.get_mut(&(urgency, organisation)) {
            *turn = self.next_turn;
            self.next_turn += 1;
        }
        Some(taken)
    }

    fn order(&self) -> Vec<Known> {
        let mut copy = self.clone();
        std::iter::from_fn(|| copy.take_next()).collect()
    }

    fn has_room(&mut self, room: Room, now: Instant) -> bool {
        self.at_upstream(room, now) < f64::from(room.slots) + 1.0
    }

    /// Returns the held slots and the requests without one that are probably still in flight, which fade
    /// with the time for which slots are held.
    pub fn at_upstream(&mut self, room: Room, now: Instant) -> f64 {
        let known = self.others.filter(|(others, _)| *others == room.others);
        let (others, since) = *self.others.insert(known.unwrap_or((room.others, now)));
        let age = (now - since).as_secs_f64();
        let left = self.mean_hold().map_or(1.0, |mean| (-age / mean.max(f64::EPSILON)).exp());
        self.held.len() as f64 + (f64::from(others) * left).round()
    }

    fn mean_hold(&self) -> Option<f64> {
        let mut holds = self.holds.iter();
        let first = holds.next()?;
        Some(holds.fold(*first, |mean, hold| mean + (hold - mean) * 0.1))
    }

    /// Returns the expected interval between two requests that the upstream starts.
    fn interval(&self, slots: u32, work: Duration) -> f64 {
        match self.mean_hold() {
            None => work.as_secs_f64() / f64::from(slots),
            Some(mean) => mean / f64::from(slots + 1),
        }
    }

    fn grant(&mut self, known: Known, now: Instant) -> (Name, Fate) {
        self.outcomes.push((known.ask.urgency, true));
        let name = known.name.clone();
        self.held.push(Known { granted_at: Some(now), ..known });
        (name, Fate::Granted)
    }

    fn refuse(&mut self, name: &Name) -> Option<(Name, Fate)> {
        let known = self.remove(name)?;
        self.outcomes.push((known.ask.urgency, false));
        Some((known.name, Fate::Refused))
    }

    /// Refuses expired asks and grants those for which there is room.
    pub fn advance(&mut self, room: Option<Room>, now: Instant) -> Vec<(Name, Fate)> {
        let Some(room) = room else { return Vec::new() };
        let expired = self.order().into_iter().filter(|known| now >= known.expires());
        let mut fates: Vec<(Name, Fate)> =
            expired.filter_map(|known| self.refuse(&known.name)).collect();
        while self.has_room(room, now) {
            let Some(next) = self.take_next() else { break };
            fates.push(self.grant(next, now));
        }
        fates
    }

    pub fn ask(&mut self, known: Known, room: Option<Room>, now: Instant) -> Vec<(Name, Fate)> {
        let name = known.name.clone();
        let Some(room) = room else { return vec![(name, Fate::Declined)] };
        let mut fates = self.advance(Some(room), now);
        if self.has_room(room, now) {
            fates.push(self.grant(known, now));
            return fates;
        }
        let interval = self.interval(room.slots, known.ask.work);
        let urgency = known.ask.urgency;
        let mut with_it = self.clone();
        with_it.insert(known.clone());
        let (mut kept, mut is_behind) = (0, false);
        let mut displaced = Vec::new();
        for other in with_it.order() {
            let wait = interval * (f64::from(kept) + 2.0);
            let total = (now - other.since).as_secs_f64() + wait;
            let max_wait = other.ask.max_wait.as_secs_f64();
            let is_new = other.name == name;
            let is_late = total > max_wait * if is_new { 1.0 } else { 1.5 }
                || total + other.ask.work.as_secs_f64() > other.ask.time_left.as_secs_f64();
            if ((is_new || is_behind) && is_late) || kept as usize == MAX_LENGTH {
                if is_new {
                    self.outcomes.push((urgency, false));
                    fates.push((name, Fate::Refused));
                    return fates;
                }
                displaced.push(other.name);
            } else {
                kept += 1;
                is_behind |= is_new;
            }
        }
        self.insert(known);
        fates.push((name, Fate::Queued));
        fates.extend(displaced.iter().filter_map(|name| self.refuse(name)));
        fates
    }
}

/// All upstreams of an owner.
#[derive(Clone, Debug, Default)]
pub struct Owner {
    pub upstreams: BTreeMap<Key, Upstream>,
}

impl Owner {
    /// Returns the upstream at which an ask is held or queued, and removes it there.
    pub fn release(&mut self, name: &Name, now: Instant) -> Option<Key> {
        self.upstreams.iter_mut().find_map(|(key, upstream)| {
            let Some(index) = upstream.held.iter().position(|known| known.name == *name) else {
                return upstream.remove(name).map(|_| *key);
            };
            let granted_at = upstream.held.remove(index).granted_at;
            upstream.holds.extend(granted_at.map(|at| (now - at).as_secs_f64()));
            Some(*key)
        })
    }

    pub fn tick(
        &mut self,
        is_alive: impl Fn(&id::Node) -> bool,
        room: impl Fn(Key) -> Option<Room>,
        now: Instant,
    ) -> Vec<(Name, Fate)> {
        let mut fates = Vec::new();
        for (key, upstream) in &mut self.upstreams {
            upstream.held.retain(|known| {
                let ends = known.since + known.ask.time_left + Duration::from_millis(250);
                now < ends && is_alive(&known.name.0)
            });
            if upstream.queued.is_empty() {
                continue;
            }
            if let Some(room) = room(*key) {
                let dead = upstream.order().into_iter().filter(|known| !is_alive(&known.name.0));
                fates.extend(dead.filter_map(|known| upstream.refuse(&known.name)));
                fates.extend(upstream.advance(Some(room), now));
            } else {
                let declined = upstream.order().into_iter();
                fates.extend(declined.filter_map(|known| {
                    let known = upstream.remove(&known.name)?;
                    Some((known.name, Fate::Declined))
                }));
            }
        }
        fates
    }
}
