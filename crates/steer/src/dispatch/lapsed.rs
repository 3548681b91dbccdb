//! Lapsed entries: upstreams whose entries vanished, perhaps only since the store was away.
//!
//! Owns the time of the latest failure of the source of entries. Upstreams renew their entries; while the
//! store is away they cannot, so nearly all entries may vanish at once though the upstreams live. Those
//! that live write them again soon after the store returns. Until then the dispatcher goes on using them.
//! An entry that says that its upstream drains is never used so.

use std::time::{Duration, Instant};

use model::bounds;

/// Time for which upstreams without an entry are used.
///
/// Measured: living upstreams wrote their entries again 0.15 to 0.8 s after the store returned, on the day
/// behind docs/measurements/platform.md, row "lapsed entries are used until they should be back"; the
/// rest is a margin for the way to this node.
const RETURN: Duration = Duration::from_millis(1_800);

/// Part of `Bounds::drain` that is used when only the number of vanished entries suggests a lapse.
///
/// Not measured; leaves the other half of the bound to the way of a real removal.
const UNCONFIRMED_SHARE: f64 = 0.5;

/// Part of all entries that does not vanish at once while the source is well. Not measured.
const MAX_SHARE_AT_ONCE: f64 = 0.5;

/// What is known about failures of the source of entries.
#[derive(Clone, Copy, Debug, Default)]
pub struct Source {
    failed: Option<Instant>,
}

impl Source {
    /// Records a sign that the source is away, or was until now.
    pub fn record_failure(&mut self, now: Instant) {
        self.failed = Some(now);
    }

    /// Returns until when upstreams are used whose entries vanish now, `gone` of the `known` ones.
    ///
    /// None when they are gone for good.
    #[must_use]
    pub fn used_until(
        &self,
        gone: usize,
        known: usize,
        bounds: &bounds::Bounds,
        now: Instant,
    ) -> Option<Instant> {
        let has_failed =
            self.failed.is_some_and(|at| now.saturating_duration_since(at) <= bounds.contact);
        #[expect(clippy::cast_precision_loss, reason = "a few thousand entries")]
        let is_most = gone as f64 >= known as f64 * MAX_SHARE_AT_ONCE && gone > 1;
        match (has_failed, is_most) {
            (true, _) => Some(now + RETURN.min(bounds.drain)),
            (false, true) => Some(now + RETURN.min(bounds.drain.mul_f64(UNCONFIRMED_SHARE))),
            (false, false) => None,
        }
    }
}
