//! Look-up: which nodes a caller may use, and for how long it may cache the answer.
//!
//! Stateless. The serving nodes come from the members, limited to the [`active_set`] of each
//! region. The nodes listed in the store are the fallback when no live node of a route's home
//! regions is known.
//!
//! [`active_set`]: crate::dispatch::fleet::active_set

use std::net;
use std::time::Duration;

use model::bounds;
use model::id;

use crate::dispatch::fleet::active_set;

/// Maximum time for which callers may cache an answer; short, so that callers soon stop using a
/// node that leaves.
const MAX_CACHE: Duration = Duration::from_secs(1);

/// A candidate for an answer.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    /// The region of the node.
    pub region: &'a id::Region,
    /// The address at which the node accepts callers.
    pub callers: net::SocketAddr,
    /// The capacity and load that the node reports about itself.
    pub report: active_set::Node<'a>,
}

/// Returns the addresses for a caller in `region` that looks up a host whose home regions are
/// `homes`.
///
/// The first non-empty group is returned: serving nodes of the caller's region, serving nodes of
/// the home regions, nodes of the home regions listed in the store, all serving nodes.
pub fn addresses<'a>(
    region: &id::Region,
    homes: &[id::Region],
    serving: &[Node<'_>],
    listed: impl Iterator<Item = Node<'a>>,
) -> Vec<net::SocketAddr> {
    let near = in_regions(serving.iter().copied(), std::slice::from_ref(region));
    if !near.is_empty() {
        return near;
    }
    let home = in_regions(serving.iter().copied(), homes);
    if !home.is_empty() {
        return home;
    }
    let listed_home = in_regions(listed, homes);
    if !listed_home.is_empty() {
        return listed_home;
    }
    addresses_of(serving.to_vec())
}

/// Returns the time for which callers may cache an answer.
#[must_use]
pub fn cache(bounds: &bounds::Bounds) -> Duration {
    bounds.lookup_cache.min(MAX_CACHE)
}

fn in_regions<'a>(
    nodes: impl Iterator<Item = Node<'a>>,
    regions: &[id::Region],
) -> Vec<net::SocketAddr> {
    addresses_of(nodes.filter(|node| regions.contains(node.region)).collect())
}

fn addresses_of(nodes: Vec<Node<'_>>) -> Vec<net::SocketAddr> {
    let active = active_set::select(nodes, |node| node.report);
    active.into_iter().map(|node| node.callers).collect()
}
