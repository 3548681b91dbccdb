//! Gossip intervals: how often nodes report to each other, and when a silent node counts as dead.
//!
//! Intervals grow with the size of the region, which bounds the datagrams a node receives per
//! second.

use std::time::Duration;

/// Minimum heartbeat interval; docs/CAPACITY.md has its cost.
const MIN_HEARTBEAT: Duration = Duration::from_millis(500);

/// Maximum heartbeat interval.
const MAX_HEARTBEAT: Duration = Duration::from_secs(1);

/// Heartbeat interval per other node of the region.
const HEARTBEAT_PER_NODE: Duration = Duration::from_millis(10);

/// Minimum load report interval.
const MIN_LOAD_REPORT: Duration = Duration::from_millis(100);

/// Load report interval per other node of the region.
const LOAD_REPORT_PER_NODE: Duration = Duration::from_millis(8);

/// Heartbeat intervals without a heartbeat after which a node counts as dead; three heartbeats may
/// be lost or late.
const DEAD_AFTER_PERIODS: f64 = 3.2;

/// Datagrams sent back to back before a pause of [`BURST_PAUSE`].
///
/// A hundred at once overflow the queue of a slow link, which drops the last ones, and delay
/// requests on a small CPU.
const BURST: usize = 12;

/// Pause between bursts; a hundred datagrams are sent within 50 ms.
pub const BURST_PAUSE: Duration = Duration::from_millis(6);

/// Silence after which a node that is not listed in the store is forgotten.
pub const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// Returns the heartbeat interval of a node with `near` other nodes in its region.
#[must_use]
pub fn heartbeat(near: usize) -> Duration {
    HEARTBEAT_PER_NODE.saturating_mul(saturating_u32(near)).clamp(MIN_HEARTBEAT, MAX_HEARTBEAT)
}

/// Returns the load report interval of a node with `near` other nodes in its region.
#[must_use]
pub fn load_report(near: usize) -> Duration {
    MIN_LOAD_REPORT.max(LOAD_REPORT_PER_NODE * saturating_u32(near))
}

/// Returns `nodes` in the order in which the `turn`-th heartbeat is sent to them.
///
/// Each turn starts at a different node, so that datagrams dropped by a congested link do not
/// always hit the same nodes.
pub fn in_turn<T>(nodes: &[T], turn: u64) -> impl Iterator<Item = &T> {
    let start = usize::try_from(turn).unwrap_or(0).wrapping_mul(BURST) % nodes.len().max(1);
    nodes[start..].iter().chain(&nodes[..start])
}

/// Returns whether to pause before sending a heartbeat to the `index`-th node.
#[must_use]
pub fn is_pause_due(index: usize) -> bool {
    index > 0 && index.is_multiple_of(BURST)
}

/// Returns the silence after which a node of the same region counts as dead.
#[must_use]
pub fn near_dead_after(near: usize) -> Duration {
    heartbeat(near).mul_f64(DEAD_AFTER_PERIODS)
}

/// Returns the silence after which a node of another region counts as dead; the size of its region
/// is unknown.
#[must_use]
pub fn far_dead_after() -> Duration {
    MAX_HEARTBEAT.mul_f64(DEAD_AFTER_PERIODS)
}

fn saturating_u32(nodes: usize) -> u32 {
    u32::try_from(nodes).unwrap_or(u32::MAX)
}
