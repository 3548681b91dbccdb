//! Watchers: the nodes of a region that watch the store; the others learn changes from them.
//!
//! So the store's calls grow with regions and not with nodes. Called before each watch; a node becomes a
//! watcher as soon as too few nodes before it reach the store. A node reports that it reaches the store only while
//! it watches and the store answers, so a report is no older than [`store_call::watch`] and the answer's time.

use model::id;

use crate::dispatch::fleet::store_call;

/// Watchers of a region.
///
/// Measured: docs/incidents/drain-home.md, row "two watchers a region" (calls of a standard day 26 % fewer than with three,
/// the same rules kept); with one, a region would learn nothing itself while that one is dead and not known to
/// be. Other counts were not measured.
const PER_REGION: usize = 2;

/// Returns whether `me` watches the store.
///
/// `reaching` are the living nodes of its region, but `me`, that reach the store and do not leave.
pub fn contains<'a>(me: &id::Node, reaching: impl Iterator<Item = &'a id::Node>) -> bool {
    is_among_first(me, reaching)
}

/// Returns whether `me` is among the first to watch the store while no node reaches it.
///
/// `others` are the living nodes of its region, but `me`, that do not leave.
pub fn turn<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> store_call::Turn {
    match is_among_first(me, others) {
        true => store_call::Turn::First,
        false => store_call::Turn::Later,
    }
}

fn is_among_first<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> bool {
    others.filter(|node| *node < me).count() < PER_REGION
}
