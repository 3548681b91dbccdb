//! Which nodes there are, which of them are alive, and which of them this node tells of itself.
//!
//! Nodes of one region tell each other. Between regions only a few nodes of each do, its speakers, so
//! that what a node sends and receives grows with its region and not with the fleet.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use model::id;

use crate::gateway::member;

/// Nodes of a region that tell those of other regions.
pub const SPEAKERS: usize = 6;

/// Shortest time between two heartbeats.
const SHORTEST_PERIOD: Duration = Duration::from_millis(500);

/// Longest time between two heartbeats.
const LONGEST_PERIOD: Duration = Duration::from_secs(1);

/// Time between two heartbeats for each node of the region, so that what a node receives is bounded.
const PERIOD_A_NODE: Duration = Duration::from_millis(10);

/// Heartbeats without which a node counts as dead.
const MISSED: f64 = 3.2;

/// Silence after which a node that is in no list is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// A node, and when it was last heard.
#[derive(Clone, Debug)]
struct Known {
    member: member::Member,
    heard: Instant,
}

/// A node that the store lists, alive or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Its region.
    pub region: id::Region,
    /// Its address for callers.
    pub callers: net::SocketAddr,
    /// Its address for peers.
    pub peers: net::SocketAddr,
}

/// The nodes of the fleet as this node knows them, itself left out.
#[derive(Clone, Debug)]
pub struct Members {
    region: id::Region,
    heard: collections::BTreeMap<id::Node, Known>,
    listed: collections::BTreeMap<id::Node, Listed>,
    near_count: usize,
}

impl Members {
    /// Makes the members as a node of `region` knows them that has heard nobody yet.
    #[must_use]
    pub fn new(region: id::Region) -> Self {
        Self {
            region,
            heard: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            near_count: 0,
        }
    }

    /// Notes a heartbeat; returns whether the node was not alive before.
    ///
    /// A heartbeat that is older than the last one heard is passed over.
    pub fn hear(&mut self, member: member::Member, now: Instant) -> bool {
        let before = self.heard.get(&member.node);
        let order = |m: &member::Member| (m.incarnation, m.sequence);
        if before.is_some_and(|known| order(&known.member) >= order(&member)) {
            return false;
        }
        let was_alive = before.is_some_and(|known| self.is_alive(known, now));
        self.heard.insert(member.node.clone(), Known { member, heard: now });
        if !was_alive {
            self.near_count = self.count_near();
        }
        !was_alive
    }

    /// Takes the nodes that the store lists.
    pub fn set_listed(&mut self, listed: collections::BTreeMap<id::Node, Listed>) {
        self.listed = listed;
        self.near_count = self.count_near();
    }

    /// Returns the nodes that the store lists.
    pub fn listed(&self) -> impl Iterator<Item = (&id::Node, &Listed)> {
        self.listed.iter()
    }

    /// Forgets nodes that have long been silent.
    pub fn forget(&mut self, now: Instant) {
        let is_recent =
            |known: &Known| now.saturating_duration_since(known.heard) < FORGOTTEN_AFTER;
        self.heard.retain(|_, known| is_recent(known));
        self.near_count = self.count_near();
    }

