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

/// Place of a watcher among those of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place(usize);

impl Place {
    /// Returns the part of a watch's time that the first watch after a change takes, from 0 to 1.
    ///
    /// The parts differ, so that watches which began together after a change do not end together. Of those
    /// that a store no longer answers, one is noticed half a watch earlier, and a node that is still
    /// served takes over: within the bound on leaving upstreams of 2 s in place of 0.1 s after it (process
    /// test with three nodes). It costs one call at most for each change that is followed by a calm time.
    #[must_use]
    pub fn part_of_watch(self) -> f64 {
        #[expect(clippy::cast_precision_loss, reason = "a handful of watchers")]
        let (place, watchers) = (self.0 as f64, PER_REGION as f64);
        1.0 - place / watchers
    }
}

/// Returns the place of `me` among the watchers of the store; none when it does not watch.
///
/// `reaching` are the living nodes of its region, but `me`, that reach the store and do not leave.
pub fn place<'a>(me: &id::Node, reaching: impl Iterator<Item = &'a id::Node>) -> Option<Place> {
    let before = count_before(me, reaching);
    (before < PER_REGION).then_some(Place(before))
}

/// Returns whether `me` is among the first to watch the store while no node reaches it.
///
/// `others` are the living nodes of its region, but `me`, that do not leave.
pub fn turn<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> store_call::Turn {
    match count_before(me, others) < PER_REGION {
        true => store_call::Turn::First,
        false => store_call::Turn::Later,
    }
}

fn count_before<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> usize {
    others.filter(|node| *node < me).count()
}
