//! Upstream: a service discovery entry with this node's state for it.
//!
//! Owns the load, health and slow start of one upstream. The dispatcher owns all upstreams and
//! notifies each when an attempt starts or ends.

use std::sync;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::dispatch::cold_check;
use crate::dispatch::health;
use crate::dispatch::pace;
use crate::dispatch::peer_load;
use crate::dispatch::reported_load;
use crate::dispatch::seconds;
use crate::dispatch::seen_objects;
use crate::dispatch::slots::holder;
use crate::dispatch::slow_start;
use crate::dispatch::slow_start_share;

/// An upstream and this node's state for it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The entry in service discovery.
    pub entry: sync::Arc<discovery::Entry>,
    /// Compact identifier used in reports between nodes.
    pub key: peer_load::Key,
    /// Region of the upstream's hall.
    pub region: id::Region,
    /// Requests in flight and reported load.
    pub load: reported_load::Load,
    /// How long work takes on its machine at this moment.
    pub pace: pace::Pace,
    /// This node's requests in flight that hold a slot.
    pub held: holder::Held,
    /// Health as observed by this node.
    pub health: health::Health,
    /// Objects of the upstream's latest responses to this node.
    pub objects: seen_objects::Objects,
    /// Limits the request rate while the upstream is cold.
    pub slow_start: slow_start::Limiter,
    /// Whether this node is the only one allowed to send to the upstream while the upstream is cold;
    /// only updated during that time.
    pub is_slow_start_owner: bool,
    /// This node's part of the requests that the upstream gets from nodes that do not know whether it is cold;
    /// only updated while this node is one of them.
    pub slow_start_share: slow_start_share::Share,
    /// Checks whether the upstream is cold.
    pub cold_checks: cold_check::Checks,
    /// Whether another upstream answered at this upstream's address.
    pub is_replaced: bool,
    /// Whether the upstream announced that it is leaving.
    pub announced_leaving: bool,
    /// End of the latest rest that the upstream asked for; `None` if it has not asked.
    pub rests_until: Option<Instant>,
    /// Time until which the upstream is used although its entry is missing, in case the entry only
    /// lapsed.
    pub lapsed_until: Option<Instant>,
}

impl Upstream {
    /// Creates the state for a new entry.
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
            pace: pace::Pace::default(),
            held: holder::Held::default(),
            health: health::Health::new(now),
            objects: seen_objects::Objects::default(),
            slow_start,
            is_slow_start_owner: false,
            slow_start_share: slow_start_share::Share::default(),
            cold_checks: cold_check::Checks::default(),
            is_replaced: false,
            announced_leaving: false,
            rests_until: None,
            lapsed_until: None,
        }
    }

    /// Returns whether the upstream accepts new requests, regardless of evacuations of its hall.
    #[must_use]
    pub fn is_usable(&self, now: Instant) -> bool {
        let has_expired = self.lapsed_until.is_some_and(|until| now >= until);
        let is_leaving = self.announced_leaving || self.entry.state != discovery::State::Ready;
        !is_leaving && !self.is_replaced && !has_expired
    }

    /// Returns whether the upstream has asked this node to send no requests for now.
    #[must_use]
    pub fn is_resting(&self, now: Instant) -> bool {
        self.rests_until.is_some_and(|until| now < until)
    }

    /// Returns the time to complete one more request, including queueing, as a multiple of its
    /// processing time; at least 1.
    #[must_use]
    pub fn crowding(&self, now: Instant) -> f64 {
        let slots = f64::from(self.entry.slots);
        ((self.load.requests(now) + 1.0) / slots).max(1.0)
    }

    /// Returns the expected processing time of a request that is sent now, without queueing.
    #[must_use]
    pub fn processing_time(
        &self,
        service_mean: seconds::Seconds,
        now: Instant,
    ) -> seconds::Seconds {
        let usual = self.health.processing_time(service_mean, now);
        seconds::Seconds(usual.0 * self.pace.get(now))
    }

    /// Returns [`Upstream::crowding`] for a request that is sent now, past those that wait for a slot.
    #[must_use]
    pub fn crowding_when_sent(&self, now: Instant) -> f64 {
        let slots = f64::from(self.entry.slots);
        ((self.load.requests_at_upstream(now) + 1.0) / slots).max(1.0)
    }

    /// Returns how long a request that is sent now would queue, past those that wait for a slot.
    #[must_use]
    pub fn wait_when_sent(&self, service_mean: seconds::Seconds, now: Instant) -> seconds::Seconds {
        let work = self.processing_time(service_mean, now).0;
        seconds::Seconds(work * (self.crowding_when_sent(now) - 1.0))
    }

    /// Returns how long one more request would queue, given the service's mean processing time.
    #[must_use]
    pub fn wait(&self, service_mean: seconds::Seconds, now: Instant) -> seconds::Seconds {
        seconds::Seconds(self.processing_time(service_mean, now).0 * (self.crowding(now) - 1.0))
    }
}
