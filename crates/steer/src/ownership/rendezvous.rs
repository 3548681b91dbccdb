//! Rendezvous hashing: ranks the nodes that share the slots of an upstream.
//!
//! Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): the score of a
//! node is a hash of its name and the upstream's, and the nodes with the highest scores are ranked. A
//! node that joins or leaves affects only the upstreams it is ranked for. All nodes must use the same
//! hash function.

use model::member;
use xxhash_rust::xxh3;

use model::upstream;

/// Number of nodes that hold a share of an upstream's slots: two of them may fail at once, and three
/// slots still divide into shares of one or two.
pub const RANKS: usize = 3;

/// Returns the nodes that hold shares of `upstream`, the owner first.
#[must_use]
pub fn rank<'a>(
    upstream: &upstream::Key,
    nodes: impl Iterator<Item = &'a member::Key>,
) -> Vec<&'a member::Key> {
    let seed = xxh3::xxh3_64_with_seed(
        upstream.upstream.as_str().as_bytes(),
        xxh3::xxh3_64(upstream.service.as_str().as_bytes()),
    );
    let mut ranked: Vec<(u64, &member::Key)> = Vec::with_capacity(RANKS + 1);
    for key in nodes {
        let score = xxh3::xxh3_64_with_seed(key.node.as_str().as_bytes(), seed);
        let at = ranked.partition_point(|(s, k)| (*s, *k) > (score, key));
        if at < RANKS {
            ranked.insert(at, (score, key));
            ranked.truncate(RANKS);
        }
    }
    ranked.into_iter().map(|(_, key)| key).collect()
}
