//! Lapsed entries: keeps using upstreams whose entries vanished while the store was unavailable.
//!
//! Upstreams renew their entries in the store. During a store outage they cannot, so nearly all
//! entries may expire at once although the upstreams are alive. Live upstreams write their entries
//! again soon after the store returns; until then the dispatcher keeps using them. An entry in the
//! draining state is never kept.
//!
//! An entry also vanishes when its upstream leaves, and the two cases cannot be distinguished. An
//! upstream without an entry is therefore used for less time than `Bounds::drain` allows for a
//! leaving one, and not at all once `Bounds::contact` has passed since the latest failed call
//! began: from then on the node must keep to `Bounds::drain`.

use std::time::{Duration, Instant};

use model::bounds;

/// Time for which upstreams without an entry are used, unless `Bounds::drain` requires less.
///
/// Live upstreams write their entries again 0.15 to 0.8 s after the store returns; the rest is a
/// margin for the propagation to this node.
const REREGISTRATION_TIME: Duration = Duration::from_millis(1_800);

/// Part of `Bounds::drain` reserved for the delays before a node learns of a removal and after it
/// has selected an upstream.
///
/// A removal reaches the node 0.14 to 0.3 s after the store has acknowledged it; the rest is a
/// margin for a lost heartbeat (0.5 s) and a new connection.
const PROPAGATION_MARGIN: Duration = Duration::from_millis(700);

/// Share of `Bounds::drain` that is used when only the number of vanished entries suggests an
/// outage.
///
/// Leaves the other half of the bound for the propagation of a real removal.
const UNCONFIRMED_SHARE: f64 = 0.5;

/// Share of all entries whose simultaneous disappearance suggests an outage of the source.
const OUTAGE_SHARE: f64 = 0.5;

/// Failures of the discovery source.
#[derive(Clone, Copy, Debug, Default)]
pub struct Source {
    last_failure: Option<Instant>,
}

impl Source {
    /// Records a call to the source that started at `started` and failed.
    pub fn record_failure(&mut self, started: Instant) {
        self.last_failure = self.last_failure.max(Some(started));
    }

    /// Returns until when to use upstreams whose entries vanish now, `gone` out of `known`.
    ///
    /// Returns `None` if the entries were removed, and the upstreams must not be used.
    #[must_use]
    pub fn used_until(
        &self,
        gone: usize,
        known: usize,
        bounds: &bounds::Bounds,
        now: Instant,
    ) -> Option<Instant> {
        let contact_end =
            self.last_failure.map(|started| started + bounds.contact).filter(|end| now < *end);
        #[expect(clippy::cast_precision_loss, reason = "a few thousand entries")]
        let is_mass_removal = gone as f64 >= known as f64 * OUTAGE_SHARE && gone > 1;
        let longest =
            now + REREGISTRATION_TIME.min(bounds.drain.saturating_sub(PROPAGATION_MARGIN));
        match (contact_end, is_mass_removal) {
            (Some(contact_end), _) => Some(longest.min(contact_end)),
            (None, true) => Some(longest.min(now + bounds.drain.mul_f64(UNCONFIRMED_SHARE))),
            (None, false) => None,
        }
    }
}
