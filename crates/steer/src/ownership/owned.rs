//! The state of an upstream at its owner.
//!
//! Combines the limits of [`ledger`], [`slow_start`] and [`health`], and computes the cost by which an
//! upstream is selected.

use std::net;
use std::time::Instant;

use model::id;

use crate::ownership::health;
use crate::ownership::latency;
use crate::ownership::ledger;
use crate::ownership::slow_start;

/// Lower bound of the latency factor in an upstream's cost.
///
/// An upstream that answers more than twice as fast as the mean is not preferred further, because
/// failures that are answered quickly look fast too.
const LEAST_LATENCY_FACTOR: f64 = 0.5;

/// One upstream of this region.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The address it listens on.
    pub address: net::SocketAddr,
    /// The hall it is in.
    pub hall: id::Hall,
    /// The slots that this node may use, and those in use.
    pub ledger: ledger::Ledger,
    /// The limit of slots while it is cold.
    pub slow_start: slow_start::SlowStart,
    /// The results of its requests and probes.
    pub health: health::Health,
    /// Whether a drain or the VM list excludes it from new requests.
    pub is_drained: bool,
    /// Whether the configuration still declares it.
    pub is_declared: bool,
}

impl Upstream {
    /// Returns the maximum number of concurrent requests at `now`.
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

    /// Returns a free slot for a request with this deadline, if there is one within the limit.
    #[must_use]
    pub fn free_slot(&self, now: Instant, deadline: Instant) -> Option<ledger::Source> {
        match self.ledger.in_flight() < self.limit(now) {
            true => self.ledger.free_slot(now, deadline),
            false => None,
        }
    }

    /// Returns the cost of one more request; the upstream of least cost is selected.
    ///
    /// The cost is the utilization of its usable slots with that request, times the ratio of its mean
    /// latency to `baseline`, the mean latency of the service.
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
