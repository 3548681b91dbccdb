//! Members: the other nodes of the fleet that this node knows, and which of them are alive.
//!
//! Owns the latest heartbeat of each node and the nodes that the store lists. Relies on
//! [`steer::dispatch::fleet`] for periods, for when a node counts as dead, and for the representatives of a
//! region. The tasks that send and receive heartbeats and load reports use it; it performs no I/O.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use platform::store::position;
use steer::dispatch::fleet::active_set;
use steer::dispatch::fleet::freshness;
use steer::dispatch::fleet::gossip;
use steer::dispatch::fleet::lookup;
use steer::dispatch::fleet::representatives;

use crate::gateway::member;

/// A node and the time of its latest heartbeat.
#[derive(Clone, Debug)]
struct Known {
    member: member::Member,
    received: Instant,
    /// Whether that heartbeat may have been sent long before, and waited while this process was paused.
    is_buffered: bool,
}

/// A node registered in the store, alive or not.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Listed {
    /// Region of the node.
    pub region: id::Region,
    /// Address for callers.
    pub callers: net::SocketAddr,
    /// Address for other nodes.
    pub peers: net::SocketAddr,
}

/// The other nodes of the fleet that this node knows.
#[derive(Clone, Debug)]
pub struct Members {
    region: id::Region,
    known: collections::BTreeMap<id::Node, Known>,
    listed: collections::BTreeMap<id::Node, Listed>,
    /// Names of the registered nodes, by region.
    listed_names: sync::Arc<collections::BTreeMap<id::Region, Vec<id::Node>>>,
    /// Number of nodes that are known or registered.
    count: usize,
    /// Number of such nodes in this node's region.
    near_count: usize,
    /// Time until which heartbeats may have waited while this process was paused.
    buffered_until: Option<Instant>,
}

impl Members {
    /// Creates the members of a node of `region` without any other node.
    #[must_use]
    pub fn new(region: id::Region) -> Self {
        Self {
            region,
            known: collections::BTreeMap::new(),
            listed: collections::BTreeMap::new(),
            listed_names: sync::Arc::default(),
            count: 0,
            near_count: 0,
            buffered_until: None,
        }
    }

    /// Records a heartbeat; returns whether the node was not alive before.
    ///
    /// A heartbeat older than the latest one is ignored.
    pub fn record(&mut self, member: member::Member, now: Instant) -> bool {
        let order = |m: &member::Member| (m.incarnation, m.sequence);
        let dead_after = self.dead_after(&member.region);
        let is_buffered = self.is_buffered(now);
        match self.known.get_mut(&member.node) {
            Some(known) if order(&known.member) >= order(&member) => false,
            Some(known) => {
                let was_alive = now.saturating_duration_since(known.received) < dead_after;
                let has_moved = known.member.region != member.region;
                *known = Known { member, received: now, is_buffered };
                if has_moved {
                    self.recount();
                }
                !was_alive
            }
            None => {
                self.insert(member, now);
                true
            }
        }
    }

    /// Adds a node that was not known.
    fn insert(&mut self, member: member::Member, now: Instant) {
        let is_near = member.region == self.region;
        let listed = self.listed.get(&member.node).map(|listed| listed.region == self.region);
        let known = Known { received: now, is_buffered: self.is_buffered(now), member };
        self.known.insert(known.member.node.clone(), known);
        match listed {
            Some(was_near) if was_near == is_near => {}
            Some(_) => self.recount(),
            None => {
                self.count += 1;
                self.near_count += usize::from(is_near);
            }
        }
    }

    /// Replaces the nodes registered in the store.
    pub fn set_listed(&mut self, listed: collections::BTreeMap<id::Node, Listed>) {
        self.listed = listed;
        let mut names: collections::BTreeMap<id::Region, Vec<id::Node>> =
            collections::BTreeMap::new();
        for (node, listed) in &self.listed {
            names.entry(listed.region.clone()).or_default().push(node.clone());
        }
        self.listed_names = sync::Arc::new(names);
        self.recount();
    }

    /// Iterates over the nodes registered in the store, each with what heartbeats show about it.
    pub fn listed(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&id::Node, &Listed, lookup::Evidence)> {
        let far = self.far_representatives(now);
        self.listed.iter().map(move |(node, listed)| {
            let of_region = far.iter().filter(|member| member.region == listed.region);
            let is_expected = listed.region == self.region
                || representatives::contains(node, of_region.map(|member| &member.node));
            (node, listed, self.evidence(node, is_expected, now))
        })
    }

