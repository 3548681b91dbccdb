//! Shift limit: how fast the split of requests over regions may move.
//!
//! Owns nothing. Relies on [`ramp::Limiter`], which keeps a split's position and its latest moves, and on
//! `Bounds::greatest_shift` for the fleet's limit. [`overflow`] uses another part of the same limit.
//!
//! [`overflow`]: crate::dispatch::overflow

use std::time::{Duration, Instant};

use model::bounds;
use model::fraction;
use model::id;

use crate::common::ramp;
use crate::common::split;

/// Window in which the operator's shift limit holds. A bound of the settings: `bounds.greatest_shift`.
const WINDOW: Duration = Duration::from_secs(2);

/// Share of the shift limit that planned moves use.
///
/// Measured: docs/measurements/platform.md, row "a bounded share leaves a crowded region", together with
/// `overflow::SHARE_OF_SHIFT_LIMIT`. The rest is for the grain of single requests.
const SHARE_OF_SHIFT_LIMIT: f64 = 0.5;

/// Returns the limit for planned moves under `bounds`.
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

/// Moves a split toward `target` within `limit`; an empty split takes the target at once.
///
/// An empty `target` (no region has slots) leaves the split as it is.
pub fn advance(ramp: &mut ramp::Limiter, target: &split::Split, limit: ramp::Limit, now: Instant) {
    match (target.is_empty(), ramp.position().is_empty()) {
        (true, _) => {}
        (false, true) => *ramp = ramp::Limiter::new(target.clone()),
        (false, false) => {
            ramp.advance(target, Some(limit), now);
        }
    }
}
