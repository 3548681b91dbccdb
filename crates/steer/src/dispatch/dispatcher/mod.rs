//! The dispatcher of a node: what it knows, and what it is told.

mod regions;
mod selection;

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::bounds;
use model::endpoint;
use model::id;
use model::route;
use model::routing;

use crate::common::ramp;
use crate::common::split;
use crate::dispatch::backend;
use crate::dispatch::cold;
use crate::dispatch::lapse;
use crate::dispatch::outcome;
use crate::dispatch::peers;
use crate::dispatch::retries;
use crate::dispatch::round_robin;
use crate::dispatch::spill;
use crate::dispatch::work;

/// Where a node stands.
#[derive(Clone, Debug)]
pub struct Position {
    /// Its name.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Regions of all halls.
    pub halls: collections::BTreeMap<id::Hall, id::Region>,
}

/// The rotation over regions of requests that the same regions may serve.
#[derive(Clone, Debug, Default)]
struct Rotation {
    ramp: ramp::Limiter,
    round_robin: round_robin::RoundRobin<id::Region>,
}

/// A service, and the regions that may serve it; all when empty.
type Scope = (id::Service, Vec<id::Region>);

/// Decides which upstream takes a request.
#[derive(Clone, Debug)]
pub struct Dispatcher {
    position: Position,
    bounds: bounds::Bounds,
    routing: sync::Arc<routing::Routing>,
    evacuated: collections::BTreeSet<id::Hall>,
    backends: collections::BTreeMap<id::Upstream, backend::Backend>,
    services: collections::BTreeMap<id::Service, Vec<id::Upstream>>,
    work: collections::BTreeMap<id::Service, work::Work>,
    budgets: collections::BTreeMap<id::Service, retries::Budget>,
    rotations: collections::BTreeMap<Scope, Rotation>,
    parts: collections::BTreeMap<id::Route, round_robin::RoundRobin<id::Service>>,
    peers: peers::Peers,
    spill: spill::Spill,
    lapse: lapse::Lapse,
    owners: cold::Owners,
    most_nodes: usize,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no upstream yet.
    #[must_use]
    pub fn new(position: Position, bounds: bounds::Bounds) -> Self {
        let near = vec![position.node.clone()];
        Self {
            position,
            bounds,
            routing: sync::Arc::default(),
            evacuated: collections::BTreeSet::new(),
            backends: collections::BTreeMap::new(),
            services: collections::BTreeMap::new(),
            work: collections::BTreeMap::new(),
            budgets: collections::BTreeMap::new(),
            rotations: collections::BTreeMap::new(),
            parts: collections::BTreeMap::new(),
            peers: peers::Peers::default(),
            spill: spill::Spill::default(),
            lapse: lapse::Lapse::default(),
            owners: cold::Owners { near, ..cold::Owners::default() },
            most_nodes: 1,
        }
    }

    /// Takes a new configuration into force.
    pub fn configure(&mut self, routing: sync::Arc<routing::Routing>) {
        let names: collections::BTreeSet<_> = routing.routes().map(|r| r.name.clone()).collect();
        self.parts.retain(|name, _| names.contains(name));
        self.routing = routing;
    }

    /// Takes the nodes among which cold upstreams are shared out, and the most that the fleet may have.
    pub fn set_nodes(&mut self, owners: cold::Owners, known: usize) {
        self.most_nodes = self.most_nodes.max(owners.near.len()).max(known);
        self.owners = owners;
    }

    /// Returns what the `wanted` ones of other nodes have in flight together.
    #[must_use]
    pub fn peer_load(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Vec<(peers::Key, u32)> {
        self.peers.sum(wanted, now)
    }

    /// Takes what another node has in flight.
    pub fn set_peer_load(
        &mut self,
        node: id::Node,
        requests: Vec<(peers::Key, u32)>,
        now: Instant,
    ) {
        self.peers.tell(node, requests, now);
        self.spread_peer_load(now);
    }

    /// Returns what this node has in flight.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(peers::Key, u32)> {
        let busy = self.backends.values().filter(|b| b.load.in_flight() > 0);
        busy.map(|b| (peers::Key::of(&b.endpoint.id), b.load.in_flight())).collect()
    }

