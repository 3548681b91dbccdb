//! The owner of upstreams: exact counts of the requests in flight, and a bounded queue per service.
//!
//! Only its owner sends requests to an upstream, so the counts are exact and never stale. In the
//! measurement of policy "homes" (docs/measurements/policy.md) no request reached an upstream without a
//! free slot.
//!
//! [`allotment`](crate::ownership::allotment) computes the slots that a node may use by itself, and
//! [`lease`](crate::ownership::lease) adds those that other nodes grant it. The owner is driven by
//! [`Core`](crate::ownership::core::Core).
//!
//! A request passes through `admission`, `queueing` and `completion`. `configuration`, `leasing` and
//! `reporting` exchange state with the rest of the node.

mod admission;
mod completion;
mod configuration;
mod leasing;
mod queueing;
mod reporting;

use std::collections;
use std::sync;
use std::time::Instant;

use model::id;
use model::service;
use model::upstream;
use model::verdict;

use crate::ownership::action;
use crate::ownership::latency;
use crate::ownership::ledger;
use crate::ownership::owned;
use crate::ownership::queue;
use crate::ownership::rates;
use crate::ownership::request;

pub use completion::CANCEL_GRACE;
pub use leasing::LEASE_TERM;

/// The upstreams of this region and the requests that this node runs or queues for them.
#[derive(Debug, Default)]
pub struct Owner {
    /// All upstreams of this region, whether this node owns them or not.
    pub upstreams: collections::BTreeMap<upstream::Key, owned::Upstream>,
    services: collections::BTreeMap<id::Service, ServiceState>,
    running: collections::HashMap<request::Id, Running>,
}

/// The queue and the traffic statistics of one service at this node.
#[derive(Debug)]
struct ServiceState {
    spec: sync::Arc<service::Service>,
    queue: queue::Queue,
    rates: rates::Rates,
    latency: latency::Mean,
}

/// A request that occupies a slot.
#[derive(Debug)]
struct Running {
    slot: Slot,
    started: Instant,
    deadline: Instant,
}

/// A slot of an upstream, and the allotment or lease that it belongs to.
#[derive(Debug)]
struct Slot {
    upstream: upstream::Key,
    source: ledger::Source,
}

impl Owner {
    /// Expires leases and abandoned slots, starts queued requests in free slots, and refuses those that
    /// waited too long.
    pub fn tick(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        for upstream in self.upstreams.values_mut() {
            upstream.ledger.expire(now);
        }
        let names: Vec<id::Service> = self.services.keys().cloned().collect();
        for name in names {
            self.start_waiting(&name, now, out);
            self.expire_queue(&name, now, out);
        }
    }

    /// Returns the number of running and queued requests.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.services.values().map(|s| s.queue.len()).sum::<usize>()
    }

    /// Returns the number of queued requests of a service.
    #[must_use]
    pub fn queue_len(&self, service: &id::Service) -> usize {
        self.services.get(service).map_or(0, |served| served.queue.len())
    }

    fn upstreams_of<'a>(
        &'a self,
        service: &'a id::Service,
    ) -> impl Iterator<Item = (&'a upstream::Key, &'a owned::Upstream)> + Clone {
        let first = upstream::Key { service: service.clone(), upstream: id::Upstream::new("") };
        self.upstreams.range(first..).take_while(move |(key, _)| key.service == *service)
    }

    /// Returns the number of usable slots over all upstreams of a service.
    fn capacity(&self, service: &id::Service, now: Instant) -> u32 {
        self.upstreams_of(service).map(|(_, u)| u.limit(now)).sum()
    }
}

fn refuse(request: request::Id, failure: verdict::Failure, out: &mut Vec<action::Action>) {
    out.push(action::Action::Refuse { request, failure });
}
