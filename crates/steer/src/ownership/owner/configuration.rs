//! External inputs of the owner: declarations, membership tables, drains, the VM list and probes.
//!
//! An upstream starts cold if it is declared after this node's first configuration, moves to another
//! address, or was restarted. It is removed once it is no longer declared and its ledger is idle.

use std::sync;
use std::time::{Instant, SystemTime};

use model::epoch;
use model::id;
use model::member;
use model::service;
use model::snapshot;
use model::statement;
use model::table;
use model::upstream;

use super::{Owner, ServiceState};
use crate::ownership::allotment;
use crate::ownership::health;
use crate::ownership::latency;
use crate::ownership::ledger;
use crate::ownership::owned;
use crate::ownership::queue;
use crate::ownership::rates;
use crate::ownership::report;
use crate::ownership::slow_start;
use crate::ownership::vms;

impl Owner {
    /// Applies a configuration.
    ///
    /// Upstreams of the first configuration count as warm, as they ran before this node started.
    pub fn configure(&mut self, snapshot: &snapshot::Snapshot, region: &id::Region) {
        let is_first = self.services.is_empty();
        for upstream in self.upstreams.values_mut() {
            upstream.is_declared = false;
        }
        for stored in snapshot.services.values() {
            self.configure_service(&stored.spec, region, is_first);
        }
        self.services.retain(|name, served| {
            snapshot.services.contains_key(name) || !served.queue.is_empty()
        });
        self.upstreams.retain(|_, u| u.is_declared || !u.ledger.is_idle());
    }

    /// Recomputes this node's allotment of every upstream, and stops using leases of upstreams that
    /// this node no longer owns.
    pub fn update_allotments(
        &mut self,
        table: &table::Table,
        me: &member::Key,
        settled: &dyn Fn(&member::Key) -> epoch::Epoch,
    ) {
        for (key, upstream) in &mut self.upstreams {
            let slots = upstream.ledger.slots;
            upstream.ledger.allotment = allotment::compute(table, me, key, slots, settled);
            if upstream.ledger.allotment.owner() != Some(me) {
                upstream.ledger.end_held_leases();
            }
        }
    }

    /// Marks the upstreams that are under a declared drain, or whose VM is leaving or gone.
    ///
    /// `wall` is the wall-clock time, on which drains are scheduled.
    pub fn update_drains(
        &mut self,
        snapshot: &snapshot::Snapshot,
        vms: &vms::List,
        wall: SystemTime,
    ) {
        for stored in snapshot.services.values() {
            for spec in &stored.spec.upstreams {
                let drains = snapshot.drains.values();
                let has_drain = drains.into_iter().any(|d| d.spec.covers(spec, wall));
                let leaving = vms.is_leaving(spec.address.ip()) || vms.is_gone(spec.address.ip());
                let key = key_of(&stored.spec.name, &spec.name);
                if let Some(upstream) = self.upstreams.get_mut(&key) {
                    upstream.is_drained = has_drain || leaving;
                }
            }
        }
    }

    /// Applies the result of a probe (`None` if it got no answer); a restarted upstream is cold.
    pub fn record_probe(&mut self, key: &upstream::Key, report: Option<&report::Report>) {
        let Some(upstream) = self.upstreams.get_mut(key) else { return };
        if upstream.health.record_probe(report) {
            upstream.slow_start = slow_start::SlowStart::cold();
        }
    }

    /// Applies the statement that an upstream made about itself in an answer.
    pub fn record_statement(
        &mut self,
        key: &upstream::Key,
        statement: &statement::Statement,
        now: Instant,
    ) {
        if let Some(upstream) = self.upstreams.get_mut(key) {
            upstream.health.record_statement(statement, now);
        }
    }

    fn configure_service(
        &mut self,
        spec: &sync::Arc<service::Service>,
        region: &id::Region,
        is_first: bool,
    ) {
        let served = self.services.entry(spec.name.clone()).or_insert_with(|| ServiceState {
            spec: sync::Arc::clone(spec),
            queue: queue::Queue::default(),
            rates: rates::Rates::default(),
            latency: latency::Mean::default(),
        });
        served.spec = sync::Arc::clone(spec);
        for declared in spec.upstreams.iter().filter(|u| u.region == *region) {
            let key = key_of(&spec.name, &declared.name);
            let upstream =
                self.upstreams.entry(key).or_insert_with(|| new_upstream(declared, is_first));
            upstream.is_declared = true;
            upstream.ledger.slots = declared.slots;
            if upstream.address != declared.address {
                upstream.address = declared.address;
                upstream.slow_start = slow_start::SlowStart::cold();
                upstream.health = health::Health::default();
            }
        }
    }
}

fn key_of(service: &id::Service, upstream: &id::Upstream) -> upstream::Key {
    upstream::Key { service: service.clone(), upstream: upstream.clone() }
}

fn new_upstream(declared: &upstream::Upstream, is_warm: bool) -> owned::Upstream {
    let slow_start = match is_warm {
        true => slow_start::SlowStart::warm(),
        false => slow_start::SlowStart::cold(),
    };
    owned::Upstream {
        address: declared.address,
        hall: declared.hall.clone(),
        ledger: ledger::Ledger::new(declared.slots, allotment::Allotment::none()),
        slow_start,
        health: health::Health::default(),
        is_drained: false,
        is_declared: true,
    }
}
