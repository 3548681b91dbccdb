//! Members: the nodes that are known, and when each was last heard of.
//!
//! Nodes of the own region pass signs of life of each other on, and a silent one is suspected. For a
//! node of another region its region's table speaks, so that the traffic of a node does not grow
//! with the fleet; it is passed over for a while when it fails to answer.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;
use model::table;

use crate::ownership::heartbeat;

/// Silence after which a node gets no new work.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Silence after which a node may be taken off its region's table.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Silence after which another region counts as lost. Its summary is made every second and takes
/// some heartbeats to come.
pub const LOST_AFTER: Duration = Duration::from_secs(6);

/// Time for which a node of another region is passed over after it failed to answer.
const FAR_PAUSE: Duration = Duration::from_secs(5);

/// Silence after which a node is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// The nodes that are known.
#[derive(Debug)]
pub struct Members {
    own: id::Region,
    known: collections::BTreeMap<id::Node, Known>,
    listed: collections::BTreeMap<id::Region, collections::BTreeSet<member::Key>>,
    signs: collections::BTreeMap<id::Region, Instant>,
}

/// One known node.
#[derive(Clone, Debug)]
pub struct Known {
    /// As it last described itself.
    pub member: heartbeat::Member,
    /// When it was last heard of here.
    pub heard: Instant,
    /// When its description last changed here, its heartbeats' number aside.
    pub changed: Instant,
    /// When it last failed to answer; none once it was heard of again.
    pub failed: Option<Instant>,
    /// Whether it stands in another region, and whether that region's table lists it.
    far: Option<bool>,
}

impl Known {
    /// Returns whether it may be given work.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.heard);
        match (self.far, self.failed) {
            (None, failed) => failed.is_none() && silent < SUSPECT_AFTER,
            (Some(is_listed), None) => is_listed,
            (Some(is_listed), Some(at)) => {
                is_listed && now.saturating_duration_since(at) >= FAR_PAUSE
            }
        }
    }

    /// Returns whether it was silent for so long that it may be taken off its table.
    #[must_use]
    pub fn is_dead(&self, now: Instant) -> bool {
        let is_listed = self.far.unwrap_or(false);
        !is_listed && now.saturating_duration_since(self.heard) >= DEAD_AFTER
    }
}

impl Members {
    /// Makes the members that a node of the region `own` knows when it starts.
    #[must_use]
    pub fn new(own: id::Region) -> Self {
        Self {
            own,
            known: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            signs: collections::BTreeMap::new(),
        }
    }

    /// Takes in another region's table.
    pub fn list(&mut self, table: &table::Table) {
        if table.region == self.own {
            return;
        }
        let keys = table.listed.iter().map(|listed| listed.key.clone()).collect();
        self.listed.insert(table.region.clone(), keys);
        let of_region = self.known.values_mut().filter(|k| k.member.region == table.region);
        for known in of_region {
            known.far = Some(table.find(&known.member.key).is_some());
        }
    }

    /// Notes a sign of life of a whole region.
    pub fn sign(&mut self, region: &id::Region, now: Instant) {
        self.signs.insert(region.clone(), now);
    }

    /// Takes in a description; returns whether it was news.
    pub fn hear(&mut self, member: &heartbeat::Member, now: Instant) -> bool {
        match self.known.get(&member.key.node) {
            Some(known) if !is_newer(member, known, now) => false,
            before => {
                let kept = before.filter(|known| is_same(&known.member, member));
                let changed = kept.map_or(now, |known| known.changed);
                let far = self.far(member);
                let known =
                    Known { member: member.clone(), heard: now, changed, failed: None, far };
                self.known.insert(member.key.node.clone(), known);
                true
            }
        }
    }

    /// Takes in a sign of life of a member whose description is known.
    pub fn liveness(&mut self, liveness: &heartbeat::Liveness, now: Instant) {
        match self.known.get_mut(&liveness.key.node) {
            Some(known)
                if known.member.key == liveness.key
                    && liveness.sequence > known.member.sequence =>
            {
                known.member.sequence = liveness.sequence;
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
    ) -> (Vec<heartbeat::Member>, Vec<heartbeat::Liveness>) {
        let is_after = |at: Instant| since.is_none_or(|since| at > since);
        let is_newer = |k: &&Known| is_after(k.changed) || (k.far.is_none() && is_after(k.heard));
        let mut fresh: Vec<&Known> = self.known.values().filter(is_newer).collect();
        fresh.sort_by_key(|k| std::cmp::Reverse(k.heard));
        fresh.truncate(most);
        let (changed, alive): (Vec<_>, Vec<_>) =
            fresh.into_iter().partition(|k| is_after(k.changed));
        let liveness = |k: &Known| heartbeat::Liveness {
            key: k.member.key.clone(),
            sequence: k.member.sequence,
        };
        (
            changed.iter().map(|k| k.member.clone()).collect(),
            alive.into_iter().map(liveness).collect(),
        )
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
    pub fn incarnation(&self, key: &member::Key) -> Option<&Known> {
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

    /// Returns whether another region has given no sign of life for long.
    #[must_use]
    pub fn is_lost(&self, region: &id::Region, now: Instant) -> bool {
        let sign = self.signs.get(region);
        *region != self.own
            && sign.is_some_and(|at| now.saturating_duration_since(*at) >= LOST_AFTER)
    }

    /// Forgets nodes that were silent for long.
    pub fn forget(&mut self, now: Instant) {
        let is_recent = |k: &Known| now.saturating_duration_since(k.heard) < FORGET_AFTER;
        self.known.retain(|_, k| k.far == Some(true) || is_recent(k));
    }

    /// Returns whether a node stands in another region, and whether that region's table lists it. A
    /// region whose table is not known yet is given the benefit of the doubt.
    fn far(&self, member: &heartbeat::Member) -> Option<bool> {
        match member.region == self.own {
            true => None,
            false => {
                let listed = self.listed.get(&member.region);
                Some(listed.is_none_or(|listed| listed.contains(&member.key)))
            }
        }
    }
}

/// Returns whether two descriptions say the same, the number of their heartbeats aside.
fn is_same(before: &heartbeat::Member, after: &heartbeat::Member) -> bool {
    let before = heartbeat::Member { sequence: after.sequence, ..before.clone() };
    before == *after
}

/// Returns whether `member` says more than what is known.
///
/// Incarnations grow with the time of day, which may have gone back; so a silent node's name may
/// also be taken over by a smaller one.
fn is_newer(member: &heartbeat::Member, known: &Known, now: Instant) -> bool {
    let (new, old) = (&member.key.incarnation, &known.member.key.incarnation);
    match new.cmp(old) {
        std::cmp::Ordering::Equal => member.sequence > known.member.sequence,
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Less => known.is_dead(now),
    }
}
