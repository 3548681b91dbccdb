//! Demand of regions: this node's measured rates, and those that other nodes report.

use std::mem;
use std::time::Instant;

use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::region::demand::{self, report};
use crate::dispatch::region::shift;

impl Dispatcher {
    /// Sets whether splits follow the demand of regions.
    pub fn set_demand_mode(&mut self, mode: demand::Mode) {
        self.demand.set_mode(mode);
    }

    /// Returns this node's demand, if a report of it is due.
    ///
    /// Only for services with upstreams in several regions; the others have no split.
    pub fn own_demand(&mut self, now: Instant) -> Vec<report::Rate> {
        let upstreams = &self.upstreams;
        self.demand.report(&self.position.region, |service| upstreams.is_split(service), now)
    }

    /// Returns the sum of the demand that the nodes selected by `wanted` reported, if `timer` is due.
    #[must_use]
    pub fn peer_demand(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        timer: &mut report::Timer,
        now: Instant,
    ) -> Vec<report::Rate> {
        self.demand.report_sum(wanted, timer, now)
    }

    /// Replaces the demand that another node, or a sum of several, reported.
    pub fn set_peer_demand(&mut self, node: id::Node, rates: Vec<report::Rate>, now: Instant) {
        self.demand.receive(node, rates, now);
    }

    /// Returns the demand of regions, for the state dump.
    #[must_use]
    pub fn demand(&self) -> &demand::Demand {
        &self.demand
    }

    /// Updates the forecasts of demand.
    pub(super) fn tick_demand(&mut self, now: Instant) {
        let regions = self.position.allowed_regions(&[]);
        let limit = shift::limit(&self.bounds);
        let mut demand = mem::take(&mut self.demand);
        let services = self.upstreams.services().filter(|service| self.upstreams.is_split(service));
        let capacity = |service: &id::Service| demand::Capacity {
            regions: self.capacities(service, regions.clone(), now),
            work: self.work.get(service).copied().unwrap_or_default().mean(),
        };
        demand.tick(&self.position.region, &regions, services, limit, capacity, now);
        self.demand = demand;
    }
}
