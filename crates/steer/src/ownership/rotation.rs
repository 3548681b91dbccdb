//! Rotations: in which turn one place's requests for one service go to the regions.
//!
//! Owns the position of the split and the turn. Relies on [`ramp`] so that the split never moves faster
//! than its cap, and on [`round_robin`] so that requests follow it exactly.

use std::time::Instant;

use model::id;

use crate::common::ramp;
use crate::common::split;
use crate::ownership::round_robin;

/// The moving split of one rotation and the turn of its regions.
#[derive(Clone, Debug)]
pub struct Rotation {
    ramp: ramp::Limiter,
    round_robin: round_robin::RoundRobin,
}

impl Rotation {
    /// Makes a rotation that stands at `position`.
    #[must_use]
    pub fn new(position: split::Split) -> Self {
        Self { ramp: ramp::Limiter::new(position), round_robin: round_robin::RoundRobin::default() }
    }

    /// Returns where the split stands.
    #[must_use]
    pub fn position(&self) -> &split::Split {
        self.ramp.position()
    }

    /// Returns the region of the next request.
    pub fn next_region(&mut self) -> Option<id::Region> {
        self.round_robin.turn(self.ramp.position())
    }

    /// Moves the split toward `target` as the limit allows.
    pub fn advance(&mut self, target: &split::Split, limit: Option<ramp::Limit>, now: Instant) {
        match (target.is_empty(), self.position().is_empty()) {
            // With no region left there is nothing to move to: stay, so that the ramp goes on from
            // here once a region is usable again.
            (true, _) => {}
            (false, true) => self.ramp = ramp::Limiter::new(target.clone()),
            (false, false) => {
                self.ramp.advance(target, limit, now);
            }
        }
    }
}
