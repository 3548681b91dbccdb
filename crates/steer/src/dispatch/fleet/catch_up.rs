//! Catch up: when a node that is behind fetches changes, and from which nodes.
//!
//! A node is behind when a heartbeat names a revision of the store after its own. A node that the store answers
//! waits for it first; any other node asks nodes of its region, then of others, and its seeds while it knows
//! nothing. A node that is asked may be dead and not known to be, so another one is asked beside it soon.

use std::time::Duration;

/// Time for which a node that the store answers waits for it, when it is behind, before it asks another node.
///
/// Not measured; longer than a watch usually takes to answer, so that few changes are fetched twice.
const PATIENCE: Duration = Duration::from_millis(700);

/// Time in which changes gather before a node is asked. Not measured; one answer then holds several.
pub const GATHER: Duration = Duration::from_millis(100);

/// Time between two checks whether this node is behind. Not measured.
pub const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Time after which another node is asked beside one that has not answered.
///
/// Not measured; a node of another region answers in 0.15 s, and one that compresses a whole copy in 0.3 s.
const HEDGE_AFTER: Duration = Duration::from_millis(400);

/// Nodes that are asked at the same time, at most. Not measured; two may be dead.
const MOST_ASKED: usize = 3;

/// What a node that is behind knows of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether its copy of the store is complete.
    pub is_complete: bool,
    /// Whether it watches the store, and the store answered it last time.
    pub is_store_reached: bool,
}

/// Which nodes are asked for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sources {
    /// The nodes of its region that are ahead.
    Near,
    /// The nodes of other regions that are ahead; there may be none.
    Far,
    /// The seeds of the settings.
    Seeds,
}

/// Returns which nodes to ask, by how many are ahead of this one and not being asked.
#[must_use]
pub fn sources(near_ahead: usize, far_ahead: usize, standing: Standing) -> Sources {
    match (near_ahead, far_ahead) {
        (0, 0) if !standing.is_complete && !standing.is_store_reached => Sources::Seeds,
        (0, _) => Sources::Far,
        _ => Sources::Near,
    }
}

/// Returns whether a node that has been behind for `behind` asks another one.
#[must_use]
pub fn is_due(standing: Standing, behind: Duration) -> bool {
    let waits_for_store = standing.is_complete && standing.is_store_reached;
    !waits_for_store || behind >= PATIENCE
}

/// Returns whether one more node is asked while `asked` have not answered, the latest of them for `waited`.
#[must_use]
pub fn may_ask(asked: usize, waited: Duration) -> bool {
    asked == 0 || asked < MOST_ASKED && waited >= HEDGE_AFTER
}
