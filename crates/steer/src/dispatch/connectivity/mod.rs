//! Connectivity: whether this node can connect to the upstreams of each service.
//!
//! Health judges each upstream alone, and only by requests. A node that is cut off from all
//! upstreams would eject one after the other and try them again with its callers' requests. This
//! rule concludes from failures at several upstreams that the node itself may be cut off, and has
//! that checked ([`service`]): the gateway connects to a few upstreams of the service ([`sample`])
//! without sending a request. While none can be connected to, requests are refused at once, other
//! nodes are told ([`report`]), and [`lookup`] returns nodes that can connect. Only checks find out
//! that the service can be connected to again.
//!
//! A node that is cut off and a service whose upstreams are all down are not told apart. In the
//! second case all nodes report the same, and look-ups return them as if none did.
//!
//! [`lookup`]: crate::dispatch::fleet::lookup

pub mod report;
pub mod sample;
pub mod service;

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::connectivity::service::{Access, Change};

/// Connectivity of the services at which something failed.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    services: collections::BTreeMap<id::Service, service::Service>,
}

impl Connectivity {
    /// Records a failed connection to one of `usable` upstreams of a service; returns whether a
    /// check is due.
    pub fn record_failure(
        &mut self,
        service: &id::Service,
        upstream: &id::Upstream,
        usable: usize,
        now: Instant,
    ) -> bool {
        let service = self.services.entry(service.clone()).or_default();
        service.record_failure(upstream, usable);
        service.is_check_due(now)
    }

    /// Records that a request of a service opened a connection.
    pub fn record_connection(&mut self, service: &id::Service) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_connection();
        }
    }

    /// Records a response of an upstream of a service.
    pub fn record_response(&mut self, service: &id::Service, now: Instant) {
        if let Some(service) = self.services.get_mut(service) {
            service.record_response(now);
        }
    }

    /// Requests a check of a service that may not be reached.
    pub fn suspect(&mut self, service: &id::Service) {
        self.services.entry(service.clone()).or_default().suspect();
    }

    /// Iterates over the services whose check is due.
    pub fn due(&self, now: Instant) -> impl Iterator<Item = &id::Service> {
        self.services.iter().filter(move |(_, s)| s.is_check_due(now)).map(|(name, _)| name)
    }

    /// Records that a check of a service begins.
    pub fn begin_check(&mut self, service: &id::Service, now: Instant) {
        self.services.entry(service.clone()).or_default().begin_check(now);
    }

    /// Records the result of a check of a service.
    pub fn end_check(&mut self, service: &id::Service, is_connected: bool) -> Option<Change> {
        self.services.get_mut(service)?.end_check(is_connected)
    }

    /// Returns how requests for a service may be sent.
    #[must_use]
    pub fn access(&self, service: &id::Service, now: Instant) -> Access {
        self.services.get(service).map_or(Access::Full, |service| service.access(now))
    }

    /// Returns the time since a service was lost, or `None` if it is reached.
    #[must_use]
    pub fn unreached_for(&self, service: &id::Service, now: Instant) -> Option<Duration> {
        self.services.get(service)?.unreached_for(now)
    }

    /// Iterates over the services that cannot be connected to.
    pub fn unreached(&self) -> impl Iterator<Item = &id::Service> {
        self.services.iter().filter(|(_, s)| !s.is_reached()).map(|(name, _)| name)
    }

    /// Forgets the services that do not satisfy `is_known`.
    pub fn retain(&mut self, is_known: impl Fn(&id::Service) -> bool) {
        self.services.retain(|name, _| is_known(name));
    }
}
