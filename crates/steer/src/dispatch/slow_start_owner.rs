//! Slow start owner: the only node that may send to a cold upstream.
//!
//! Rendezvous hashing lets the nodes agree without messages. The owner is a node of the upstream's
//! region, so that only the nodes of one region need to agree. The upstreams of a region without
//! nodes are distributed over the listed nodes of all regions.

use std::collections;
use std::sync;

use model::id;
use xxhash_rust::xxh3;

/// The nodes over which cold upstreams are distributed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Owners {
    /// Live nodes of this node's region, including itself.
    pub near: Vec<id::Node>,
    /// Listed nodes, by region.
    pub listed: sync::Arc<collections::BTreeMap<id::Region, Vec<id::Node>>>,
}

impl Owners {
    /// Returns the owner of cold `upstream` in `region`, as computed by a node of region `own`.
    ///
    /// Returns `None` if the owner is a node of another region.
    #[must_use]
    pub fn of(
        &self,
        upstream: &id::Upstream,
        region: &id::Region,
        own: &id::Region,
    ) -> Option<&id::Node> {
        match self.listed.get(region) {
            _ if region == own => owner(upstream, self.near.iter()),
            Some(nodes) if !nodes.is_empty() => None,
            _ => owner(upstream, self.listed.values().flatten().chain(&self.near)),
        }
    }
}

/// Returns the owner of cold `upstream` among `nodes`, by rendezvous hashing.
pub fn owner<'a>(
    upstream: &id::Upstream,
    nodes: impl Iterator<Item = &'a id::Node>,
) -> Option<&'a id::Node> {
    let seed = seed(upstream);
    nodes.max_by_key(|node| weight(node, seed))
}

/// Returns how many of `nodes` precede `node` in the order in which they would own `upstream`.
pub fn predecessors<'a>(
    upstream: &id::Upstream,
    node: &id::Node,
    nodes: impl Iterator<Item = &'a id::Node>,
) -> usize {
    let seed = seed(upstream);
    let own = weight(node, seed);
    nodes.filter(|other| weight(other, seed) > own).count()
}

fn seed(upstream: &id::Upstream) -> u64 {
    xxh3::xxh3_64(upstream.as_str().as_bytes())
}

fn weight(node: &id::Node, seed: u64) -> u64 {
    xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed)
}
