//! Rendezvous hashing: which nodes are owners of an upstream, in order.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): every node
//! gets a score from a hash of both names, and the highest scores win. A node that joins or leaves
//! moves only the upstreams it is ranked for.
//!
//! Owns the number of ranks. Relies on one hash function that all nodes share.

use model::member;
use xxhash_rust::xxh3;

use model::upstream;

/// Nodes that hold a share of an upstream's slots. Not measured; two may fail at once, and a share of
/// three slots is one or two.
pub const RANKS: usize = 3;

/// Returns the nodes that hold shares of `upstream`, the owner first.
#[must_use]
pub fn top<'a>(
    upstream: &upstream::Key,
    nodes: impl Iterator<Item = &'a member::Key>,
) -> Vec<&'a member::Key> {
    let seed = xxh3::xxh3_64_with_seed(
        upstream.upstream.as_str().as_bytes(),
        xxh3::xxh3_64(upstream.service.as_str().as_bytes()),
    );
    let mut best: Vec<(u64, &member::Key)> = Vec::with_capacity(RANKS + 1);
    for key in nodes {
        let score = xxh3::xxh3_64_with_seed(key.node.as_str().as_bytes(), seed);
        let at = best.partition_point(|(s, k)| (*s, *k) > (score, key));
        if at < RANKS {
            best.insert(at, (score, key));
            best.truncate(RANKS);
        }
    }
    best.into_iter().map(|(_, key)| key).collect()
}
