//! The owner of upstreams: exact counts of what runs at them, and a bounded queue before them.
//!
//! Only its owner sends to an upstream, so these counts are exact and need no measurement that lags
//! (docs/measurements/policy.md, policy "homes": no request reached an upstream whose slots were taken).
//!
//! Owns the ledgers, queues and arrival rates of this region's services. Relies on
//! [`allotment`](crate::ownership::allotment) for the slots that a node may use by itself and on
//! [`lease`](crate::ownership::lease) for those that other nodes grant it. Driven by
//! [`Core`](crate::ownership::core::Core).
//!
//! A request meets `admission`, then `queueing`, then `completion`; `configuration`,
//! `leasing` and `reporting` stand beside its way.

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

/// The upstreams of this region as one node may use them, and the requests there.
#[derive(Debug, Default)]
pub struct Owner {
    /// The upstreams of this region, owned by this node or not.
    pub upstreams: collections::BTreeMap<upstream::Key, owned::Upstream>,
    services: collections::BTreeMap<id::Service, Served>,
    running: collections::HashMap<request::Id, Running>,
}

/// One service as this node serves it.
#[derive(Debug)]
struct Served {
    spec: sync::Arc<service::Service>,
    queue: queue::Queue,
    rates: rates::Rates,
    latency: latency::Mean,
}

/// A request that holds a slot.
#[derive(Debug)]
struct Running {
    slot: Slot,
    since: Instant,
    deadline: Instant,
}

/// A slot that a request takes.
#[derive(Debug)]
struct Slot {
    upstream: upstream::Key,
    source: ledger::Source,
}

impl Owner {
    /// Expires leases and waits, and starts the requests that then have room.
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

    /// Returns how many requests run or wait.
    #[must_use]
    pub fn load(&self) -> usize {
        self.running.len() + self.services.values().map(|s| s.queue.len()).sum::<usize>()
    }

    /// Returns how many requests of a service wait.
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

    /// Returns the slots usable now at all upstreams of a service.
    fn capacity(&self, service: &id::Service, now: Instant) -> u32 {
        self.upstreams_of(service).map(|(_, u)| u.limit(now)).sum()
    }
}

fn refuse(request: request::Id, failure: verdict::Failure, out: &mut Vec<action::Action>) {
    out.push(action::Action::Refuse { request, failure });
}
