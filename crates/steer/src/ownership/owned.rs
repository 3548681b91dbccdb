//! Upstreams as their owner sees them: slots, slow_start and health together.

use std::net;
use std::time::Instant;

use model::id;

use crate::ownership::health;
use crate::ownership::ledger;
use crate::ownership::slow_start;

/// One upstream of this region.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Where it listens.
    pub address: net::SocketAddr,
    /// Its hall.
    pub hall: id::Hall,
    /// Whose its slots are, and which are taken.
    pub ledger: ledger::Ledger,
    /// How many of them its caches make worth using.
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

    /// Returns how unwelcome one more request is; the least is chosen.
    ///
    /// The use it would bring the upstream to, weighed by its usual time to answer.
    #[must_use]
    pub fn cost(&self, now: Instant, baseline: Option<f64>) -> f64 {
        let limit = f64::from(self.limit(now).max(1));
        let load = f64::from(self.ledger.in_flight() + 1) / limit;
        match (self.slow_start.usual(), baseline) {
            (Some(usual), Some(base)) if base > 0.0 => load * (usual / base).max(0.5),
            _ => load,
        }
    }
}
