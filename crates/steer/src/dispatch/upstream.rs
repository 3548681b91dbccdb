//! Upstreams: entries of discovery with what this node knows of each.
//!
//! Owns the state of one upstream: load, health, slow start. The dispatcher owns them all and feeds each
//! with the sends and the ends of its tries.

use std::sync;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::dispatch::health;
use crate::dispatch::peer_load;
use crate::dispatch::reported_load;
use crate::dispatch::seconds;
use crate::dispatch::seen_objects;
use crate::dispatch::slow_start;

/// An entry with what this node knows of it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The entry as service discovery lists it.
    pub entry: sync::Arc<discovery::Entry>,
    /// Its short name in reports between nodes.
    pub key: peer_load::Key,
    /// Its region.
    pub region: id::Region,
    /// Its load.
    pub load: reported_load::Load,
    /// Its health.
    pub health: health::Health,
    /// Objects that it has answered for this node.
    pub objects: seen_objects::Objects,
    /// Limits what it is sent while it is cold.
    pub slow_start: slow_start::Limiter,
    /// Whether this node is the one that may send to it while it is cold; kept up to date while it is.
    pub is_owned: bool,
    /// Whether another entry answered at its address.
    pub is_replaced: bool,
    /// Whether it was observed to leave.
    pub says_leaving: bool,
    /// When it has rested; none before it asks for rest.
    pub rests_until: Option<Instant>,
    /// Until when it is used without an entry, which may only have lapsed.
    pub lapsed_until: Option<Instant>,
}

impl Upstream {
    /// Makes an upstream of a new entry.
    #[must_use]
    pub fn new(entry: sync::Arc<discovery::Entry>, region: id::Region, now: Instant) -> Self {
        let mut slow_start = slow_start::Limiter::new(now);
        slow_start.set_cold(entry.cold_left, now);
        let key = peer_load::Key::of(&entry.id);
        Self {
            entry,
            key,
            region,
            load: reported_load::Load::new(now),
            health: health::Health::new(now),
            objects: seen_objects::Objects::default(),
            slow_start,
            is_owned: false,
            is_replaced: false,
            says_leaving: false,
            rests_until: None,
            lapsed_until: None,
        }
    }

    /// Returns whether it takes new work at all, wherever its hall stands.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let is_gone = self.lapsed_until.is_some_and(|until| now >= until);
        let leaves = self.says_leaving || self.entry.state != discovery::State::Ready;
        !leaves && !self.is_replaced && !is_gone
    }

    /// Returns whether it wants no requests from this node for now.
    #[must_use]
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Returns the work times of one request that pass until one more would be done; at least 1.
    #[must_use]
    pub fn crowding(&self, now: Instant) -> f64 {
        let slots = f64::from(self.entry.slots);
        ((self.load.requests(now) + 1.0) / slots).max(1.0)
    }

    /// Returns how long one more request would wait.
    #[must_use]
    pub fn wait(&self, service: seconds::Seconds, now: Instant) -> seconds::Seconds {
        seconds::Seconds(self.health.processing_time(service, now).0 * (self.crowding(now) - 1.0))
    }
}
