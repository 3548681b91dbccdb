//! Watchers: the nodes of a region that watch the store; the others learn changes from them.
//!
//! So the store's calls grow with regions and not with nodes. Called before each watch; a node becomes a
//! watcher as soon as too few nodes before it reach the store. A node reports that it reaches the store only while
//! it watches and the store answers, so a report is no older than [`store_call::watch`] and the answer's time.

use std::time::Duration;

use model::id;

use crate::dispatch::fleet::store_call;

/// Watchers of a region.
///
/// Measured: docs/incidents/drain-home.md, row "two watchers a region" (calls of a standard day 26 % fewer than with three,
/// the same rules kept); with one, a region would learn nothing itself while that one is dead and not known to
/// be. Other counts were not measured.
const PER_REGION: usize = 2;

/// Time in which changes gather before the next watch of a region's first watcher, since calls are priced.
///
/// Not measured alone (docs/measurements/hundreds.md, row "few calls to the store", has it with other changes). By its period, half of
/// the calls of 150 ms while entries come and go; a tenth of a second more passes until a change is known.
const FIRST_GATHERS: Duration = Duration::from_millis(250);

/// The same for any other watcher, which is there in case the first is not.
const OTHERS_GATHER: Duration = Duration::from_millis(400);

/// Part of a watch's time that the first watch after a change takes, of any watcher but the first.
///
/// Measured: docs/incidents/drain-home.md, row "the second watcher's watch after a change is half as long"; less than half,
/// since it gathers changes for longer.
const OTHERS_PART: f64 = 0.35;

/// Time after its start before a node watches the store; other nodes' heartbeats arrive within it.
///
/// Not measured alone, as [`FIRST_GATHERS`]; without it each node that starts takes itself
/// for the first, and its watches end with each entry that others write. Below the time on which any bound on a node
/// that has just started counts.
const SETTLE: Duration = Duration::from_millis(1_000);

/// Longest such time, as a share of `Bounds::contact`. Not measured; leaves time for a call and its answer.
const LONGEST_SETTLE: f64 = 0.6;

/// Most time beyond [`SETTLE`], drawn, so that nodes that start together do not begin to watch together.
const SETTLE_SPREAD: Duration = Duration::from_millis(1_500);

/// Returns how long after its start a node waits before it watches. `draw` is a uniform number from 0 to 1.
///
/// Not at all where no seed says that there are others.
#[must_use]
pub fn settle(contact: Duration, has_seeds: bool, draw: f64) -> Duration {
    if !has_seeds {
        return Duration::ZERO;
    }
    // A node is in touch once `contact` has passed, and then must have had an answer.
    let longest = contact.mul_f64(LONGEST_SETTLE);
    (SETTLE + SETTLE_SPREAD.mul_f64(draw)).min(longest)
}

/// Time by which each further node of a region waits longer before it reads everything in a new era of the store: while no node
/// reached the store, more of them tried than watch, and what one has read the others take from it within this time.
const READ_TURN: Duration = Duration::from_millis(250);

/// Longest such time, so that a node follows the store soon where those before it do not reach it.
const LONGEST_READ_TURN: Duration = Duration::from_millis(1_000);

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
        if self.0 == 0 { 1.0 } else { OTHERS_PART }
    }

    /// Returns the time in which changes gather before the next watch.
    #[must_use]
    pub fn gather(self) -> Duration {
        if self.0 == 0 { FIRST_GATHERS } else { OTHERS_GATHER }
    }
}

/// Returns the place of `me` among the watchers of the store; none when it does not watch.
///
/// `reaching` are the living nodes of its region, but `me`, that reach the store and do not leave.
pub fn place<'a>(me: &id::Node, reaching: impl Iterator<Item = &'a id::Node>) -> Option<Place> {
    let before = count_before(me, reaching);
    (before < PER_REGION).then_some(Place(before))
}

/// Returns how long `me` waits before it reads everything in a new era of the store, so that another node may be first.
///
/// `others` are the living nodes of its region, but `me`, that do not leave.
pub fn read_turn<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> Duration {
    let later = count_before(me, others).saturating_sub(PER_REGION - 1);
    let turns = u32::try_from(later).unwrap_or(u32::MAX);
    READ_TURN.saturating_mul(turns).min(LONGEST_READ_TURN)
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
