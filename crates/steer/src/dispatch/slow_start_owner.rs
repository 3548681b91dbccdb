//! Slow start owner: the one node that may send to a cold upstream.
//!
//! Owns the list of nodes. Rendezvous hashing lets nodes agree without messages. The owner is a node of
//! the upstream's region, so that only the nodes of one region need to agree; where a region has no node,
//! the listed nodes of all regions share its upstreams.

use std::collections;

use model::id;
use xxhash_rust::xxh3;

/// The nodes among which cold upstreams are shared out.
#[derive(Clone, Debug, Default)]
pub struct Owners {
    /// Living nodes of this node's region, itself included.
    pub near: Vec<id::Node>,
    /// Nodes that are listed, by region.
    pub listed: collections::BTreeMap<id::Region, Vec<id::Node>>,
}

impl Owners {
    /// Returns the owner of cold `upstream` of `region`, as a node of region `own` sees it.
    ///
    /// None when the owner is a node of another region.
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
    let seed = xxh3::xxh3_64(upstream.as_str().as_bytes());
    nodes.max_by_key(|node| xxh3::xxh3_64_with_seed(node.as_str().as_bytes(), seed))
}
