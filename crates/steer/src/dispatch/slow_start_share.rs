//! Slow start share: rate limit for an upstream that may be cold without this node's knowledge.
//!
//! A node whose copy of the store may be outdated cannot tell which upstreams are cold. The [`room`] of
//! each upstream is divided among a few nodes of its region and a few of the other regions, by
//! rendezvous hashing over the nodes that the copy lists. The upstream's limit then holds for any set of
//! such nodes, without messages between them.

use std::collections;

use model::bounds;
use model::id;

use crate::dispatch::position;
use crate::dispatch::slow_start;
use crate::dispatch::slow_start_owner;

/// Part of the room that is used; the rest is for requests that are longer on their way than others.
const USED_SHARE: f64 = 0.9;

/// Part of the room that the nodes of the upstream's region get, from 0 to 1.
///
/// More than half, since most requests of a region are served there.
const NEAR_PART: f64 = 0.6;

/// Upstreams of a service at which a node has a share, on average; most nodes then have one.
const SHARES_PER_NODE: usize = 2;

/// Minimum share, in requests per second; with a smaller one the node could send nothing at times.
const MIN_SHARE: f64 = 1.5;

/// Returns the requests per second that all nodes with outdated copies may send to one upstream.
///
/// `cold_rate` is the rate of the upstream's service, in requests per second. The rest of the upstream's limit
/// is for its owner, which sends what it may while the upstream is cold.
#[must_use]
pub fn room(cold_rate: f64, bounds: &bounds::Bounds) -> f64 {
    let bound = cold_rate * bounds.cold_overage + bounds.cold_slack;
    let owner = slow_start::Allowance::of_owner(cold_rate).per_second();
    ((bound - owner) * USED_SHARE).max(0.0)
}

/// The nodes among which the room of upstreams is divided.
#[derive(Clone, Copy, Debug)]
pub struct Nodes<'a> {
    /// The node for which shares are determined.
    pub own: &'a position::Position,
    /// The other nodes of all regions in the node's copy of the store.
    pub listed: &'a collections::BTreeMap<id::Region, Vec<id::Node>>,
}

impl Nodes<'_> {
    /// Returns how many nodes there are.
    #[must_use]
    pub fn count(&self) -> usize {
        self.listed.values().map(Vec::len).sum::<usize>() + 1
    }

    /// Returns whether the node belongs to `region`.
    fn is_near(&self, region: &id::Region) -> bool {
        *region == self.own.region
    }

    /// Iterates over the other nodes of `region`, or of all other regions.
    fn others(&self, region: &id::Region, near: bool) -> impl Iterator<Item = &id::Node> {
        let regions = self.listed.iter().filter(move |(listed, _)| (*listed == region) == near);
        regions.flat_map(|(_, nodes)| nodes)
    }
}

/// This node's part of the room of one upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Share {
    /// Part of the room that is divided with the nodes of the same side, from 0 to 1.
    part: f64,
    /// Number of nodes on this side that precede this node.
    predecessors: usize,
    /// Number of nodes that the part should be divided among.
    wanted: usize,
}

impl Share {
    /// Determines the part that a node has of an upstream of `region`.
    ///
    /// `upstreams` is the number of upstreams of the same service.
    #[must_use]
    pub fn new(
        upstream: &id::Upstream,
        region: &id::Region,
        nodes: &Nodes<'_>,
        upstreams: usize,
    ) -> Self {
        let is_near = nodes.is_near(region);
        let part = match (is_near, nodes.others(region, !is_near).next()) {
            (_, None) => 1.0,
            (true, Some(_)) => NEAR_PART,
            (false, Some(_)) => 1.0 - NEAR_PART,
        };
        let others = nodes.others(region, is_near);
        let predecessors = slow_start_owner::predecessors(upstream, &nodes.own.node, others);
        let wanted = (SHARES_PER_NODE * nodes.count()).div_ceil(upstreams.max(1));
        Self { part, predecessors, wanted }
    }

    /// Returns what this node may send, given the upstream's room; `None` if nothing.
    #[must_use]
    pub fn allowance(self, room: f64) -> Option<slow_start::Allowance> {
        let room = room * self.part;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "a positive number, which a conversion limits to the type's greatest"
        )]
        let most = (room / MIN_SHARE) as usize;
        let sharing = self.wanted.min(most);
        if self.predecessors >= sharing {
            return None;
        }
        #[expect(clippy::cast_precision_loss, reason = "a few nodes")]
        let per_second = room / sharing as f64;
        let burst = (per_second / 2.0).clamp(1.0, slow_start::BURST_REQUESTS);
        Some(slow_start::Allowance { rate: per_second - burst, burst })
    }
}
