//! Members: the nodes that are known, and when each was last heard of.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::seat;

use crate::beat;

/// Silence after which a node gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Silence after which a node may be taken off its region's table.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Silence after which a node is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// The nodes that are known.
#[derive(Debug, Default)]
pub struct Members {
    known: collections::BTreeMap<id::Node, Known>,
}

/// One known node.
#[derive(Clone, Debug)]
pub struct Known {
    /// As it last described itself.
    pub member: beat::Member,
    /// When it was last heard of here.
    pub heard: Instant,
    /// When its description last changed here, its beats' number aside.
    pub changed: Instant,
    /// When it last failed to answer; none once it was heard of again.
    pub failed: Option<Instant>,
}

impl Known {
    /// Returns whether it may be given work.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        self.failed.is_none() && now.saturating_duration_since(self.heard) < SUSPECT_AFTER
    }

    /// Returns whether it was silent for so long that it may be taken off its table.
    #[must_use]
    pub fn is_dead(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= DEAD_AFTER
    }
}

impl Members {
    /// Takes in a description; returns whether it was news.
    pub fn hear(&mut self, member: &beat::Member, now: Instant) -> bool {
        match self.known.get(&member.key.node) {
            Some(known) if !is_newer(member, known, now) => false,
            before => {
                let kept = before.filter(|known| is_same(&known.member, member));
                let changed = kept.map_or(now, |known| known.changed);
                let known = Known { member: member.clone(), heard: now, changed, failed: None };
                self.known.insert(member.key.node.clone(), known);
                true
            }
        }
    }

    /// Takes in a sign of life of a member whose description is known.
    pub fn pulse(&mut self, pulse: &beat::Pulse, now: Instant) {
        match self.known.get_mut(&pulse.key.node) {
            Some(known)
                if known.member.key == pulse.key && pulse.sequence > known.member.sequence =>
            {
                known.member.sequence = pulse.sequence;
                known.heard = now;
                known.failed = None;
            }
            _ => {}
        }
    }

    /// Returns the latest news since `since`: descriptions that changed, and signs of life.
    #[must_use]
    pub fn news(
        &self,
        since: Option<Instant>,
        most: usize,
    ) -> (Vec<beat::Member>, Vec<beat::Pulse>) {
        let is_after = |at: Instant| since.is_none_or(|since| at > since);
        let mut fresh: Vec<&Known> = self.known.values().filter(|k| is_after(k.heard)).collect();
        fresh.sort_by_key(|k| std::cmp::Reverse(k.heard));
        fresh.truncate(most);
        let (changed, alive): (Vec<_>, Vec<_>) =
            fresh.into_iter().partition(|k| is_after(k.changed));
        let pulse =
            |k: &Known| beat::Pulse { key: k.member.key.clone(), sequence: k.member.sequence };
        (changed.iter().map(|k| k.member.clone()).collect(), alive.into_iter().map(pulse).collect())
    }

    /// Notes that a node did not answer.
    pub fn fail(&mut self, node: &id::Node, now: Instant) {
        if let Some(known) = self.known.get_mut(node) {
            known.failed = Some(now);
        }
    }

    /// Returns one node.
    #[must_use]
    pub fn get(&self, node: &id::Node) -> Option<&Known> {
        self.known.get(node)
    }

    /// Returns one incarnation, when it is the known one.
    #[must_use]
    pub fn incarnation(&self, key: &seat::Key) -> Option<&Known> {
        self.known.get(&key.node).filter(|k| k.member.key == *key)
    }

    /// Returns all known nodes, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Returns the nodes that may be given work.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &Known> {
        self.known.values().filter(move |k| k.is_alive(now))
    }

    /// Returns whether a region's nodes are known and all of them have long been silent.
    #[must_use]
    pub fn is_lost(&self, region: &id::Region, now: Instant) -> bool {
        let mut of_region = self.known.values().filter(|k| k.member.region == *region).peekable();
        of_region.peek().is_some() && of_region.all(|k| k.is_dead(now))
    }

    /// Forgets nodes that were silent for long.
    pub fn forget(&mut self, now: Instant) {
        self.known.retain(|_, k| now.saturating_duration_since(k.heard) < FORGET_AFTER);
    }
}

/// Returns whether two descriptions say the same, the number of their beats aside.
fn is_same(before: &beat::Member, after: &beat::Member) -> bool {
    let before = beat::Member { sequence: after.sequence, ..before.clone() };
    before == *after
}

/// Returns whether `member` says more than what is known.
///
/// Incarnations grow with the time of day, which may have gone back; so a silent node's name may
/// also be taken over by a smaller one.
fn is_newer(member: &beat::Member, known: &Known, now: Instant) -> bool {
    let (new, old) = (&member.key.incarnation, &known.member.key.incarnation);
    match new.cmp(old) {
        std::cmp::Ordering::Equal => member.sequence > known.member.sequence,
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Less => known.is_dead(now),
    }
}
