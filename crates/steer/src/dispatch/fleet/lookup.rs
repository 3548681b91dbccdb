//! Look-up: which nodes a caller may use, and for how long it may cache the answer.
//!
//! Stateless. The serving nodes come from the members, limited to the [`active_set`] of each
//! region. What heartbeats show about a node goes before its entry in the store, whose lease outlives
//! a killed node by up to 12 s. The store's entries are used for nodes that send no heartbeats
//! here, and where no serving node is known.
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

/// What heartbeats show about a node that is registered in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// Heartbeats of the node arrive, or arrived before and have ceased.
    Heard,
    /// None has arrived, although it would send them here.
    Awaited,
    /// Nothing: it is no representative of its region, so it sends none here.
    Unexpected,
}

/// A node that is registered in the store.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// The node, as its entry describes it.
    pub node: Node<'a>,
    /// What heartbeats show about it.
    pub evidence: Evidence,
}

/// Returns the addresses for a caller in `region` that looks up a host whose home regions are
/// `homes`.
///
/// Nodes that can connect to the host's services come first: those of the caller's region, then
/// those of the home regions or, if there are none, of all regions. If there is no such node, the
/// first non-empty group of these is returned: serving nodes of the caller's region, serving nodes
/// of the home regions, listed nodes of the home regions that may live, all serving nodes. A node
/// elsewhere would take the request out of its home regions, so it is named only if all listed nodes
/// there are known to be dead. `listed` is only called for a group that needs it.
pub fn addresses<'a>(
    region: &id::Region,
    homes: &[id::Region],
    serving: &[Node<'_>],
    listed: impl Fn() -> Vec<Listed<'a>>,
) -> Vec<net::SocketAddr> {
    let reaching: Vec<Node<'_>> = serving.iter().filter(|n| n.reaches_services).copied().collect();
    let own = std::slice::from_ref(region);
    let groups: [&dyn Fn() -> Vec<net::SocketAddr>; 8] = [
        &|| in_regions(&reaching, own),
        &|| in_regions(&reaching, homes),
        &|| {
            if homes.is_empty() { of_other_regions(region, &reaching, &listed) } else { Vec::new() }
        },
        &|| in_regions(serving, own),
        &|| in_regions(serving, homes),
        &|| in_regions(&unheard(&listed()), homes),
        &|| addresses_of(reaching.clone()),
        &|| addresses_of(serving.to_vec()),
    ];
    groups.iter().map(|group| group()).find(|found| !found.is_empty()).unwrap_or_default()
}

/// Returns the time for which callers may cache an answer.
#[must_use]
pub fn cache(bounds: &bounds::Bounds) -> Duration {
    bounds.lookup_cache.min(MAX_CACHE)
}

fn in_regions(nodes: &[Node<'_>], regions: &[id::Region]) -> Vec<net::SocketAddr> {
    addresses_of(nodes.iter().filter(|node| regions.contains(node.region)).copied().collect())
}

/// Returns the nodes of the regions in which a node can connect to the services.
///
/// A node knows only the representatives of other regions by their heartbeats. The other nodes there,
/// which the store lists, are named too, so that the representatives do not serve all callers of a
/// region. They follow the known ones, since some of them may be dead and callers use a limited
/// number of addresses.
fn of_other_regions<'a>(
    region: &id::Region,
    reaching: &[Node<'_>],
    listed: impl Fn() -> Vec<Listed<'a>>,
) -> Vec<net::SocketAddr> {
    let known = addresses_of(reaching.to_vec());
    if known.is_empty() {
        return known;
    }
    let has_reaching = |of: &id::Region| reaching.iter().any(|node| node.region == of);
    let is_unexpected = |listed: &Listed<'_>| listed.evidence == Evidence::Unexpected;
    let others = listed().into_iter().filter(is_unexpected).map(|listed| listed.node);
    let others = others.filter(|node| node.region != region && has_reaching(node.region));
    known.into_iter().chain(addresses_of(others.collect())).collect()
}

/// Returns the listed nodes of which nothing is known by heartbeats.
fn unheard<'a>(listed: &[Listed<'a>]) -> Vec<Node<'a>> {
    let unheard = listed.iter().filter(|listed| listed.evidence != Evidence::Heard);
    unheard.map(|listed| listed.node).collect()
}

fn addresses_of(nodes: Vec<Node<'_>>) -> Vec<net::SocketAddr> {
    let active = active_set::select(nodes, |node| node.report);
    active.into_iter().map(|node| node.callers).collect()
}
