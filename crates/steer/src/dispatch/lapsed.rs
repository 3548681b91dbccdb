//! Lapsed entries: upstreams whose entries vanished, perhaps only since the store was away.
//!
//! Owns the time of the latest failed call to the source of entries. Upstreams renew their entries; while
//! the store is away they cannot, so nearly all entries may vanish at once though the upstreams live. Those
//! that live write them again soon after the store returns. Until then the dispatcher goes on using them.
//! An entry that says that its upstream drains is never used so.
//!
//! An entry may also vanish because its upstream leaves, and the two cannot be distinguished. Therefore an
//! upstream without an entry is used for less time than `Bounds::drain` allows for one that leaves, and not at all
//! once `Bounds::contact` has passed since the latest failed call began: from then on the node must keep
//! that bound.

use std::time::{Duration, Instant};

use model::bounds;

/// Time for which upstreams without an entry are used, where `Bounds::drain` does not end it sooner.
///
/// Measured: living upstreams wrote their entries again 0.15 to 0.8 s after the store returned, on the day
/// behind docs/measurements/platform.md, row "lapsed entries are used until they should be back"; the
/// rest is a margin for the way to this node.
const RETURN: Duration = Duration::from_millis(1_800);

/// Part of `Bounds::drain` that passes before a node knows that an entry vanished, and after it has chosen.
///
/// Measured: 0.14 to 0.3 s from the store's acknowledgement to the node, docs/incidents/drain-home.md; the rest
/// is a margin for a lost heartbeat (0.5 s) and a new connection.
const WAY: Duration = Duration::from_millis(700);

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
    /// Records a call to the source that began at `began` and failed.
    pub fn record_failure(&mut self, began: Instant) {
        self.failed = self.failed.max(Some(began));
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
        let in_touch = self.failed.map(|began| began + bounds.contact).filter(|at| now < *at);
        #[expect(clippy::cast_precision_loss, reason = "a few thousand entries")]
        let is_most = gone as f64 >= known as f64 * MAX_SHARE_AT_ONCE && gone > 1;
        let confirmed = now + RETURN.min(bounds.drain.saturating_sub(WAY));
        match (in_touch, is_most) {
            (Some(in_touch), _) => Some(confirmed.min(in_touch)),
            (None, true) => Some(confirmed.min(now + bounds.drain.mul_f64(UNCONFIRMED_SHARE))),
            (None, false) => None,
        }
    }
}
