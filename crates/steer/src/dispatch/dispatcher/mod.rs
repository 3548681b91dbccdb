//! The dispatcher of a node: what it knows, and what it is told.

mod regions;
mod selection;

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::bounds;
use model::discovery;
use model::id;
use model::route;
use model::routing;

use crate::common::ramp;
use crate::common::split;
use crate::dispatch::cold;
use crate::dispatch::lapse;
use crate::dispatch::outcome;
use crate::dispatch::peers;
use crate::dispatch::retries;
use crate::dispatch::round_robin;
use crate::dispatch::spill;
use crate::dispatch::upstream;
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
    upstreams: collections::BTreeMap<id::Upstream, upstream::Upstream>,
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
            upstreams: collections::BTreeMap::new(),
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
        let busy = self.upstreams.values().filter(|b| b.load.in_flight() > 0);
        busy.map(|b| (peers::Key::of(&b.entry.id), b.load.in_flight())).collect()
    }

    fn spread_peer_load(&mut self, now: Instant) {
        let totals = self.peers.totals(now);
        for upstream in self.upstreams.values_mut() {
            let key = peers::Key::of(&upstream.entry.id);
            upstream.load.set_peers(totals.get(&key).copied().unwrap_or_default());
        }
    }

    /// Takes what service discovery tells.
    pub fn set_upstreams(
        &mut self,
        entries: impl Iterator<Item = sync::Arc<discovery::Entry>>,
        now: Instant,
    ) {
        let mut before = std::mem::take(&mut self.upstreams);
        let known = before.len();
        for entry in entries {
            let id = entry.id.clone();
            let upstream = match before.remove(&id) {
                Some(known) => renewed(known, entry, now),
                None => {
                    let region = self.region_of(&entry.hall);
                    upstream::Upstream::new(entry, region, now)
                }
            };
            self.upstreams.insert(id, upstream);
        }
        before.retain(|_, upstream| upstream.is_usable());
        let until = self.lapse.used_until(before.len(), known, &self.bounds, now);
        for (id, mut upstream) in before {
            upstream.lapsed_until = upstream.lapsed_until.or(until);
            if upstream.lapsed_until.is_some() {
                self.upstreams.insert(id, upstream);
            }
        }
        self.list_services();
    }

    /// Lists the upstreams of each service anew.
    fn list_services(&mut self) {
        self.services.clear();
        for (id, upstream) in &self.upstreams {
            let service = upstream.entry.service.clone();
            self.services.entry(service).or_default().push(id.clone());
        }
    }

    /// Drops upstreams whose entries lapsed and did not come back.
    fn drop_lapsed(&mut self, now: Instant) {
        let known = self.upstreams.len();
        self.upstreams.retain(|_, b| b.lapsed_until.is_none_or(|until| now < until));
        if self.upstreams.len() < known {
            self.list_services();
        }
    }

    /// Returns whether `entries` are other than those known.
    #[must_use]
    pub fn differs(&self, entries: &[sync::Arc<discovery::Entry>]) -> bool {
        let is_known = |e: &sync::Arc<discovery::Entry>| {
            self.upstreams
                .get(&e.id)
                .is_some_and(|known| known.entry == *e && known.lapsed_until.is_none())
        };
        let listed = self.upstreams.values().filter(|b| b.lapsed_until.is_none()).count();
        entries.len() != listed || !entries.iter().all(is_known)
    }

    /// Returns how many upstreams are used though their entries went.
    #[must_use]
    pub fn lapsed(&self) -> usize {
        self.upstreams.values().filter(|b| b.lapsed_until.is_some()).count()
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
        for upstream in self.upstreams.values_mut() {
            if returned.contains(&upstream.entry.hall) {
                let rules = self.routing.services.get(&upstream.entry.service);
                upstream.cold.cold_for(rules.map_or(Duration::ZERO, |r| r.cold_start), now);
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
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return 1.0 };
        let crowding = upstream.crowding(now);
        upstream.health.sent(upstream.load.in_flight(), now);
        upstream.load.sent();
        let service = &upstream.entry.service;
        if let Some(rate) = self.routing.services.get(service).and_then(|r| r.cold_rate)
            && upstream.cold.is_cold(now)
        {
            upstream.cold.take(rate, now);
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
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return };
        let service = self.work.entry(upstream.entry.service.clone()).or_default();
        upstream.load.ended();
        let in_flight = upstream.load.in_flight();
        match outcome {
            outcome::Outcome::Answered { latency, crowding, load } => {
                let seconds = latency.as_secs_f64() / crowding.max(1.0);
                upstream.health.answered(seconds, service.mean(), in_flight, now);
                service.note(seconds);
                if let Some(load) = load {
                    upstream.load.tell(load, now);
                }
            }
            outcome::Outcome::TurnedAway { load } => {
                upstream.health.heard(in_flight, now);
                if let Some(load) = load {
                    upstream.load.tell(load, now);
                }
                upstream.load.full(upstream.entry.slots, now);
            }
            outcome::Outcome::Replaced => upstream.is_replaced = true,
            outcome::Outcome::NotSent => upstream.health.unreachable(now),
            outcome::Outcome::Broken => upstream.health.broken(now),
            outcome::Outcome::TimedOut => upstream.health.timed_out(waited, service.mean(), now),
            outcome::Outcome::Abandoned => {}
        }
        upstream.health.ended(in_flight);
    }

    /// Returns the upstreams, for a look at the state.
    pub fn upstreams(&self) -> impl Iterator<Item = &upstream::Upstream> {
        self.upstreams.values()
    }

    /// Returns where the splits stand, for a look at the state.
    pub fn splits(&self) -> impl Iterator<Item = (&id::Service, &split::Split)> {
        self.rotations.iter().map(|((service, _), r)| (service, r.ramp.position()))
    }

    /// Returns whether any upstream is known.
    #[must_use]
    pub fn has_upstreams(&self) -> bool {
        !self.upstreams.is_empty()
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
    mut known: upstream::Upstream,
    entry: sync::Arc<discovery::Entry>,
    now: Instant,
) -> upstream::Upstream {
    known.lapsed_until = None;
    if known.entry != entry {
        known.cold.cold_for(entry.cold_left, now);
        known.entry = entry;
    }
    known
}