    /// Returns what heartbeats show about a node; `is_expected` is whether it would send them here.
    fn evidence(&self, node: &id::Node, is_expected: bool, now: Instant) -> lookup::Evidence {
        match self.known.get(node) {
            Some(known) if self.is_alive(known, now) => lookup::Evidence::Heard,
            _ if !is_expected => lookup::Evidence::Unexpected,
            Some(_) => lookup::Evidence::Heard,
            None => lookup::Evidence::Awaited,
        }
    }

    /// Returns the names of the nodes registered in the store, by region.
    #[must_use]
    pub fn listed_names(&self) -> &sync::Arc<collections::BTreeMap<id::Region, Vec<id::Node>>> {
        &self.listed_names
    }

    /// Removes nodes without a heartbeat for [`gossip::FORGOTTEN_AFTER`].
    pub fn forget(&mut self, now: Instant) {
        let is_recent =
            |known: &Known| now.saturating_duration_since(known.received) < gossip::FORGOTTEN_AFTER;
        let before = self.known.len();
        self.known.retain(|_, known| is_recent(known));
        if self.known.len() < before {
            self.recount();
        }
    }

    /// Iterates over the live nodes.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.known.values().filter(move |known| self.is_alive(known, now)).map(|k| &k.member)
    }

    /// Iterates over the live nodes whose latest heartbeat cannot have waited during a pause of this process.
    pub fn heard(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        let alive = self.known.values().filter(move |known| self.is_alive(known, now));
        alive.filter(|known| !known.is_buffered).map(|known| &known.member)
    }

    /// Records that the process was paused from `since` until `now`: until then and shortly after, heartbeats are received
    /// that may have been sent before their nodes died.
    pub fn resume(&mut self, since: Instant, now: Instant) {
        self.buffered_until = Some(now + freshness::BUFFERED_REPORTS);
        for known in self.known.values_mut().filter(|known| known.received >= since) {
            known.is_buffered = true;
        }
    }

    fn is_buffered(&self, now: Instant) -> bool {
        self.buffered_until.is_some_and(|until| now < until)
    }

    /// Returns whether a live node of another region is known.
    #[must_use]
    pub fn has_far_contact(&self, now: Instant) -> bool {
        self.alive(now).any(|member| member.region != self.region)
    }

    /// Returns whether this node receives heartbeats from the rest of the fleet, itself or through a node of its region.
    ///
    /// A node of the previous version does not report this, and counts as one with far contact.
    #[must_use]
    pub fn contact(&self, now: Instant) -> freshness::Contact {
        let near_contact = |m: &member::Member| m.copy.is_none_or(|copy| copy.has_far_contact);
        let has_far_contact = self.has_far_contact(now) || self.near(now).any(near_contact);
        let has_far = self.listed_names.keys().any(|region| *region != self.region);
        freshness::Contact::new(has_far_contact, has_far, self.near(now).count(), self.near_count)
    }

    /// Returns until when a copy at `position` is known to be complete, by the heartbeats of the live nodes.
    #[must_use]
    pub fn complete_until(&self, position: position::Position, now: Instant) -> Option<Instant> {
        let known = self.known.values().filter(|known| self.is_alive(known, now));
        let covered = known.filter(|known| known.member.position() <= position);
        covered.filter_map(|known| known.received.checked_sub(known.member.copy?.age?)).max()
    }

    /// Iterates over the registered nodes of this region that have sent no heartbeat yet.
    pub fn unheard(&self) -> impl Iterator<Item = &id::Node> {
        let near = self.listed_names.get(&self.region).into_iter().flatten();
        near.filter(|node| !self.known.contains_key(*node))
    }

    /// Iterates over the live nodes of this node's region.
    pub fn near(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.alive(now).filter(|member| member.region == self.region)
    }

    /// Returns whether a node sent a heartbeat recently or is registered in the store.
    #[must_use]
    pub fn is_known(&self, node: &id::Node) -> bool {
        self.known.contains_key(node) || self.listed.contains_key(node)
    }

    /// Returns whether a node was alive and has stopped sending heartbeats.
    ///
    /// Most nodes of other regions send no heartbeats here, so a node without any is not counted as dead.
    #[must_use]
    pub fn is_dead(&self, node: &id::Node, now: Instant) -> bool {
        self.known.get(node).is_some_and(|known| !self.is_alive(known, now))
    }

    /// Returns the address for other nodes of a live node.
    #[must_use]
    pub fn address(&self, node: &id::Node, now: Instant) -> Option<net::SocketAddr> {
        let known = self.known.get(node).filter(|known| self.is_alive(known, now))?;
        Some(known.member.peers)
    }

    /// Returns the number of other nodes that are known or registered.
    #[must_use]
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns the number of such nodes in this node's region.
    #[must_use]
    pub fn near_count(&self) -> usize {
        self.near_count
    }

    /// Recomputes the counts; a node that is both known and registered counts once.
    fn recount(&mut self) {
        let known = self.known.values().map(|k| (&k.member.node, &k.member.region));
        let unknown = self.listed.iter().filter(|(node, _)| !self.known.contains_key(*node));
        let listed = unknown.map(|(node, listed)| (node, &listed.region));
        let (near, far): (Vec<&id::Region>, Vec<&id::Region>) = known
            .chain(listed)
            .map(|(_, region)| region)
            .partition(|region| **region == self.region);
        (self.count, self.near_count) = (near.len() + far.len(), near.len());
    }

    /// Returns the heartbeat interval.
    #[must_use]
    pub fn period(&self) -> Duration {
        gossip::heartbeat(self.near_count)
    }

    /// Returns whether `me`, this node, represents its region.
    #[must_use]
    pub fn is_representative(&self, me: &id::Node, now: Instant) -> bool {
        representatives::contains(me, self.staying(now).map(|m| &m.node))
    }

    /// Returns whether `me` is the first representative of its region.
    #[must_use]
    pub fn is_first_representative(&self, me: &id::Node, now: Instant) -> bool {
        representatives::is_first(me, self.staying(now).map(|m| &m.node))
    }

    /// Iterates over the live nodes of this region that are not leaving.
    pub fn staying(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.near(now).filter(|member| !member.is_leaving)
    }

    /// Returns the active set of this region, with `me` among the candidates.
    #[must_use]
    pub fn active<'a>(&'a self, me: &'a member::Member, now: Instant) -> Vec<&'a member::Member> {
        let serving = self.near(now).chain([me]).filter(|member| member.is_serving());
        active_set::select(serving.collect(), |member| member.said())
    }

    /// Iterates over the live representatives of this region other than this node.
    pub fn near_representatives(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.staying(now).take(representatives::PER_REGION)
    }

    /// Returns the live representatives of other regions; a leaving node does not represent its region.
    #[must_use]
    pub fn far_representatives(&self, now: Instant) -> Vec<&member::Member> {
        let far = self.alive(now).filter(|m| m.region != self.region && !m.is_leaving);
        representatives::of_regions(far.map(|m| (&m.region, m)))
    }

    /// Returns the first live representative of another region.
    #[must_use]
    pub fn first_far_representative(
        &self,
        region: &id::Region,
        now: Instant,
    ) -> Option<&member::Member> {
        self.alive(now).find(|member| member.region == *region && !member.is_leaving)
    }

    /// Returns the addresses that the `turn`-th heartbeat of `me` is sent to.
    #[must_use]
    pub fn addresses(
        &self,
        me: &id::Node,
        turn: u64,
        now: Instant,
    ) -> collections::BTreeSet<net::SocketAddr> {
        let known = self.known.values().map(|k| (&k.member.region, k.member.peers));
        let listed = self.listed.values().map(|listed| (&listed.region, listed.peers));
        let near = known.chain(listed).filter(|(region, _)| **region == self.region);
        let mut addresses: collections::BTreeSet<_> = near.map(|(_, address)| address).collect();
        if self.is_representative(me, now) {
            addresses.extend(self.far_representatives(now).iter().map(|member| member.peers));
            addresses.extend(self.contacts(turn, now));
        }
        addresses
    }

    /// Returns registered nodes of regions whose representatives are not all known; different ones at each turn.
    fn contacts(&self, turn: u64, now: Instant) -> Vec<net::SocketAddr> {
        let regions: collections::BTreeSet<&id::Region> =
            self.listed.values().map(|listed| &listed.region).collect();
        let far = regions.into_iter().filter(|region| **region != self.region);
        far.flat_map(|region| self.contacts_in(region, turn, now)).collect()
    }

    fn contacts_in(&self, region: &id::Region, turn: u64, now: Instant) -> Vec<net::SocketAddr> {
        let alive: collections::BTreeSet<&id::Node> =
            self.alive(now).filter(|m| m.region == *region).map(|m| &m.node).collect();
        let silent: Vec<net::SocketAddr> = self
            .listed
            .iter()
            .filter(|(node, listed)| listed.region == *region && !alive.contains(node))
            .map(|(_, listed)| listed.peers)
            .collect();
        representatives::contacts(alive.len(), &silent, turn)
    }

    fn is_alive(&self, known: &Known, now: Instant) -> bool {
        let dead_after = self.dead_after(&known.member.region);
        now.saturating_duration_since(known.received) < dead_after
    }

    /// Returns the time without a heartbeat after which a node of `region` counts as dead.
    fn dead_after(&self, region: &id::Region) -> Duration {
        match *region == self.region {
            true => gossip::near_dead_after(self.near_count),
            false => gossip::far_dead_after(),
        }
    }
}
