//! Active set: the nodes of a region that look-ups return; the others are on standby.
//!
//! Concentrating requests on few nodes keeps their cost low: connections to upstreams are reused,
//! load reports go to fewer nodes, and each node has seen more of the objects. A large region
//! therefore returns its nodes with the highest capacity, and more of them as the request rate
//! grows. Every node computes the set from its own list of members, so nodes with the same list
//! get the same set without coordination. Look-ups return the set, load reports are sent to it,
//! and cold upstreams are assigned to owners within it. Correctness does not depend on nodes
//! agreeing on the set: any node serves any request.

use std::cmp;

use model::id;
use xxhash_rust::xxh3;

/// Minimum size of the set; a region with at most this many nodes returns all of them.
///
/// Large enough to survive the loss of several nodes at once, and for the regions of deployments
/// with a dozen VMs to return all of their nodes.
const MIN_NODES: usize = 9;

/// Maximum size of the set: no caller uses more addresses from one answer.
const MAX_NODES: usize = 64;

/// Minimum share of the region's capacity in the set, so that it absorbs a burst before the request
/// rates reported by the nodes reflect it.
const MIN_CAPACITY_SHARE: f64 = 0.33;

/// Requests per second that one core is assumed to handle.
///
/// The busiest gateway of a full day used 0.044 of a core, control traffic included, far below this
/// limit.
const REQUESTS_PER_CORE: f64 = 800.0;

/// Capacity assumed for a node that reports none, in thousandths of a core.
const DEFAULT_CAPACITY: u32 = 1_000;

/// The capacity and load that a node reports about itself.
#[derive(Clone, Copy, Debug)]
pub struct Node<'a> {
    /// The ID of the node.
    pub name: &'a id::Node,
    /// CPU capacity in thousandths of a core; 0 when not reported.
    pub capacity: u32,
    /// Requests per second that the node handles.
    pub requests: u32,
}

impl Node<'_> {
    fn cores(&self) -> f64 {
        let capacity = if self.capacity == 0 { DEFAULT_CAPACITY } else { self.capacity };
        f64::from(capacity) / 1_000.0
    }

    /// Sort key: highest capacity first, ties broken by a hash of the ID so that the order
    /// interleaves halls. Equal keys are ordered by ID.
    fn sort_key(&self) -> (cmp::Reverse<u32>, u64) {
        let hash = xxh3::xxh3_64(self.name.as_str().as_bytes());
        let capacity = if self.capacity == 0 { DEFAULT_CAPACITY } else { self.capacity };
        (cmp::Reverse(capacity), hash)
    }
}

/// Returns the active set of a region, given its serving `nodes`.
///
/// `report` returns what a node reports about itself.
pub fn select<T>(nodes: Vec<T>, report: impl Fn(&T) -> Node<'_>) -> Vec<T> {
    if nodes.len() <= MIN_NODES {
        return nodes;
    }
    let mut keyed: Vec<_> =
        nodes.into_iter().map(|node| (report(&node).sort_key(), node)).collect();
    keyed.sort_by(|(a, x), (b, y)| a.cmp(b).then_with(|| report(x).name.cmp(report(y).name)));
    let mut nodes: Vec<T> = keyed.into_iter().map(|(_, node)| node).collect();
    let count = active_count(&nodes.iter().map(report).collect::<Vec<_>>());
    nodes.truncate(count);
    nodes
}

/// Returns the size of the smallest prefix of `sorted` that can handle the region's requests.
///
/// Callers spread requests evenly, so the node with the lowest capacity in the prefix is the limit.
fn active_count(sorted: &[Node<'_>]) -> usize {
    let total_cores: f64 = sorted.iter().map(Node::cores).sum();
    let requests: f64 = sorted.iter().map(|node| f64::from(node.requests)).sum();
    let mut cores = 0.0;
    for (index, weakest) in sorted.iter().enumerate() {
        cores += weakest.cores();
        let count = index + 1;
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let requests_per_node = requests / count as f64;
        let is_sufficient = requests_per_node <= weakest.cores() * REQUESTS_PER_CORE;
        if count >= MIN_NODES && cores >= total_cores * MIN_CAPACITY_SHARE && is_sufficient {
            return count.min(MAX_NODES);
        }
    }
    sorted.len().min(MAX_NODES)
}
