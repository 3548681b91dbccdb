//! Upstreams: entries with what this node knows of them.

use std::sync;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::dispatch::cold;
use crate::dispatch::health;
use crate::dispatch::load;

/// An entry with what this node knows of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The entry as service discovery tells it.
    pub entry: sync::Arc<discovery::Entry>,
    /// Its region.
    pub region: id::Region,
    /// Its load.
    pub load: load::Load,
    /// Its health.
    pub health: health::Health,
    /// What it may be sent while it is cold.
    pub cold: cold::Limiter,
    /// Whether another entry answered at its address.
    pub is_replaced: bool,
    /// Until when it is used though its entry went, since that may only have lapsed.
    pub lapsed_until: Option<Instant>,
}

impl Upstream {
    /// Makes a upstream of a newly told entry.
    #[must_use]
    pub fn new(entry: sync::Arc<discovery::Entry>, region: id::Region, now: Instant) -> Self {
        let mut cold = cold::Limiter::new(now);
        cold.cold_for(entry.cold_left, now);
        Self {
            entry,
            region,
            load: load::Load::new(now),
            health: health::Health::new(now),
            cold,
            is_replaced: false,
            lapsed_until: None,
        }
    }

    /// Returns whether it takes new work at all, wherever its hall stands.
    #[must_use]
    pub fn is_usable(&self) -> bool {
        self.entry.state == discovery::State::Ready && !self.is_replaced
    }

    /// Returns how many times the work of one request passes until one more would be done.
    #[must_use]
    pub fn crowding(&self, now: Instant) -> f64 {
        let slots = f64::from(self.entry.slots);
        ((self.load.requests(now) + 1.0) / slots).max(1.0)
    }

    /// Returns how long one more request would wait and be worked on, in seconds.
    #[must_use]
    pub fn expected(&self, service_work: f64, now: Instant) -> f64 {
        self.health.work(service_work, now) * self.crowding(now)
    }

    /// Returns how long one more request would wait, in seconds.
    #[must_use]
    pub fn wait(&self, service_work: f64, now: Instant) -> f64 {
        self.health.work(service_work, now) * (self.crowding(now) - 1.0)
    }
}
