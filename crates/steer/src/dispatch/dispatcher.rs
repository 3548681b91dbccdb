//! The dispatcher of a node.

use std::cmp;
use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::bounds;
use model::endpoint;
use model::id;
use model::route;
use model::routing;
use xxhash_rust::xxh3;

use crate::dispatch::ask;
use crate::dispatch::backend;
use crate::dispatch::cold;
use crate::dispatch::outcome;
use crate::dispatch::peers;
use crate::dispatch::refusal;
use crate::dispatch::retries;
use crate::dispatch::round_robin;
use crate::dispatch::shares;
use crate::dispatch::spill;
use crate::dispatch::work;
use crate::ramp;
use crate::split;

/// Window in which the share that changes region is bounded.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Part of the bound that planned moves use; the rest is for the grain of requests.
const SHIFT_USED: f64 = 0.5;

/// Part of the bound that requests may use which leave a crowded region by themselves.
const SPILL_USED: f64 = 0.3;

/// Wait that makes a region crowded, as a part of the time within which an answer is wanted.
const CROWDED: f64 = 0.5;

/// Wait, in seconds, by which another region must be better to be worth the way.
const WORTH_THE_WAY: f64 = 0.1;

/// Requests that a region may be ahead of its share, so that those about one object go alike.
const MOST_LEAD: f64 = 5.0;

/// Cost of an object's second upstream against its first, which knows the object.
const SECOND_COST: f64 = 1.25;

/// Cost of an upstream that has probably not seen the object.
const FURTHER_COST: f64 = 2.5;

/// Cost of an upstream all of whose tries broke, against a sound one.
const FAILURE_COST: f64 = 6.0;

/// Shortest time after which a refused request is worth another try.
const SHORTEST_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Part of its slots with which a cold upstream counts toward its region.
const COLD_SLOTS: f64 = 0.3;

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

/// The best upstream of a region for a request.
#[derive(Clone, Debug)]
struct Candidate {
    id: id::Upstream,
    /// Time the request would wait, in seconds.
    wait: f64,
    /// A careful guess of the time until it would be done, in seconds.
    expected: f64,
}

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
    nodes: Vec<id::Node>,
    most_nodes: usize,
}

