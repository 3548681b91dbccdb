//! Connectivity: passes connections, their failures and the results of checks to the rule.
//!
//! [`connectivity`] implements the rule.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::connectivity::service::{Access, Change, SUSPECT_UPSTREAMS};
use crate::dispatch::connectivity::{report, sample};
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::upstream;

/// A check that is to be made: connections to some upstreams of a service, without a request.
#[derive(Clone, Debug)]
pub struct Check {
    /// The service.
    pub service: id::Service,
    /// The upstreams.
    pub upstreams: Vec<sync::Arc<discovery::Entry>>,
}

impl Dispatcher {
    /// Records that a request opened a connection to an upstream.
    pub fn record_connection(&mut self, upstream: &discovery::Entry) {
        self.connectivity.record_connection(&upstream.service);
    }

    /// Records that a connection to an upstream could not be opened or was closed; returns whether a
    /// check is due.
    pub fn record_connection_failure(&mut self, upstream: &discovery::Entry, now: Instant) -> bool {
        let usable = self.checkable(&upstream.service, now).take(SUSPECT_UPSTREAMS).count();
        self.connectivity.record_failure(&upstream.service, &upstream.id, usable, now)
    }

    /// Returns how requests for a service may be sent.
    #[must_use]
    pub fn access(&self, service: &id::Service, now: Instant) -> Access {
        self.connectivity.access(service, now)
    }

    /// Returns the checks that are due, and records that they begin.
    pub fn begin_checks(&mut self, draw: sample::Draw<'_>, now: Instant) -> Vec<Check> {
        let due: Vec<id::Service> = self.connectivity.due(now).cloned().collect();
        let mut checks = Vec::with_capacity(due.len());
        for service in due {
            self.connectivity.begin_check(&service, now);
            let sample = sample::take(self.checkable(&service, now), draw, now);
            let upstreams = sample.into_iter().map(|u| sync::Arc::clone(&u.entry)).collect();
            checks.push(Check { service, upstreams });
        }
        checks
    }

    /// Records whether any upstream of a check could be connected to.
    ///
    /// Where a service is lost, the others are checked too: a node is usually cut off from all.
    pub fn end_check(&mut self, service: &id::Service, is_connected: bool) -> Option<Change> {
        let change = self.connectivity.end_check(service, is_connected);
        if change == Some(Change::Lost) {
            let reached =
                |other: &&id::Service| !self.connectivity.unreached().any(|s| s == *other);
            let others: Vec<id::Service> =
                self.upstreams.services().filter(reached).cloned().collect();
            others.iter().for_each(|other| self.connectivity.suspect(other));
        }
        change
    }

    /// Returns whether a check is due, after applying what time changes.
    pub fn is_check_due(&mut self, now: Instant) -> bool {
        for service in self.silent_services(now) {
            self.connectivity.suspect(&service);
        }
        let upstreams = &self.upstreams;
        self.connectivity.retain(|service| upstreams.of_service(service).next().is_some());
        self.connectivity.due(now).next().is_some()
    }

    /// Returns the services whose upstreams with requests in flight are all silent or ejected.
    fn silent_services(&self, now: Instant) -> Vec<id::Service> {
        let busy = self.busy.iter().filter_map(|name| self.upstreams.get(name));
        let mut services: collections::BTreeMap<&id::Service, (usize, bool)> =
            collections::BTreeMap::new();
        for upstream in busy.filter(|upstream| upstream.load.in_flight() > 0) {
            let service = &upstream.entry.service;
            let mean = self.work.get(service).copied().unwrap_or_default().mean();
            let (count, is_silent) = services.entry(service).or_insert((0, true));
            *count += 1;
            *is_silent &= !upstream.health.is_healthy(mean, now);
        }
        let is_suspect =
            |(count, is_silent): &(usize, bool)| *is_silent && *count >= SUSPECT_UPSTREAMS;
        let suspect = services.into_iter().filter(|(_, state)| is_suspect(state));
        suspect.map(|(service, _)| service.clone()).collect()
    }

    /// Returns the services that this node cannot connect to, as it tells other nodes.
    #[must_use]
    pub fn connectivity_report(&self) -> report::Report {
        report::Report::new(self.connectivity.unreached(), self.upstreams.services().count())
    }

    /// Returns the time since a service was lost, or `None` if it is reached.
    #[must_use]
    pub fn unreached_for(&self, service: &id::Service, now: Instant) -> Option<Duration> {
        self.connectivity.unreached_for(service, now)
    }

    /// Iterates over the services that this node cannot connect to.
    pub fn unreached_services(&self) -> impl Iterator<Item = &id::Service> {
        self.connectivity.unreached()
    }

    /// Returns a sample of the upstreams of all services, except `upstream`.
    #[must_use]
    pub fn others_than(
        &self,
        upstream: &discovery::Entry,
        draw: sample::Draw<'_>,
        now: Instant,
    ) -> Vec<sync::Arc<discovery::Entry>> {
        let services = self.upstreams.services();
        let others = services.flat_map(|service| self.checkable(service, now));
        let others = others.filter(|u| u.entry.address != upstream.address);
        let sample = sample::take(others, draw, now);
        sample.into_iter().map(|u| sync::Arc::clone(&u.entry)).collect()
    }

    /// Iterates over the upstreams of a service that may be connected to in a check.
    fn checkable(
        &self,
        service: &id::Service,
        now: Instant,
    ) -> impl Iterator<Item = &upstream::Upstream> {
        let of_service = self.upstreams.of_service(service);
        of_service.filter(move |u| eligibility::takes_work(u, &self.evacuated, now))
    }
}
