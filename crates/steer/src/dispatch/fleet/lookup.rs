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
    /// Whether the node can connect to all services of the host, as far as is known.
    pub reaches_services: bool,
}

/// Returns the addresses for a caller in `region` that looks up a host whose home regions are
/// `homes`.
///
/// Nodes that can connect to the host's services come first: those of the caller's region, then
/// those of the home regions or, if there are none, of all regions. If there is no such node, the
/// first non-empty group of these is returned: serving nodes of the caller's region, serving nodes
/// of the home regions, nodes of the home regions listed in the store, all serving nodes.
pub fn addresses<'a>(
    region: &id::Region,
    homes: &[id::Region],
    serving: &[Node<'_>],
    listed: impl Iterator<Item = Node<'a>>,
) -> Vec<net::SocketAddr> {
    let listed: Vec<Node<'_>> = listed.collect();
    let reaching: Vec<Node<'_>> = serving.iter().filter(|n| n.reaches_services).copied().collect();
    let own = std::slice::from_ref(region);
    let groups: [&dyn Fn() -> Vec<net::SocketAddr>; 7] = [
        &|| in_regions(reaching.iter().copied(), own),
        &|| in_regions(reaching.iter().copied(), homes),
        &|| {
            if homes.is_empty() { of_other_regions(region, &reaching, &listed) } else { Vec::new() }
        },
        &|| in_regions(serving.iter().copied(), own),
        &|| in_regions(serving.iter().copied(), homes),
        &|| in_regions(listed.iter().copied(), homes),
        &|| addresses_of(serving.to_vec()),
    ];
    groups.iter().map(|group| group()).find(|found| !found.is_empty()).unwrap_or_default()
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

/// Returns the nodes of the regions in which a node can connect to the services.
///
/// A node knows only the representatives of other regions by their heartbeats. The other nodes there,
/// which the store lists, are named too, so that the representatives do not serve all callers of a
/// region.
fn of_other_regions(
    region: &id::Region,
    reaching: &[Node<'_>],
    listed: &[Node<'_>],
) -> Vec<net::SocketAddr> {
    let has_reaching = |of: &id::Region| reaching.iter().any(|node| node.region == of);
    let listed = listed.iter().filter(|n| n.region != region && has_reaching(n.region));
    let is_known = |node: &&Node<'_>| reaching.iter().any(|known| known.callers == node.callers);
    let unknown = listed.filter(|node| !is_known(node));
    addresses_of(reaching.iter().chain(unknown).copied().collect())
}

fn addresses_of(nodes: Vec<Node<'_>>) -> Vec<net::SocketAddr> {
    let active = active_set::select(nodes, |node| node.report);
    active.into_iter().map(|node| node.callers).collect()
}
