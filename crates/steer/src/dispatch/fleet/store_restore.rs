//! Conflict resolution after the store was restored from a backup copy.
//!
//! Revisions are not comparable across a restore, so a value known to the node and the value in the
//! copy are compared by the versions they carry themselves. Acknowledged values win: a copy is
//! always older, and operators and upstreams write again whatever it lacks. Stateless.

use std::time::{Duration, Instant};

/// Time after a restore until lost values have been written again; upstreams take about two
/// seconds.
///
/// Until then, values missing from the copy are kept and values that had been removed before the
/// restore stay removed, unless the values themselves show which is newer.
pub const REWRITE_PERIOD: Duration = Duration::from_secs(3);

/// Logical timestamp of an upstream's entry: the start of the upstream, and the number of discovery
/// calls it had made since.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Written {
    /// Start of the upstream, in milliseconds since the Unix epoch; 0 when not reported.
    pub born: u64,
    /// Discovery calls made since the start.
    pub calls: u64,
}

/// The version that a value of the store carries itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// A configuration with its version.
    Configuration(u64),
    /// The entry of an upstream.
    Upstream {
        /// When the entry was written.
        written: Written,
        /// Whether the entry announces that the upstream is leaving.
        leaves: bool,
    },
    /// A value without a version.
    Undated,
}

/// Returns whether the value in the restored store replaces the value `known` before the restore.
#[must_use]
pub fn replaces(known: Content, copy: Content) -> bool {
    match (known, copy) {
        (Content::Configuration(known), Content::Configuration(copy)) => copy >= known,
        (
            Content::Upstream { written: known, leaves },
            Content::Upstream { written: copy, leaves: still_leaves },
        ) => copy > known || copy == known && (still_leaves || !leaves),
        (Content::Upstream { .. } | Content::Configuration(_), Content::Undated) => false,
        _ => true,
    }
}

/// Returns whether a value in the restored store is valid although its key had been `removed`
/// before the restore.
///
/// The entry of an upstream that ended is accepted only if it is newer than the removed one. Values
/// without a version are accepted once [`REWRITE_PERIOD`] has passed. A cancelled evacuation is an
/// example: its hall keeps serving, and is evacuated if the store still says so after that time.
#[must_use]
pub fn overrides_removal(removed: Content, copy: Content, is_over: bool) -> bool {
    match (removed, copy) {
        (Content::Upstream { written: removed, .. }, Content::Upstream { written: copy, .. }) => {
            copy > removed
        }
        _ => is_over,
    }
}

/// Returns whether [`REWRITE_PERIOD`] has passed since the restore, after which a value that was
/// not written again is gone.
#[must_use]
pub fn is_over(restored: Instant, now: Instant) -> bool {
    now.saturating_duration_since(restored) >= REWRITE_PERIOD
}
