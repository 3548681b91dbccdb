//! Dispatcher of a gateway: the state on which the dispatch rules operate.
//!
//! Owns the node's configuration, upstreams, splits, budgets and peer reports. It implements no rule
//! itself: `choice` applies the rules in order, and each event (the end of an attempt, a change in
//! service discovery, a peer report) is passed to the rules it affects. Never reads the clock; the
//! current time is passed in.

mod choice;
mod cold_checks;
pub mod connectivity;
mod demand;
mod peers;
mod regions;
mod reservations;
pub mod rollouts;
mod slot_state;
pub mod statements;
mod tries;
mod upstreams;

use std::collections;
use std::sync;
use std::time::Instant;

use model::bounds;
use model::id;
use model::routing;

use crate::common::split;
use crate::dispatch::connectivity::Connectivity;
use crate::dispatch::expected_processing_time;
use crate::dispatch::fleet::{freshness, repair};
use crate::dispatch::index;
use crate::dispatch::lapsed;
use crate::dispatch::leaving;
use crate::dispatch::overflow;
use crate::dispatch::pace;
use crate::dispatch::peer_load;
use crate::dispatch::position;
use crate::dispatch::priority;
use crate::dispatch::region::demand::Demand;
use crate::dispatch::region::distance;
use crate::dispatch::region::order;
use crate::dispatch::region::shift;
use crate::dispatch::reservation;
use crate::dispatch::rest;
use crate::dispatch::retry_budget;
use crate::dispatch::rollout;
use crate::dispatch::route;
use crate::dispatch::slots;
use crate::dispatch::slow_start_owner;
use crate::dispatch::upstream;
use crate::dispatch::upstream_limit;

/// Chooses an upstream for each request from the local state of its node.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    position: position::Position,
    bounds: bounds::Bounds,
    routing: sync::Arc<routing::Routing>,
    evacuated: collections::BTreeSet<id::Hall>,
    upstreams: index::Index,
    /// Upstreams that are used although their entries lapsed.
    lapsed: collections::BTreeSet<id::Upstream>,
    /// Upstreams that this node has or had requests in flight at.
    busy: collections::BTreeSet<id::Upstream>,
    /// Digest of the known upstreams that leave.
    leaving_digest: repair::Digest,
    work: collections::BTreeMap<id::Service, expected_processing_time::ProcessingTimes>,
    budgets: collections::BTreeMap<id::Service, retry_budget::Budget>,
    routes: route::Rotations,
    regions: collections::BTreeMap<order::Scope, order::Rotation>,
    distances: collections::BTreeMap<id::Service, distance::Distance>,
    peers: peer_load::PeerLoads,
    demand: Demand,
    paces: pace::Observations,
    /// Requests of other nodes that hold slots.
    peers_held: peer_load::PeerLoads,
    /// Asks that are queued at other nodes.
    queues: peer_load::PeerLoads,
    /// Upstreams with asks that are queued at this node.
    own_queued: Vec<peer_load::Key>,
    slots: slots::Mode,
    overflow: overflow::Bucket,
    source: lapsed::Source,
    owners: slow_start_owner::Owners,
    /// Whether this node's copy of the store is up to date.
    copy_status: freshness::Status,
    /// Whether the upstreams' slow start shares are those of the current nodes and entries.
    has_shares: bool,
    priorities: priority::Priorities,
    limits: upstream_limit::Limits,
    leavings: leaving::LeavingProcesses,
    rests: rest::RestPeriods,
    rollouts: rollout::Rollouts,
    connectivity: Connectivity,
    /// Room promised to refused callers; `None` if callers are promised nothing.
    reservations: Option<reservation::Schedule<id::Service>>,
    admissions: collections::BTreeMap<id::Service, reservations::Admissions>,
    max_nodes: usize,
}

impl Dispatcher {
    /// Creates a dispatcher without upstreams.
    #[must_use]
    pub fn new(position: position::Position, bounds: bounds::Bounds) -> Self {
        let near = vec![position.node.clone()];
        let limits = upstream_limit::Limits::new(position.node.clone());
        Self {
            position,
            bounds,
            routing: sync::Arc::default(),
            evacuated: collections::BTreeSet::new(),
            upstreams: index::Index::default(),
            lapsed: collections::BTreeSet::new(),
            busy: collections::BTreeSet::new(),
            leaving_digest: repair::Digest::default(),
            work: collections::BTreeMap::new(),
            budgets: collections::BTreeMap::new(),
            routes: route::Rotations::default(),
            regions: collections::BTreeMap::new(),
            distances: collections::BTreeMap::new(),
            peers: peer_load::PeerLoads::default(),
            demand: Demand::default(),
            paces: pace::Observations::default(),
            peers_held: peer_load::PeerLoads::default(),
            queues: peer_load::PeerLoads::default(),
            own_queued: Vec::new(),
            slots: slots::Mode::Off,
            overflow: overflow::Bucket::default(),
            source: lapsed::Source::default(),
            owners: slow_start_owner::Owners { near, ..slow_start_owner::Owners::default() },
            copy_status: freshness::Status::Current,
            has_shares: false,
            priorities: priority::Priorities::default(),
            limits,
            leavings: leaving::LeavingProcesses::default(),
            rests: rest::RestPeriods::default(),
            rollouts: rollout::Rollouts::default(),
            connectivity: Connectivity::default(),
            reservations: None,
            admissions: collections::BTreeMap::new(),
            max_nodes: 1,
        }
    }

    /// Replaces the configuration.
    pub fn configure(&mut self, routing: sync::Arc<routing::Routing>) {
        self.routes.retain(&routing.routes().map(|r| r.name.clone()).collect());
        self.priorities.configure(&routing);
        self.routing = routing;
    }

    /// Replaces the nodes that may own cold upstreams; `known` is the number of nodes in the fleet.
    ///
    /// The retry budget is divided by the highest number seen, so that a node's part does not grow
    /// when other nodes die.
    pub fn set_nodes(&mut self, owners: slow_start_owner::Owners, known: usize, now: Instant) {
        self.max_nodes = self.max_nodes.max(owners.near.len()).max(known);
        if self.owners != owners {
            self.owners = owners;
            self.has_shares = false;
            self.assign_slow_start_owners(now);
        }
    }

    /// Applies time-based changes: lapsed entries, outdated reports and moving splits.
    pub fn tick(&mut self, now: Instant) {
        self.drop_lapsed(now);
        self.expire_peer_load(now);
        self.expire_slot_reports(now);
        let upstreams = &self.upstreams;
        self.limits.tick(|key| upstreams.get_by_key(key).is_some(), now);
        self.leavings.tick(|process| upstreams.get(&process.upstream).is_some(), now);
        self.rests.tick(now);
        self.tick_demand(now);
        self.tick_reservations(now);
        let limit = shift::limit(&self.bounds);
        let scopes: Vec<order::Scope> = self.regions.keys().cloned().collect();
        for scope in scopes {
            let target = self.region_target(&scope, now);
            if let Some(rotation) = self.regions.get_mut(&scope) {
                rotation.advance(&target, limit, now);
            }
        }
    }

    /// Iterates over the upstreams, for the state dump.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.iter()
    }

    /// Iterates over the current splits between regions, for the state dump.
    pub fn splits(&self) -> impl Iterator<Item = (&id::Service, &split::Split)> {
        self.regions.iter().map(|(scope, rotation)| (&scope.service, rotation.split()))
    }
}
