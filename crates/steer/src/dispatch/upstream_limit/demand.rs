//! Demand: how urgent the requests are that would go to an upstream with a limit.
//!
//! Owns their rates at this node. Where a limit is short, urgent requests come first: nodes see much the same mix, so each goes by
//! its own and need not report it.

use std::time::{Duration, Instant};

use crate::dispatch::priority;
use crate::dispatch::quota::rate;

/// Time in which a request loses most of its weight in the mix; even at one a second there are some.
const MEMORY: Duration = Duration::from_secs(4);

/// Smallest share that is divided by.
const LEAST_SHARE: f64 = 1e-3;

/// Requests that would go to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Demand {
    all: rate::Rate,
    urgent: rate::Rate,
}

impl Demand {
    /// Starts without any.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { all: rate::Rate::new(MEMORY, now), urgent: rate::Rate::new(MEMORY, now) }
    }

    /// Records a request.
    pub fn record(&mut self, rank: priority::Rank, now: Instant) {
        self.all.add(1.0, now);
        if rank == priority::Rank::MostUrgent {
            self.urgent.add(1.0, now);
        }
    }

    /// Returns the part of the requests of `rank` that is admitted where `part` of all is.
    #[must_use]
    pub fn part(&self, part: f64, rank: priority::Rank, now: Instant) -> f64 {
        let urgent = self.urgent.get(now) / self.all.get(now).max(LEAST_SHARE);
        match rank {
            priority::Rank::Uncontested => part,
            priority::Rank::MostUrgent => part / urgent.max(LEAST_SHARE),
            priority::Rank::LessUrgent { .. } => (part - urgent) / (1.0 - urgent).max(LEAST_SHARE),
        }
    }
}
