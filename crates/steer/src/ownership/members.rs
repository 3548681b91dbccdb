//! Members: the known nodes and the failure detector.
//!
//! Nodes of one region forward each other's liveness counters, and suspect a node whose counter does not
//! advance. Nodes of other regions count as alive while their region's table lists them, so that a node's
//! traffic does not grow with the fleet (docs/DECISIONS.md). One that fails to answer gets no requests
//! for `REMOTE_PAUSE`.

use std::collections;
use std::time::{Duration, Instant};

use model::id;
use model::member;
use model::table;

use crate::ownership::heartbeat;

/// Silence after which a node gets no new requests: five heartbeats.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(2_500);

/// Silence after which a node may be removed from its region's table: twice [`SUSPECT_AFTER`].
pub const DEAD_AFTER: Duration = Duration::from_secs(5);

/// Silence after which another region counts as lost. Its summary is made every second and takes several
/// heartbeats to arrive.
pub const LOST_AFTER: Duration = Duration::from_secs(6);

/// Time for which a node of another region gets no requests after it failed to answer.
const REMOTE_PAUSE: Duration = Duration::from_secs(5);

/// Silence after which a node is removed; only bounds memory.
const FORGET_AFTER: Duration = Duration::from_secs(120);

/// The known nodes and the tables of other regions.
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
    /// Its latest description of itself.
    pub member: heartbeat::Member,
    /// When this node last received a newer description or liveness counter.
    pub last_seen: Instant,
    /// When its description last changed, apart from its sequence number.
    pub changed: Instant,
    /// When it last failed to answer; `None` once it was seen again.
    pub failed: Option<Instant>,
    location: Location,
}

/// The location of a node, relative to this one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Location {
    /// In this node's region.
    Local,
    /// In another region.
    Remote { is_listed: bool },
}

impl Known {
    /// Returns whether it may get requests.
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

    /// Returns whether it was silent for so long that it may be removed from its table.
    #[must_use]
    pub fn is_dead(&self, now: Instant) -> bool {
        let is_listed = self.location == Location::Remote { is_listed: true };
        !is_listed && now.saturating_duration_since(self.last_seen) >= DEAD_AFTER
    }
}

/// The changes since a peer was last updated.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Changes {
    /// Members whose descriptions changed.
    pub members: Vec<heartbeat::Member>,
    /// Local members of which only the liveness counter advanced.
    pub liveness: Vec<heartbeat::Liveness>,
}

impl Members {
    /// Creates the empty set of members, for a node of the region `own`.
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

    /// Records a description if it is newer than the known one.
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

    /// Records a liveness counter if the member's description is known and the counter is newer.
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

    /// Returns the latest `most` changes after `since`, or of all if it is `None`.
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

    /// Returns a node by name.
    #[must_use]
    pub fn get(&self, node: &id::Node) -> Option<&Known> {
        self.known.get(node)
    }

    /// Returns a node if the incarnation in `key` is the known one.
    #[must_use]
    pub fn incarnation(&self, key: &member::Key) -> Option<&Known> {
        self.known.get(&key.node).filter(|k| k.member.key == *key)
    }

    /// Returns all known nodes, by name.
    pub fn iter(&self) -> impl Iterator<Item = &Known> {
        self.known.values()
    }

    /// Returns the nodes that may get requests.
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

    /// Removes nodes that were silent for `FORGET_AFTER` and are not listed in another region's table.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |k: &Known| now.saturating_duration_since(k.last_seen) < FORGET_AFTER;
        self.known
            .retain(|_, k| k.location == Location::Remote { is_listed: true } || is_recent(k));
    }

    /// Returns the location of a node. Nodes of a region whose table is not known yet count as listed.
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

/// Returns whether two descriptions are equal apart from their sequence numbers.
fn is_same(before: &heartbeat::Member, after: &heartbeat::Member) -> bool {
    let before = heartbeat::Member { sequence: after.sequence, ..before.clone() };
    before == *after
}

/// Returns whether `member` is newer than the known description.
///
/// Incarnations are derived from the wall-clock time, which may have been set back. A lower incarnation is
/// therefore accepted if the known one is dead.
fn is_newer(member: &heartbeat::Member, known: &Known, now: Instant) -> bool {
    let (new, old) = (&member.key.incarnation, &known.member.key.incarnation);
    match new.cmp(old) {
        std::cmp::Ordering::Equal => member.sequence > known.member.sequence,
        std::cmp::Ordering::Greater => true,
        std::cmp::Ordering::Less => known.is_dead(now),
    }
}
