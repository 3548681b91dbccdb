//! Catch up: when a node that is behind fetches changes, and from which nodes.
//!
//! A node is behind when a heartbeat names a revision of the store after its own. A watcher waits for the
//! store first; any other node asks nodes of its region, then of others, and its seeds while it knows
//! nothing.

use std::time::Duration;

/// Time for which a watcher that is behind waits for the store before it asks a node.
///
/// Not measured; longer than a watch usually takes to answer, so that few changes are fetched twice.
const PATIENCE: Duration = Duration::from_millis(700);

/// Time in which changes gather before a node is asked. Not measured; one answer then holds several.
pub const GATHER: Duration = Duration::from_millis(100);

/// Time between two checks whether this node is behind. Not measured.
pub const CHECK_PERIOD: Duration = Duration::from_millis(200);

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

/// Returns which nodes to ask, by how many are ahead of this one.
#[must_use]
pub fn sources(near_ahead: usize, far_ahead: usize, standing: Standing) -> Sources {
    match (near_ahead, far_ahead) {
        (0, 0) if !standing.is_complete && !standing.is_store_reached => Sources::Seeds,
        (0, _) => Sources::Far,
        _ => Sources::Near,
    }
}

/// Returns whether a node that has been behind for `behind` asks another one now.
#[must_use]
pub fn is_due(standing: Standing, is_watcher: bool, behind: Duration) -> bool {
    let waits_for_store = standing.is_complete && is_watcher;
    !waits_for_store || behind >= PATIENCE
}
