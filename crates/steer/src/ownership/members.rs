//! Members: the nodes that are known, and when each was last seen.
//!
//! Nodes of one region forward each other's liveness counters, and a silent node is suspected. Nodes of
//! other regions count as alive while their region's table lists them, so that the traffic of a node
//! does not grow with the fleet (docs/DECISIONS.md); one that fails to answer gets no work for a while.
//!
//! Owns the descriptions and the times. Relies on [`heartbeat`] for what nodes describe.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;
use model::table;

use crate::ownership::heartbeat;

/// Silence after which a node gets no new work. Not measured; five heartbeats.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Silence after which a node may be taken off its region's table. Not measured; twice the suspicion.
pub const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Silence after which another region counts as lost.
///
/// Not measured; its summary is made every second and takes some heartbeats to arrive.
pub const LOST_AFTER: Duration = Duration::from_secs(6);

/// Time for which a node of another region gets no work after it failed to answer. Not measured.
const REMOTE_PAUSE: Duration = Duration::from_secs(5);

/// Silence after which a node is forgotten. Not measured; it bounds memory only.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// The nodes that are known.
#[derive(Debug)]
pub struct Members {
    own: id::Region,
    known: collections::BTreeMap<id::Node, Known>,
    listed: collections::BTreeMap<id::Region, collections::BTreeSet<member::Key>>,
    regions_seen: collections::BTreeMap<id::Region, Instant>,
}

/// One known node.
#[derive(Clone, Debug)]
pub struct Known {
    /// As it last described itself.
    pub member: heartbeat::Member,
    /// When its liveness last advanced here.
    pub last_seen: Instant,
    /// When its description last changed here, its sequence aside.
    pub changed: Instant,
    /// When it last failed to answer; none once it was seen again.
    pub failed: Option<Instant>,
    location: Location,
}

/// Where a node stands, as seen from this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Location {
    /// In this node's region.
    Local,
    /// In another region, whose table lists it or not.
    Remote { is_listed: bool },
}

impl Known {
    /// Returns whether it may be given work.
    #[must_use]
    pub fn is_alive(&self, now: Instant) -> bool {
        let silent = now.saturating_duration_since(self.last_seen);
        match (self.location, self.failed) {
            (Location::Local, failed) => failed.is_none() && silent < SUSPECT_AFTER,
            (Location::Remote { is_listed }, None) => is_listed,
            (Location::Remote { is_listed }, Some(at)) => {
                is_listed && now.saturating_duration_since(at) >= REMOTE_PAUSE
            }
        }
    }

    /// Returns whether it was silent for so long that it may be taken off its table.
    #[must_use]
    pub fn is_dead(&self, now: Instant) -> bool {
        let is_listed = self.location == Location::Remote { is_listed: true };
        !is_listed && now.saturating_duration_since(self.last_seen) >= DEAD_AFTER
    }
}

/// What changed since a peer was last updated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Members whose descriptions changed.
    pub members: Vec<heartbeat::Member>,
    /// Local members whose liveness advanced and nothing else.
    pub liveness: Vec<heartbeat::Liveness>,
}

impl Members {
    /// Makes the members that a node of the region `own` knows when it starts.
    #[must_use]
    pub fn new(own: id::Region) -> Self {
        Self {
            own,
            known: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            regions_seen: collections::BTreeMap::new(),
        }
    }

    /// Applies another region's table.
    pub fn apply_table(&mut self, table: &table::Table) {
        if table.region == self.own {
            return;
        }
        let keys = table.listed.iter().map(|listed| listed.key.clone()).collect();
        self.listed.insert(table.region.clone(), keys);
        let of_region = self.known.values_mut().filter(|k| k.member.region == table.region);
        for known in of_region {
            let is_listed = table.find(&known.member.key).is_some();
            known.location = Location::Remote { is_listed };
        }
    }

    /// Records that a node or the summary of a region was seen.
    pub fn record_region(&mut self, region: &id::Region, now: Instant) {
        self.regions_seen.insert(region.clone(), now);
    }

