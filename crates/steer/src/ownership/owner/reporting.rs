//! Reporting: summaries of an owner's slots, queues and arrival rates.
//!
//! Routers and planners of other nodes read them.

use std::time::Instant;

use model::id;
use model::member;

use super::{Owner, ServiceState};
use crate::ownership::heartbeat;

impl Owner {
    /// Updates the arrival rates with the requests counted since the last call.
    pub fn update_rates(&mut self, now: Instant) {
        for service in self.services.values_mut() {
            service.rates.update(now);
        }
    }

    /// Returns a summary of each service that has usable slots, requests or arrivals at this node.
    #[must_use]
    pub fn summaries(
        &self,
        key: &member::Key,
        region: &id::Region,
        sequence: u64,
        now: Instant,
    ) -> Vec<heartbeat::Summary> {
        let summary = |(name, served): (&id::Service, &ServiceState)| {
            let of_service = self.upstreams_of(name);
            let usable = of_service.clone().map(|(_, u)| u.limit(now)).sum();
            let in_flight = of_service.map(|(_, u)| u.ledger.in_flight()).sum();
            heartbeat::Summary {
                key: key.clone(),
                region: region.clone(),
                service: name.clone(),
                sequence,
                usable,
                in_flight,
                queued: u32::try_from(served.queue.len()).unwrap_or(u32::MAX),
                rates: served.rates.thousandths(),
            }
        };
        let is_empty =
            |s: &heartbeat::Summary| s.usable + s.in_flight + s.queued == 0 && s.rates.is_empty();
        self.services.iter().map(summary).filter(|s| !is_empty(s)).collect()
    }

    /// Returns the usable slots of a service at this node, and the requests that run or wait.
    #[must_use]
    pub fn usage(&self, service: &id::Service, now: Instant) -> heartbeat::Usage {
        let of_service = self.upstreams_of(service);
        let in_flight: u32 = of_service.clone().map(|(_, u)| u.ledger.in_flight()).sum();
        let queued = u32::try_from(self.queue_len(service)).unwrap_or(u32::MAX);
        let usable = of_service.map(|(_, u)| u.limit(now)).sum();
        heartbeat::Usage { busy: in_flight.saturating_add(queued), usable }
    }
}
