//! Watchers: the nodes of a region that watch the store; the others learn changes from them.
//!
//! So the store's calls grow with regions and not with nodes. Called before each watch; a node becomes a
//! watcher as soon as too few nodes before it reach the store.

use model::id;

/// Watchers of a region.
///
/// Measured: docs/measurements/platform.md, row "three watchers a region" (scores as before; the commit
/// was for the 2563 calls in docs/CAPACITY.md with every node watching). Other counts were not measured.
const PER_REGION: usize = 3;

/// Returns whether `me` watches the store.
///
/// `reaching` are the living nodes of its region, but `me`, that reach the store and do not leave.
pub fn contains<'a>(me: &id::Node, reaching: impl Iterator<Item = &'a id::Node>) -> bool {
    reaching.filter(|node| *node < me).count() < PER_REGION
}
