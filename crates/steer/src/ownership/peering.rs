//! Peering: selects the nodes that get a heartbeat, so that a node's traffic does not grow with the fleet.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use model::epoch;
use model::id;

use crate::ownership::heartbeat;
use crate::ownership::members;

/// Number of nodes of this region that get a heartbeat each period, not counting grantors.
const LOCAL: usize = 2;

/// Number of nodes of other regions that get a heartbeat each period.
const REMOTE: usize = 1;

/// Minimum time between two heartbeats to a grantor: three fit into a lease's term.
const GRANTOR_PERIOD: Duration = Duration::from_millis(900);

/// Minimum time between two heartbeats to a seed address that belongs to no known node.
const SEED_PERIOD: Duration = Duration::from_secs(1);

/// Minimum time between two fetches of a configuration.
const FETCH_PERIOD: Duration = Duration::from_millis(200);

/// Number of epoch changes that are kept to look up the epoch at which a heartbeat was sent. A heartbeat is
/// answered within a second or counts as lost.
const REMEMBERED: usize = 8;

/// When each peer was last sent a heartbeat and last updated.
#[derive(Debug)]
pub struct Peering {
    seeds: Vec<net::SocketAddr>,
    sent: collections::BTreeMap<id::Node, Instant>,
    updated: collections::BTreeMap<id::Node, Instant>,
    seeds_sent: Option<Instant>,
    fetched: Option<Instant>,
    epochs: collections::VecDeque<(Instant, epoch::Epoch)>,
}

/// The destination of a heartbeat.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The address it listens on for peers.
    pub address: net::SocketAddr,
    /// The node expected there; `None` for a seed.
    pub node: Option<id::Node>,
}

impl Peering {
    /// Creates the state of a node that knows only the seeds; its own address is not used as a seed.
    #[must_use]
    pub fn new(mut seeds: Vec<net::SocketAddr>, own: net::SocketAddr) -> Self {
        seeds.retain(|seed| *seed != own);
        Self {
            seeds,
            sent: collections::BTreeMap::new(),
            updated: collections::BTreeMap::new(),
            seeds_sent: None,
            fetched: None,
            epochs: collections::VecDeque::new(),
        }
    }

    /// Returns the nodes that get a heartbeat at `now`, and records that it is sent.
    pub fn targets(
        &mut self,
        me: &heartbeat::Member,
        members: &members::Members,
        grantors: &[id::Node],
        now: Instant,
    ) -> Vec<Target> {
        self.record_epoch(me.epoch, now);
        let others = members.iter().filter(|k| k.member.key.node != me.key.node);
        let mut others: Vec<&heartbeat::Member> =
            others.filter(|k| !k.is_dead(now)).map(|k| &k.member).collect();
        others.sort_by_key(|m| self.sent.get(&m.key.node).copied());
        let is_local = |m: &&&heartbeat::Member| m.region == me.region;
        let local = others.iter().filter(is_local).take(LOCAL);
        let remote = others.iter().filter(|m| !is_local(m)).take(REMOTE);
        let due =
            others.iter().filter(|m| grantors.contains(&m.key.node) && self.is_grantor_due(m, now));
        let mut chosen: collections::BTreeMap<id::Node, net::SocketAddr> =
            local.chain(remote).chain(due).map(|m| (m.key.node.clone(), m.peers)).collect();
        let known: Vec<net::SocketAddr> = others.iter().map(|m| m.peers).collect();
        let seeds = self.due_seeds(&known, now);
        for node in chosen.keys() {
            self.sent.insert(node.clone(), now);
        }
        let nodes = std::mem::take(&mut chosen).into_iter();
        let nodes = nodes.map(|(node, address)| Target { address, node: Some(node) });
        nodes.chain(seeds.into_iter().map(|address| Target { address, node: None })).collect()
    }

    /// Records that the node is updated at `now`; returns when it was last updated before.
    pub fn mark_updated(&mut self, node: &id::Node, now: Instant) -> Option<Instant> {
        self.updated.insert(node.clone(), now)
    }

    /// Returns whether a configuration may be fetched at `now`, and if so records the fetch.
    pub fn may_fetch(&mut self, now: Instant) -> bool {
        let recent = |at: Instant| now.saturating_duration_since(at) < FETCH_PERIOD;
        match self.fetched.is_some_and(recent) {
            true => false,
            false => {
                self.fetched = Some(now);
                true
            }
        }
    }

    /// Returns this node's epoch when a heartbeat was sent.
    #[must_use]
    pub fn epoch_at(&self, sent: Instant) -> epoch::Epoch {
        let before = self.epochs.iter().rev().find(|(at, _)| *at <= sent);
        before.map_or(epoch::Epoch(0), |(_, epoch)| *epoch)
    }

    fn record_epoch(&mut self, epoch: epoch::Epoch, now: Instant) {
        if self.epochs.back().map(|(_, e)| *e) == Some(epoch) {
            return;
        }
        self.epochs.push_back((now, epoch));
        while self.epochs.len() > REMEMBERED {
            self.epochs.pop_front();
        }
    }

    fn is_grantor_due(&self, member: &heartbeat::Member, now: Instant) -> bool {
        let sent = self.sent.get(&member.key.node);
        sent.is_none_or(|at| now.saturating_duration_since(*at) >= GRANTOR_PERIOD)
    }

    /// Returns the seeds that are not addresses of known nodes, if it is time to try them again.
    fn due_seeds(&mut self, known: &[net::SocketAddr], now: Instant) -> Vec<net::SocketAddr> {
        let recent = |at: Instant| now.saturating_duration_since(at) < SEED_PERIOD;
        if self.seeds_sent.is_some_and(recent) {
            return Vec::new();
        }
        self.seeds_sent = Some(now);
        self.seeds.iter().filter(|seed| !known.contains(seed)).copied().collect()
    }
}
