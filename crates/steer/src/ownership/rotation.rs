//! Rotations: distribute one place's requests for one service over the regions.
//!
//! [`ramp`] limits how fast the split moves, so that it keeps to its cap. [`round_robin`] makes the
//! requests follow the split exactly.

use std::time::Instant;

use model::id;

use crate::common::ramp;
use crate::common::split;
use crate::ownership::round_robin;

/// The current split of one place and service, and the round robin that follows it.
#[derive(Clone, Debug)]
pub struct Rotation {
    ramp: ramp::Limiter,
    round_robin: round_robin::RoundRobin,
}

impl Rotation {
    /// Creates a rotation with the split `position`.
    #[must_use]
    pub fn new(position: split::Split) -> Self {
        Self { ramp: ramp::Limiter::new(position), round_robin: round_robin::RoundRobin::default() }
    }

    /// Returns the current split.
    #[must_use]
    pub fn position(&self) -> &split::Split {
        self.ramp.position()
    }

    /// Returns the region of the next request.
    pub fn next_region(&mut self) -> Option<id::Region> {
        self.round_robin.next(self.ramp.position())
    }

    /// Moves the split toward `target` as the limit allows.
    pub fn advance(&mut self, target: &split::Split, limit: Option<ramp::Limit>, now: Instant) {
        match (target.is_empty(), self.position().is_empty()) {
            // No region is usable. Keep the split, so that the ramp continues from it once one is.
            (true, _) => {}
            (false, true) => self.ramp = ramp::Limiter::new(target.clone()),
            (false, false) => {
                self.ramp.advance(target, limit, now);
            }
        }
    }
}
