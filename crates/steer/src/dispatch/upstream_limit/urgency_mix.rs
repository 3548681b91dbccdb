//! Mix of urgent and less urgent requests for an upstream with a limit.
//!
//! Keeps the rates of urgent and of less urgent requests at this node. If the limit is exceeded,
//! urgent requests are admitted first. All nodes see about the same mix, so each node relies on its
//! own mix and does not report it.

use std::time::{Duration, Instant};

use crate::dispatch::priority;
use crate::dispatch::quota::rate;

/// Time constant of the mix, long enough to include several requests even at one per second.
const TIME_CONSTANT: Duration = Duration::from_secs(4);

/// Lower bound of divisors that prevents a division by zero.
const EPSILON: f64 = 1e-3;

/// Request rates for one upstream by urgency.
#[derive(Clone, Copy, Debug)]
pub struct UrgencyMix {
    all: rate::Rate,
    urgent: rate::Rate,
}

impl UrgencyMix {
    /// Creates a mix without requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            all: rate::Rate::new(TIME_CONSTANT, now),
            urgent: rate::Rate::new(TIME_CONSTANT, now),
        }
    }

    /// Records a request.
    pub fn record(&mut self, rank: priority::Rank, now: Instant) {
        self.all.add(1.0, now);
        if rank == priority::Rank::MostUrgent {
            self.urgent.add(1.0, now);
        }
    }

    /// Returns the admission ratio for requests of `rank` if the ratio for all requests is `ratio`.
    #[must_use]
    pub fn admission_ratio(&self, ratio: f64, rank: priority::Rank, now: Instant) -> f64 {
        let urgent = self.urgent.get(now) / self.all.get(now).max(EPSILON);
        match rank {
            priority::Rank::Uncontested => ratio,
            priority::Rank::MostUrgent => ratio / urgent.max(EPSILON),
            priority::Rank::LessUrgent { .. } => (ratio - urgent) / (1.0 - urgent).max(EPSILON),
        }
    }
}