    fn spread_peer_load(&mut self, now: Instant) {
        let totals = self.peers.totals(now);
        for backend in self.backends.values_mut() {
            let key = peers::Key::of(&backend.endpoint.id);
            backend.load.set_peers(totals.get(&key).copied().unwrap_or_default());
        }
    }

    /// Takes what service discovery tells.
    pub fn set_endpoints(
        &mut self,
        endpoints: impl Iterator<Item = sync::Arc<endpoint::Endpoint>>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.backends);
        let known = before.len();
        for endpoint in endpoints {
            let id = endpoint.id.clone();
            let backend = match before.remove(&id) {
                Some(known) => renewed(known, endpoint, now),
                None => {
                    let region = self.region_of(&endpoint.hall);
                    backend::Backend::new(endpoint, region, now)
                }
            };
            self.backends.insert(id, backend);
        }
        before.retain(|_, backend| backend.is_usable());
        let until = self.lapse.used_until(before.len(), known, &self.bounds, now);
        for (id, mut backend) in before {
            backend.lapsed_until = backend.lapsed_until.or(until);
            if backend.lapsed_until.is_some() {
                self.backends.insert(id, backend);
            }
        }
        self.list_services();
    }

    /// Lists the upstreams of each service anew.
    fn list_services(&mut self) {
        self.services.clear();
        for (id, backend) in &self.backends {
            let service = backend.endpoint.service.clone();
            self.services.entry(service).or_default().push(id.clone());
        }
    }

    /// Drops upstreams whose entries lapsed and did not come back.
    fn drop_lapsed(&mut self, now: Instant) {
        let known = self.backends.len();
        self.backends.retain(|_, b| b.lapsed_until.is_none_or(|until| now < until));
        if self.backends.len() < known {
            self.list_services();
        }
    }

    /// Returns whether `endpoints` are other than those known.
    #[must_use]
    pub fn differs(&self, endpoints: &[sync::Arc<endpoint::Endpoint>]) -> bool {
        let is_known = |e: &sync::Arc<endpoint::Endpoint>| {
            self.backends
                .get(&e.id)
                .is_some_and(|known| known.endpoint == *e && known.lapsed_until.is_none())
        };
        let listed = self.backends.values().filter(|b| b.lapsed_until.is_none()).count();
        endpoints.len() != listed || !endpoints.iter().all(is_known)
    }

    /// Returns how many upstreams are used though their entries went.
    #[must_use]
    pub fn lapsed(&self) -> usize {
        self.backends.values().filter(|b| b.lapsed_until.is_some()).count()
    }

    /// Notes a sign that the source of entries is away, or was until now.
    pub fn source_disturbed(&mut self, now: Instant) {
        self.lapse.source_disturbed(now);
    }

    /// Returns the halls whose upstreams get nothing more.
    #[must_use]
    pub fn evacuated(&self) -> &collections::BTreeSet<id::Hall> {
        &self.evacuated
    }

    /// Takes the halls whose upstreams get nothing more.
    ///
    /// Upstreams of a hall that is taken back count as cold, since they may be.
    pub fn set_evacuated(&mut self, halls: collections::BTreeSet<id::Hall>, now: Instant) {
        let returned: Vec<id::Hall> = self.evacuated.difference(&halls).cloned().collect();
        for backend in self.backends.values_mut() {
            if returned.contains(&backend.endpoint.hall) {
                let rules = self.routing.services.get(&backend.endpoint.service);
                backend.cold.cold_for(rules.map_or(Duration::ZERO, |r| r.cold_start), now);
            }
        }
        self.evacuated = halls;
    }

    /// Lets time pass: splits move toward their targets.
    pub fn tick(&mut self, now: Instant) {
        self.drop_lapsed(now);
        self.spread_peer_load(now);
        let limit = self.shift_limit();
        let scopes: Vec<Scope> = self.rotations.keys().cloned().collect();
        for scope in scopes {
            let target = self.target(&scope, now);
            if let Some(rotation) = self.rotations.get_mut(&scope) {
                regions::advance(rotation, &target, limit, now);
            }
        }
    }

    /// Returns the service that takes the next request of a route, by the weights of its parts.
    pub fn pick_service(&mut self, route: &route::Route) -> Option<id::Service> {
        if let [part] = route.parts.as_slice() {
            return Some(part.service.clone());
        }
        let weights: Vec<_> =
            route.parts.iter().map(|p| (p.service.clone(), f64::from(p.weight))).collect();
        match self.parts.get_mut(&route.name) {
            Some(round_robin) => round_robin.next(&weights),
            None => self.parts.entry(route.name.clone()).or_default().next(&weights),
        }
    }

    /// Returns whether a request may be sent to one more upstream of `service`, and counts it.
    pub fn may_retry(&mut self, service: &id::Service, now: Instant) -> bool {
        let allowance = self.allowance();
        self.budgets.entry(service.clone()).or_default().retry(allowance, now)
    }

    /// Notes that a request is sent to `upstream`, for the first time or again.
    ///
    /// Returns how many times the work of one request passes until it is done, as far as known.
    pub fn sent(&mut self, upstream: &id::Upstream, is_first: bool, now: Instant) -> f64 {
        let allowance = self.allowance();
        let Some(backend) = self.backends.get_mut(upstream) else { return 1.0 };
        let crowding = backend.crowding(now);
        backend.health.sent(backend.load.in_flight(), now);
        backend.load.sent();
        let service = &backend.endpoint.service;
        if let Some(rate) = self.routing.services.get(service).and_then(|r| r.cold_rate)
            && backend.cold.is_cold(now)
        {
            backend.cold.take(rate, now);
        }
        if is_first {
            self.budgets.entry(service.clone()).or_default().first_try(allowance, now);
        }
        crowding
    }

    /// Notes how a try ended that [`Dispatcher::sent`] announced `waited` ago.
    pub fn ended(
        &mut self,
        upstream: &id::Upstream,
        outcome: outcome::Outcome,
        waited: Duration,
        now: Instant,
    ) {
        let Some(backend) = self.backends.get_mut(upstream) else { return };
        let service = self.work.entry(backend.endpoint.service.clone()).or_default();
        backend.load.ended();
        let in_flight = backend.load.in_flight();
        match outcome {
            outcome::Outcome::Answered { latency, crowding, load } => {
                let seconds = latency.as_secs_f64() / crowding.max(1.0);
                backend.health.answered(seconds, service.mean(), in_flight, now);
                service.note(seconds);
                if let Some(load) = load {
                    backend.load.tell(load, now);
                }
            }
            outcome::Outcome::TurnedAway { load } => {
                backend.health.heard(in_flight, now);
                if let Some(load) = load {
                    backend.load.tell(load, now);
                }
                backend.load.full(backend.endpoint.slots, now);
            }
            outcome::Outcome::Replaced => backend.is_replaced = true,
            outcome::Outcome::NotSent => backend.health.unreachable(now),
            outcome::Outcome::Broken => backend.health.broken(now),
            outcome::Outcome::TimedOut => backend.health.timed_out(waited, service.mean(), now),
            outcome::Outcome::Abandoned => {}
        }
        backend.health.ended(in_flight);
    }

    /// Returns the backends, for a look at the state.
    pub fn backends(&self) -> impl Iterator<Item = &backend::Backend> {
        self.backends.values()
    }

    /// Returns where the splits stand, for a look at the state.
    pub fn splits(&self) -> impl Iterator<Item = (&id::Service, &split::Split)> {
        self.rotations.iter().map(|((service, _), r)| (service, r.ramp.position()))
    }

    /// Returns whether any upstream is known.
    #[must_use]
    pub fn has_endpoints(&self) -> bool {
        !self.backends.is_empty()
    }

    fn region_of(&self, hall: &id::Hall) -> id::Region {
        match self.position.halls.get(hall) {
            Some(region) => region.clone(),
            None => id::Region::new(hall.as_str()),
        }
    }

    fn allowance(&self) -> retries::Allowance {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let nodes = self.most_nodes as f64;
        retries::Allowance {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack / nodes,
        }
    }
}

fn renewed(
    mut known: backend::Backend,
    endpoint: sync::Arc<endpoint::Endpoint>,
    now: Instant,
) -> backend::Backend {
    known.lapsed_until = None;
    if known.endpoint != endpoint {
        known.cold.cold_for(endpoint.cold_left, now);
        known.endpoint = endpoint;
    }
    known
}
