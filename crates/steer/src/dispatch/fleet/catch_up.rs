//! Catch-up: when a node that lags behind fetches changes, and from which nodes.
//!
//! A node lags when a heartbeat reports a newer store revision than its own. A node whose watch of
//! the store works waits for the store first. Any other node asks nodes of its region, then nodes
//! of other regions, and its seeds as long as its copy is incomplete. The node asked may have died
//! undetected, so a hedged request goes to another one after a short delay.

use std::time::Duration;

/// How long a lagging node whose watch works waits for the store before it asks another node.
///
/// Longer than a watch usually takes to answer, so that few changes are fetched twice.
const STORE_WAIT: Duration = Duration::from_millis(700);

/// Delay before a node is asked, so that one answer contains several changes.
pub const GATHER: Duration = Duration::from_millis(100);

/// Interval between checks whether this node lags.
pub const CHECK_PERIOD: Duration = Duration::from_millis(200);

/// Delay before a hedged request to another node while the first has not answered.
///
/// A node of another region answers within 0.15 s, and one that compresses a full copy within 0.3
/// s.
const HEDGE_AFTER: Duration = Duration::from_millis(400);

/// Maximum number of concurrent requests; succeeds even if two of the nodes are dead.
const MAX_CONCURRENT: usize = 3;

/// State of the node's copy of the store and of its watch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Whether the copy of the store is complete.
    pub is_complete: bool,
    /// Whether the node watches the store and its latest call was answered.
    pub is_store_reached: bool,
}

/// Which nodes to ask for changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sources {
    /// Nodes of the same region with a newer revision.
    Near,
    /// Nodes of other regions with a newer revision; there may be none.
    Far,
    /// The seeds from the settings.
    Seeds,
}

/// Returns which nodes to ask, given how many nodes have a newer revision and are not being asked
/// already.
#[must_use]
pub fn sources(near_ahead: usize, far_ahead: usize, standing: Standing) -> Sources {
    match (near_ahead, far_ahead) {
        (0, 0) if !standing.is_complete && !standing.is_store_reached => Sources::Seeds,
        (0, _) => Sources::Far,
        _ => Sources::Near,
    }
}

/// Returns whether a node that has lagged for `behind` asks another node.
#[must_use]
pub fn is_due(standing: Standing, behind: Duration) -> bool {
    let waits_for_store = standing.is_complete && standing.is_store_reached;
    !waits_for_store || behind >= STORE_WAIT
}

/// Returns whether to ask one more node while `asked` requests are pending, the latest since
/// `waited`.
#[must_use]
pub fn may_ask(asked: usize, waited: Duration) -> bool {
    asked == 0 || asked < MAX_CONCURRENT && waited >= HEDGE_AFTER
}