    /// Records a description; one that is not newer than the known one is dropped.
    pub fn record(&mut self, member: &heartbeat::Member, now: Instant) {
        match self.known.get(&member.key.node) {
            Some(known) if !is_newer(member, known, now) => {}
            before => {
                let kept = before.filter(|known| is_same(&known.member, member));
                let changed = kept.map_or(now, |known| known.changed);
                let location = self.location(member);
                let known = Known {
                    member: member.clone(),
                    last_seen: now,
                    changed,
                    failed: None,
                    location,
                };
                self.known.insert(member.key.node.clone(), known);
            }
        }
    }

    /// Records a liveness counter of a member whose description is known.
    pub fn record_liveness(&mut self, liveness: &heartbeat::Liveness, now: Instant) {
        match self.known.get_mut(&liveness.key.node) {
            Some(known)
                if known.member.key == liveness.key
                    && liveness.sequence > known.member.sequence =>
            {
                known.member.sequence = liveness.sequence;
                known.last_seen = now;
                known.failed = None;
            }
            _ => {}
        }
    }

    /// Returns the latest `most` changes since `since`, or since ever.
    #[must_use]
    pub fn changes(&self, since: Option<Instant>, most: usize) -> Changes {
        let is_after = |at: Instant| since.is_none_or(|since| at > since);
        let is_newer = |k: &&Known| {
            is_after(k.changed) || (k.location == Location::Local && is_after(k.last_seen))
        };
        let mut fresh: Vec<&Known> = self.known.values().filter(is_newer).collect();
        fresh.sort_by_key(|k| std::cmp::Reverse(k.last_seen));
        fresh.truncate(most);
        let (changed, alive): (Vec<_>, Vec<_>) =
            fresh.into_iter().partition(|k| is_after(k.changed));
        let liveness = |k: &Known| heartbeat::Liveness {
            key: k.member.key.clone(),
            sequence: k.member.sequence,
        };
        Changes {
            members: changed.into_iter().map(|k| k.member.clone()).collect(),
            liveness: alive.into_iter().map(liveness).collect(),
        }
    }

    /// Records that a node did not answer.
    pub fn record_failure(&mut self, node: &id::Node, now: Instant) {
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

    /// Returns whether another region has been silent for [`LOST_AFTER`].
    #[must_use]
    pub fn is_lost(&self, region: &id::Region, now: Instant) -> bool {
        let seen = self.regions_seen.get(region);
        *region != self.own
            && seen.is_some_and(|at| now.saturating_duration_since(*at) >= LOST_AFTER)
    }

    /// Forgets nodes that were silent for `FORGET_AFTER` and are not listed elsewhere.
    pub fn forget(&mut self, now: Instant) {
        let is_recent = |k: &Known| now.saturating_duration_since(k.last_seen) < FORGET_AFTER;
        self.known
            .retain(|_, k| k.location == Location::Remote { is_listed: true } || is_recent(k));
    }

    /// Returns where a node stands. Nodes of a region whose table is not known yet count as listed.
    fn location(&self, member: &heartbeat::Member) -> Location {
        match member.region == self.own {
            true => Location::Local,
            false => {
                let listed = self.listed.get(&member.region);
                let is_listed = listed.is_none_or(|listed| listed.contains(&member.key));
                Location::Remote { is_listed }
            }
        }
    }
}

/// Returns whether two descriptions are equal, their sequences aside.
fn is_same(before: &heartbeat::Member, after: &heartbeat::Member) -> bool {
    let before = heartbeat::Member { sequence: after.sequence, ..before.clone() };
    before == *after
}

/// Returns whether `member` is newer than what is known.
///
/// Incarnations grow with the time of day, which may have gone back; so a dead node's name may also be
/// taken over by a smaller one.
fn is_newer(member: &heartbeat::Member, known: &Known, now: Instant) -> bool {
    let (new, old) = (&member.key.incarnation, &known.member.key.incarnation);
    match new.cmp(old) {
        std::cmp::Ordering::Equal => member.sequence > known.member.sequence,
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Less => known.is_dead(now),
    }
}