    /// Returns the living nodes.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.heard.values().filter(move |known| self.is_alive(known, now)).map(|k| &k.member)
    }

    /// Returns the living nodes of this node's region.
    pub fn near(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.alive(now).filter(|member| member.region == self.region)
    }

    /// Returns how many other nodes there are, living or listed.
    #[must_use]
    pub fn count(&self) -> usize {
        let names: collections::BTreeSet<&id::Node> =
            self.heard.keys().chain(self.listed.keys()).collect();
        names.len()
    }

    /// Returns how many other nodes of this node's region there are, living or listed.
    #[must_use]
    pub fn near_count(&self) -> usize {
        self.near_count
    }

    fn count_near(&self) -> usize {
        let heard = self.heard.values().map(|k| (&k.member.node, &k.member.region));
        let listed = self.listed.iter().map(|(node, listed)| (node, &listed.region));
        let near = heard.chain(listed).filter(|(_, region)| **region == self.region);
        near.map(|(node, _)| node).collect::<collections::BTreeSet<_>>().len()
    }

    /// Returns the time between two heartbeats.
    #[must_use]
    pub fn period(&self) -> Duration {
        let nodes = u32::try_from(self.near_count()).unwrap_or(u32::MAX);
        PERIOD_A_NODE.saturating_mul(nodes).clamp(SHORTEST_PERIOD, LONGEST_PERIOD)
    }

    /// Returns whether `me`, this node, tells nodes of other regions.
    #[must_use]
    pub fn is_speaker(&self, me: &id::Node, now: Instant) -> bool {
        self.near(now).filter(|m| !m.is_leaving && m.node < *me).count() < SPEAKERS
    }

    /// Returns whether `me` is the first of its region's speakers.
    #[must_use]
    pub fn is_first_speaker(&self, me: &id::Node, now: Instant) -> bool {
        !self.near(now).any(|m| !m.is_leaving && m.node < *me)
    }

    /// Returns the living speakers of other regions.
    #[must_use]
    pub fn far_speakers(&self, now: Instant) -> Vec<&member::Member> {
        let mut by_region: collections::BTreeMap<&id::Region, Vec<&member::Member>> =
            collections::BTreeMap::new();
        for member in self.alive(now).filter(|m| m.region != self.region) {
            let of_region = by_region.entry(&member.region).or_default();
            if of_region.len() < SPEAKERS {
                of_region.push(member);
            }
        }
        by_region.into_values().flatten().collect()
    }

    /// Returns the addresses to send the `turn`-th heartbeat of `me` to.
    #[must_use]
    pub fn addresses(
        &self,
        me: &id::Node,
        turn: u64,
        now: Instant,
    ) -> collections::BTreeSet<net::SocketAddr> {
        let heard = self.heard.values().map(|k| (&k.member.region, k.member.peers));
        let listed = self.listed.values().map(|listed| (&listed.region, listed.peers));
        let near = heard.chain(listed).filter(|(region, _)| **region == self.region);
        let mut addresses: collections::BTreeSet<_> = near.map(|(_, address)| address).collect();
        if self.is_speaker(me, now) {
            addresses.extend(self.far_speakers(now).iter().map(|member| member.peers));
            addresses.extend(self.unheard(turn, now));
        }
        addresses
    }

    /// Returns listed nodes of regions whose speakers are not all known, others at each turn.
    fn unheard(&self, turn: u64, now: Instant) -> Vec<net::SocketAddr> {
        let mut addresses = Vec::new();
        let regions: collections::BTreeSet<&id::Region> =
            self.listed.values().map(|listed| &listed.region).collect();
        for region in regions.into_iter().filter(|region| **region != self.region) {
            let alive: collections::BTreeSet<&id::Node> =
                self.alive(now).filter(|m| m.region == *region).map(|m| &m.node).collect();
            let missing = SPEAKERS.saturating_sub(alive.len());
            let silent: Vec<net::SocketAddr> = self
                .listed
                .iter()
                .filter(|(node, listed)| listed.region == *region && !alive.contains(node))
                .map(|(_, listed)| listed.peers)
                .collect();
            let start = usize::try_from(turn).unwrap_or(0).wrapping_mul(missing);
            let turned = (0..missing.min(silent.len())).map(|i| start.wrapping_add(i));
            addresses.extend(turned.map(|index| silent[index % silent.len()]));
        }
        addresses
    }

    fn is_alive(&self, known: &Known, now: Instant) -> bool {
        let period = match known.member.region == self.region {
            true => self.period(),
            false => LONGEST_PERIOD,
        };
        now.saturating_duration_since(known.heard) < period.mul_f64(MISSED)
    }
}
