//! Shift limit: how fast the split of requests between regions may change.
//!
//! Stateless: [`ramp::Limiter`] holds a split's current value and its recent changes. The fleet-wide
//! limit is `Bounds::greatest_shift`, another part of which is used by [`overflow`].
//!
//! [`overflow`]: crate::dispatch::overflow

use std::time::{Duration, Instant};

use model::bounds;
use model::fraction;
use model::id;

use crate::common::ramp;
use crate::common::split;

/// Window to which the operator's shift limit, `bounds.greatest_shift` in the settings, applies.
const WINDOW: Duration = Duration::from_secs(2);

/// Fraction of the shift limit that changes of the split may use.
///
/// `overflow::SHARE_OF_SHIFT_LIMIT` is the fraction for overflow. The remainder absorbs rounding to
/// whole requests.
const SHARE_OF_SHIFT_LIMIT: f64 = 0.5;

/// Returns the limit for changes of the split under `bounds`.
#[must_use]
pub fn limit(bounds: &bounds::Bounds) -> ramp::Limit {
    let share = bounds.greatest_shift * SHARE_OF_SHIFT_LIMIT;
    let share = split::Split::new(&[
        (id::Region::new("moved"), share),
        (id::Region::new("kept"), (1.0 - share).max(0.0)),
    ])
    .share(&id::Region::new("moved"));
    ramp::Limit { share: fraction::Fraction(share), window: WINDOW }
}

/// Moves a split toward `target` within `limit`; an empty split is set to the target immediately.
///
/// An empty `target` (no region has slots) leaves the split unchanged.
pub fn advance(ramp: &mut ramp::Limiter, target: &split::Split, limit: ramp::Limit, now: Instant) {
    match (target.is_empty(), ramp.position().is_empty()) {
        (true, _) => {}
        (false, true) => *ramp = ramp::Limiter::new(target.clone()),
        (false, false) => {
            ramp.advance(target, Some(limit), now);
        }
    }
}