impl Dispatcher {
    /// Makes a dispatcher that knows no upstream yet.
    #[must_use]
    pub fn new(position: Position, bounds: bounds::Bounds) -> Self {
        let nodes = vec![position.node.clone()];
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
            nodes,
            most_nodes: 1,
        }
    }

    /// Takes a new configuration into force.
    pub fn configure(&mut self, routing: sync::Arc<routing::Routing>) {
        let names: collections::BTreeSet<_> = routing.routes().map(|r| r.name.clone()).collect();
        self.parts.retain(|name, _| names.contains(name));
        self.routing = routing;
    }

    /// Takes the living nodes, this one included, and the most that the fleet may have.
    pub fn set_nodes(&mut self, alive: Vec<id::Node>, known: usize) {
        self.most_nodes = self.most_nodes.max(alive.len()).max(known);
        self.nodes = alive;
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
        self.services.clear();
        for endpoint in endpoints {
            let id = endpoint.id.clone();
            let backend = match before.remove(&id) {
                Some(known) => renewed(known, endpoint, now),
                None => {
                    let region = self.region_of(&endpoint.hall);
                    backend::Backend::new(endpoint, region, now)
                }
            };
            let service = backend.endpoint.service.clone();
            self.services.entry(service).or_default().push(id.clone());
            self.backends.insert(id, backend);
        }
    }

    /// Returns whether `endpoints` are other than those known.
    #[must_use]
    pub fn differs(&self, endpoints: &[sync::Arc<endpoint::Endpoint>]) -> bool {
        let is_known = |e: &sync::Arc<endpoint::Endpoint>| {
            self.backends.get(&e.id).is_some_and(|known| known.endpoint == *e)
        };
        endpoints.len() != self.backends.len() || !endpoints.iter().all(is_known)
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
        self.spread_peer_load(now);
        let limit = self.shift_limit();
        let scopes: Vec<Scope> = self.rotations.keys().cloned().collect();
        for scope in scopes {
            let target = self.target(&scope, now);
            if let Some(rotation) = self.rotations.get_mut(&scope) {
                advance(rotation, &target, limit, now);
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

    /// Returns the upstream for a request; [`Dispatcher::sent`] must follow when it is sent.
    ///
    /// # Errors
    ///
    /// Fails when no upstream may take the request in its time.
    pub fn choose(
        &mut self,
        ask: &ask::Ask<'_>,
        now: Instant,
    ) -> Result<sync::Arc<endpoint::Endpoint>, refusal::Refusal> {
        if ask.tried.is_empty() {
            self.spill.earn(self.bounds.greatest_shift * SPILL_USED);
        }
        let regions = self.region_order(ask, now);
        let options = regions.iter().filter_map(|region| self.best_in(region, ask, now));
        let options: Vec<Candidate> = options.collect();
        let Some((own, others)) = options.split_first() else {
            return Err(refusal::Refusal::NoUpstream);
        };
        let chosen = self.spilled(own, others, ask).unwrap_or(own);
        let left = ask.left.as_secs_f64();
        // Where nothing waits, a try costs nobody anything, and its answer tells how long work takes.
        if chosen.wait > 0.0 && chosen.expected > left {
            let surplus = (chosen.expected - left).clamp(0.0, 1.0);
            let retry_after = SHORTEST_RETRY_AFTER.max(Duration::from_secs_f64(surplus));
            return Err(refusal::Refusal::Overloaded { retry_after });
        }
        let backend = self.backends.get(&chosen.id).ok_or(refusal::Refusal::NoUpstream)?;
        Ok(sync::Arc::clone(&backend.endpoint))
    }

    /// Returns the upstream of another region that is so much less crowded than the request's own
    /// that the request should go there, if the bound on shifts allows.
    fn spilled<'a>(
        &mut self,
        own: &Candidate,
        others: &'a [Candidate],
        ask: &ask::Ask<'_>,
    ) -> Option<&'a Candidate> {
        if own.wait <= ask.route.target_latency.as_secs_f64() * CROWDED {
            return None;
        }
        let by_wait = |a: &&Candidate, b: &&Candidate| {
            a.wait.partial_cmp(&b.wait).unwrap_or(cmp::Ordering::Equal)
        };
        let best = others.iter().min_by(by_wait)?;
        let is_worth = best.wait + WORTH_THE_WAY < own.wait;
        (is_worth && self.spill.take()).then_some(best)
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

    fn shift_limit(&self) -> ramp::Limit {
        let share = self.bounds.greatest_shift * SHIFT_USED;
        let share = split::Split::new(&[
            (id::Region::new("moved"), share),
            (id::Region::new("kept"), (1.0 - share).max(0.0)),
        ])
        .share(&id::Region::new("moved"));
        ramp::Limit { share: model::fraction::Fraction(share), window: SHIFT_WINDOW }
    }

    /// Returns the regions for a request, the one whose turn it is first.
    fn region_order(&mut self, ask: &ask::Ask<'_>, now: Instant) -> Vec<id::Region> {
        let scope: Scope = (ask.service.clone(), ask.route.home_regions.clone());
        if !self.rotations.contains_key(&scope) {
            let target = self.target(&scope, now);
            let rotation = Rotation { ramp: ramp::Limiter::new(target), ..Rotation::default() };
            self.rotations.insert(scope.clone(), rotation);
        }
        let limit = self.shift_limit();
        let is_empty = self.rotations.get(&scope).is_none_or(|r| r.ramp.position().is_empty());
        if is_empty {
            let target = self.target(&scope, now);
            if let Some(rotation) = self.rotations.get_mut(&scope) {
                advance(rotation, &target, limit, now);
            }
        }
        let Some(rotation) = self.rotations.get_mut(&scope) else { return Vec::new() };
        let mut weights: Vec<(id::Region, f64)> = rotation
            .ramp
            .position()
            .parts()
            .map(|(region, part)| (region.clone(), f64::from(part)))
            .collect();
        let first = match (ask.tried.is_empty(), ask.route.is_sticky) {
            (true, true) => {
                let wanted = by_affinity(ask.key, &weights);
                rotation.round_robin.prefer(&weights, &wanted, MOST_LEAD)
            }
            (true, false) => rotation.round_robin.next(&weights),
            (false, _) => None,
        };
        weights.sort_by(|a, b| b.1.partial_cmp(&a.1).unwrap_or(cmp::Ordering::Equal));
        let mut order: Vec<id::Region> = first.into_iter().collect();
        for region in weights.into_iter().map(|(r, _)| r).chain(self.allowed(&scope.1)) {
            if !order.contains(&region) {
                order.push(region);
            }
        }
        order
    }

    /// Returns the regions that may serve a route with these homes.
    fn allowed(&self, homes: &[id::Region]) -> Vec<id::Region> {
        let all: collections::BTreeSet<_> = self.position.halls.values().cloned().collect();
        match homes {
            [] => all.into_iter().collect(),
            homes => homes.to_vec(),
        }
    }

    fn target(&self, (service, homes): &Scope, now: Instant) -> split::Split {
        let capacities: Vec<shares::Capacity> = self
            .allowed(homes)
            .into_iter()
            .map(|region| {
                let slots = self.slots(service, &region, now);
                shares::Capacity { region, slots }
            })
            .collect();
        shares::target(&self.position.region, &capacities)
    }

    /// Returns the slots of a region's upstreams that take work.
    fn slots(&self, service: &id::Service, region: &id::Region, now: Instant) -> f64 {
        let of_service = self.services.get(service).into_iter().flatten();
        of_service
            .filter_map(|id| self.backends.get(id))
            .filter(|b| b.region == *region && self.takes_work(b))
            .map(|b| {
                f64::from(b.endpoint.slots) * if b.cold.is_cold(now) { COLD_SLOTS } else { 1.0 }
            })
            .sum()
    }

    fn takes_work(&self, backend: &backend::Backend) -> bool {
        backend.is_usable() && !self.evacuated.contains(&backend.endpoint.hall)
    }

    /// Returns whether a cold upstream may get one more request, from this node.
    fn may_warm(&self, backend: &backend::Backend, now: Instant) -> bool {
        let rules = self.routing.services.get(&backend.endpoint.service);
        let Some(rate) = rules.and_then(|r| r.cold_rate) else { return true };
        if !backend.cold.is_cold(now) {
            return true;
        }
        let owner = cold::owner(&backend.endpoint.id, self.nodes.iter());
        owner == Some(&self.position.node) && backend.cold.has_room(rate, now)
    }

    /// Returns the best upstream of a region.
    fn best_in(&self, region: &id::Region, ask: &ask::Ask<'_>, now: Instant) -> Option<Candidate> {
        let work = self.work.get(ask.service).copied().unwrap_or_default();
        let ids = self.services.get(ask.service)?;
        let mut candidates: Vec<(u64, &backend::Backend)> = ids
            .iter()
            .filter(|id| !ask.tried.contains(id))
            .filter_map(|id| self.backends.get(id))
            .filter(|b| b.region == *region && self.takes_work(b) && self.may_warm(b, now))
            .map(|b| (affinity(ask.key, &b.endpoint.id), b))
            .collect();
        candidates.sort_by_key(|(hash, _)| cmp::Reverse(*hash));
        let is_sound = |b: &backend::Backend| {
            !b.health.is_ejected(now) && !b.health.is_silent(work.mean(), now)
        };
        if candidates.iter().any(|(_, b)| is_sound(b)) {
            candidates.retain(|(_, b)| is_sound(b));
        }
        let mut best: Option<(&backend::Backend, f64)> = None;
        for (rank, (_, backend)) in candidates.iter().enumerate() {
            let cost = backend.expected(work.mean(), now)
                * affinity_cost(ask.route.is_sticky, rank)
                * (1.0 + backend.health.failures(now) * FAILURE_COST);
            if best.is_none_or(|(_, least)| cost < least) {
                best = Some((backend, cost));
            }
        }
        best.map(|(backend, _)| {
            let wait = backend.wait(work.mean(), now);
            let id = backend.endpoint.id.clone();
            Candidate { id, wait, expected: wait + work.careful() }
        })
    }
}

/// Returns how much dearer an upstream is than the one that knows the object best.
fn affinity_cost(is_sticky: bool, rank: usize) -> f64 {
    match (is_sticky, rank) {
        (false, _) | (true, 0) => 1.0,
        (true, 1) => SECOND_COST,
        (true, _) => FURTHER_COST,
    }
}

/// Returns regions in the order in which an object prefers them, each first for its share of objects.
///
/// Weighted rendezvous hashing: a share that changes moves the least number of objects.
fn by_affinity(key: u64, weights: &[(id::Region, f64)]) -> Vec<id::Region> {
    let mut scored: Vec<(f64, &id::Region)> = weights
        .iter()
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(region, weight)| (score(key, region, *weight), region))
        .collect();
    scored.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(cmp::Ordering::Equal));
    scored.into_iter().map(|(_, region)| region.clone()).collect()
}

fn score(key: u64, region: &id::Region, weight: f64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(region.as_str().as_bytes(), key);
    #[expect(clippy::cast_precision_loss, reason = "a uniform number is all that is wanted")]
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}

fn affinity(key: u64, upstream: &id::Upstream) -> u64 {
    xxh3::xxh3_64_with_seed(upstream.as_str().as_bytes(), key)
}

fn renewed(
    mut known: backend::Backend,
    endpoint: sync::Arc<endpoint::Endpoint>,
    now: Instant,
) -> backend::Backend {
    if known.endpoint != endpoint {
        known.cold.cold_for(endpoint.cold_left, now);
        known.endpoint = endpoint;
    }
    known
}

/// Moves a rotation toward its target; one that goes nowhere yet takes the target at once.
fn advance(rotation: &mut Rotation, target: &split::Split, limit: ramp::Limit, now: Instant) {
    if target.is_empty() {
        return;
    }
    match rotation.ramp.position().is_empty() {
        true => rotation.ramp = ramp::Limiter::new(target.clone()),
        false => {
            rotation.ramp.advance(target, Some(limit), now);
        }
    }
}
