//! Upstreams as their owner sees them: slots, slow start and health together.
//!
//! Owns how these limit an upstream, and the cost by which one is chosen. Relies on [`ledger`],
//! [`slow_start`] and [`health`] for each limit.

use std::net;
use std::time::Instant;

use model::id;

use crate::ownership::health;
use crate::ownership::latency;
use crate::ownership::ledger;
use crate::ownership::slow_start;

/// Least part of its load that a fast upstream is charged with.
///
/// Not measured; an upstream that answers twice as fast as the others is preferred, a faster one no
/// more, since quick failures look fast too.
const LEAST_LATENCY_FACTOR: f64 = 0.5;

/// One upstream of this region.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its hall.
    pub hall: id::Hall,
    /// Who may use its slots, and which are taken.
    pub ledger: ledger::Ledger,
    /// How many of them are used while it is cold.
    pub slow_start: slow_start::SlowStart,
    /// What is known against it.
    pub health: health::Health,
    /// Whether a drain or the VM list keeps new work away.
    pub is_drained: bool,
    /// Whether the configuration still declares it.
    pub is_declared: bool,
}

impl Upstream {
    /// Returns how many requests may run at once now.
    #[must_use]
    pub fn limit(&self, now: Instant) -> u32 {
        let usable = !self.is_drained && self.is_declared && self.health.is_usable(now);
        match usable {
            false => 0,
            true => {
                let slots = self.ledger.slots;
                let most = self.slow_start.limit(slots).min(self.health.limit(slots));
                self.ledger.capacity(now).min(most)
            }
        }
    }

    /// Returns the slot a request could take, when the upstream has one to spare.
    #[must_use]
    pub fn room(&self, now: Instant, deadline: Instant) -> Option<ledger::Source> {
        match self.ledger.in_flight() < self.limit(now) {
            true => self.ledger.room(now, deadline),
            false => None,
        }
    }

    /// Returns the cost of one more request; the least is chosen.
    ///
    /// It is the share of its usable slots that the upstream would use, times how much longer than
    /// `baseline`, the mean of the service, it takes to answer.
    #[must_use]
    pub fn cost(&self, now: Instant, baseline: latency::Mean) -> f64 {
        let limit = f64::from(self.limit(now).max(1));
        let load = f64::from(self.ledger.in_flight() + 1) / limit;
        match self.slow_start.latency().ratio_to(baseline) {
            Some(ratio) => load * ratio.max(LEAST_LATENCY_FACTOR),
            None => load,
        }
    }
}
