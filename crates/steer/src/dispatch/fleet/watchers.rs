//! Watchers: the nodes of a region that watch the store; the others receive changes from them.
//!
//! The number of store calls therefore grows with the number of regions, not of nodes. The choice
//! is made before each watch: a node becomes a watcher as soon as too few nodes with smaller IDs
//! reach the store. A node reports that it reaches the store only while it watches and the store
//! answers, so a report is no older than [`store_call::watch`] plus the time for the answer.

use std::time::Duration;

use model::id;

use crate::dispatch::fleet::store_call;

/// Number of watchers per region.
///
/// Two need fewer calls than three and meet the same bounds. With one, a region would receive no
/// changes from the store itself while that watcher is dead but not yet detected as such.
const PER_REGION: usize = 2;

/// Delay of the first watcher between a change and its next watch; batches changes, because calls
/// are billed.
///
/// Estimated from its length, this delay halves the calls of a 150 ms delay while entries come and
/// go; it delays changes by another 0.1 s.
const FIRST_BATCH_DELAY: Duration = Duration::from_millis(250);

/// The same delay for any other watcher, which is a standby for the first.
const OTHERS_BATCH_DELAY: Duration = Duration::from_millis(400);

/// Duration of the first watch after a change of any watcher but the first, as a share of the usual
/// duration.
///
/// Less than half, because the batch delay of these watchers is longer.
const OTHERS_WATCH_SHARE: f64 = 0.35;

/// Minimum delay between the start of a node and its first watch; heartbeats of other nodes arrive
/// within it.
///
/// Without it, every starting node considers itself the first, and its watches end with each entry
/// that others write. Shorter than the time after which bounds apply to a node that has just
/// started.
const MIN_SETTLE: Duration = Duration::from_millis(1_000);

/// Maximum delay, as a share of [`store_call::bound`]; leaves time for a call and its answer.
const MAX_SETTLE_SHARE: f64 = 0.6;

/// Maximum random addition to [`MIN_SETTLE`], so that nodes that start at the same time do not
/// start to watch at the same time.
const SETTLE_SPREAD: Duration = Duration::from_millis(1_500);

/// Returns how long a node waits after its start before it watches the store. `draw` is a uniform
/// random number from 0 to 1.
///
/// Zero without seeds, which means that there are no other nodes.
#[must_use]
pub fn settle(bound: Duration, has_seeds: bool, draw: f64) -> Duration {
    if !has_seeds {
        return Duration::ZERO;
    }
    // The node must have had an answer from the store once `Bounds::contact` has passed.
    let longest = bound.mul_f64(MAX_SETTLE_SHARE);
    (MIN_SETTLE + SETTLE_SPREAD.mul_f64(draw)).min(longest)
}

/// Additional delay per node of a region before a node reads all keys in a new era of the store.
///
/// More nodes than the watchers tried to reach the store while none did; the delay gives them time
/// to receive the data from the node that read it first.
const READ_DELAY_STEP: Duration = Duration::from_millis(250);

/// Maximum of that delay, so that a node soon reads the store if the nodes before it do not reach
/// it.
const MAX_READ_DELAY: Duration = Duration::from_millis(1_000);

/// Number of nodes of a region that ask the store at the same time whether their copies are up to date.
///
/// The nodes of a small region do not wait for each other; in a large one most are confirmed by others.
const CONFIRMATION_GROUP: usize = 4;

/// Additional delay of each further group.
const CONFIRMATION_STEP: Duration = Duration::from_millis(50);

/// Maximum of that delay, so that a node soon asks by itself if the nodes before it are gone.
const MAX_CONFIRMATION_DELAY: Duration = Duration::from_millis(1_000);

/// Returns how long `me` waits after it has read its copy before it asks the store for later changes,
/// which confirm the copy.
///
/// `others` are the other nodes of its region that the copy lists.
pub fn confirmation_delay<'a>(
    me: &id::Node,
    others: impl Iterator<Item = &'a id::Node>,
) -> Duration {
    let groups = u32::try_from(count_before(me, others) / CONFIRMATION_GROUP).unwrap_or(u32::MAX);
    CONFIRMATION_STEP.saturating_mul(groups).min(MAX_CONFIRMATION_DELAY)
}

/// Position of a watcher among the watchers of its region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place(usize);

impl Place {
    /// Returns the duration of the first watch after a change, as a share of the usual duration
    /// from 0 to 1.
    ///
    /// The shares differ, so that watches that began together after a change do not end together.
    /// If the store stops answering them, one fails about half a watch earlier, and a node that the
    /// store still answers takes over within the 2 s bound on leaving upstreams rather than 0.1 s
    /// after it. Costs at most one call per change that is followed by a quiet period.
    #[must_use]
    pub fn watch_share(self) -> f64 {
        if self.0 == 0 { 1.0 } else { OTHERS_WATCH_SHARE }
    }

    /// Returns the delay between a change and the next watch, which batches changes.
    #[must_use]
    pub fn batch_delay(self) -> Duration {
        if self.0 == 0 { FIRST_BATCH_DELAY } else { OTHERS_BATCH_DELAY }
    }
}

/// Returns the position of `me` among the watchers of the store, or `None` if it does not watch.
///
/// `reaching` are the other live nodes of its region that reach the store and are not leaving.
pub fn place<'a>(me: &id::Node, reaching: impl Iterator<Item = &'a id::Node>) -> Option<Place> {
    let before = count_before(me, reaching);
    (before < PER_REGION).then_some(Place(before))
}

/// Returns how long `me` waits before it reads all keys in a new era of the store, which gives
/// another node the chance to be first.
///
/// `others` are the other live nodes of its region that are not leaving.
pub fn read_delay<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> Duration {
    let predecessors = count_before(me, others).saturating_sub(PER_REGION - 1);
    let turns = u32::try_from(predecessors).unwrap_or(u32::MAX);
    READ_DELAY_STEP.saturating_mul(turns).min(MAX_READ_DELAY)
}

/// Returns whether `me` is among the first to watch the store while no node reaches it.
///
/// `others` are the other live nodes of its region that are not leaving.
pub fn turn<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> store_call::Turn {
    match count_before(me, others) < PER_REGION {
        true => store_call::Turn::First,
        false => store_call::Turn::Later,
    }
}

fn count_before<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> usize {
    others.filter(|node| *node < me).count()
}
