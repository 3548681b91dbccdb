//! Discrete-event simulation of a deployment: upstreams with slots, a queue and an object cache.
//!
//! The gateways run the real dispatchers and report their loads to each other. All random values
//! derive from one seed and time is virtual, so a simulation is reproducible. Requests are not
//! retried: a refusal by an upstream ends them.

use std::cmp;
use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::{bounds, discovery, id, route, routing};
use rand::RngExt as _;
use rand::SeedableRng as _;
use steer::dispatch::{
    dispatcher, outcome, peer_load, position, request, seen_objects, slow_start_owner, urgency,
};

/// Interval between load reports, as between real gateways.
const REPORT_INTERVAL: Duration = Duration::from_millis(100);

/// Interval between ticks of a dispatcher, as in a real gateway.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Queue capacity of an upstream per slot, in requests.
const QUEUE_PER_SLOT: usize = 3;

/// Time for which a new upstream is cold.
const COLD_TIME: Duration = Duration::from_secs(3);

/// Requests per second that a cold upstream can handle.
const COLD_RATE: f64 = 3.8;

/// Processing time at a cold upstream, as a multiple of that at a warm one.
const COLD_WORK_FACTOR: f64 = 2.0;

/// A region with its number of upstreams and gateways.
#[derive(Clone, Debug)]
pub struct Region {
    pub name: &'static str,
    pub upstreams: usize,
    pub gateways: usize,
}

/// Load of one route.
#[derive(Clone, Debug)]
pub struct Load {
    pub route: route::Route,
    /// Requests per second in each region.
    pub rate: f64,
    /// Processing time if the upstream does not have the object cached.
    pub uncached_work: Duration,
    /// Processing time if the upstream has the object cached.
    pub cached_work: Duration,
    /// Number of objects that are requested in each region.
    pub objects: u64,
}

/// A deployment and its load.
#[derive(Clone, Debug)]
pub struct Plan {
    pub regions: Vec<Region>,
    pub slots: u32,
    /// Number of objects in an upstream's cache.
    pub cache_size: usize,
    /// One-way network latency between regions.
    pub latency: Duration,
    pub loads: Vec<Load>,
    pub duration: Duration,
    /// Time at the start that is excluded from the tallies.
    pub warm_up: Duration,
    /// Upstreams that are added during the simulation.
    pub join: Option<Join>,
}

/// Cold upstreams with empty caches that join every region at the same time. While cold, they
/// handle few requests and process them slowly.
#[derive(Clone, Debug)]
pub struct Join {
    pub at: Duration,
    /// Number of upstreams that join each region.
    pub upstreams: usize,
    /// Number of nodes per region that may own cold upstreams but receive no requests from callers.
    pub idle_owners: usize,
}

/// Results of the requests of one route that arrived in one region.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    pub total: u32,
    pub in_time: u32,
    pub late: u32,
    pub refused: u32,
    /// Requests for an object that was not in the upstream's cache.
    pub cache_misses: u32,
    /// Requests answered by upstreams that joined during the simulation.
    pub at_joined: u32,
}

impl Tally {
    pub fn share(&self, of: u32) -> f64 {
        f64::from(of) / f64::from(self.total.max(1))
    }
}

/// Tallies by route and region.
pub type Tallies = collections::BTreeMap<(String, &'static str), Tally>;

/// Returns the sum of a route's tallies over all regions.
pub fn of_route(tallies: &Tallies, route: &str) -> Tally {
    sum(tallies.iter().filter(|((name, _), _)| name == route).map(|(_, tally)| tally))
}

/// Returns the sum of a region's tallies over all routes.
pub fn of_region(tallies: &Tallies, region: &str) -> Tally {
    sum(tallies.iter().filter(|((_, name), _)| *name == region).map(|(_, tally)| tally))
}

fn sum<'a>(tallies: impl Iterator<Item = &'a Tally>) -> Tally {
    tallies.fold(Tally::default(), |a, b| Tally {
        total: a.total + b.total,
        in_time: a.in_time + b.in_time,
        late: a.late + b.late,
        refused: a.refused + b.refused,
        cache_misses: a.cache_misses + b.cache_misses,
        at_joined: a.at_joined + b.at_joined,
    })
}

/// Creates a route to the only service.
pub fn route(name: &str, priority: u32, target: Duration) -> route::Route {
    route::Route {
        name: id::Route::new(name),
        host: "site.example".to_owned(),
        prefix: format!("/{name}/"),
        repetition: route::Kind::Idempotent,
        timeout: Duration::from_secs(2),
        target_latency: target,
        priority,
        parts: vec![route::Part { service: id::Service::new("desk"), weight: 1 }],
        max_attempts: 1,
        is_sticky: true,
        home_regions: Vec::new(),
        is_public: false,
    }
}

#[derive(Clone, Debug)]
struct Job {
    load: usize,
    gateway: usize,
    object: u64,
    sent: Instant,
    crowding: f64,
    known: Option<seen_objects::Object>,
    is_cache_miss: bool,
}

#[derive(Clone, Debug)]
enum Event {
    Request { load: usize, gateway: usize },
    Arrives { upstream: usize, job: Job },
    Ends { upstream: usize, job: Job },
    Answered { upstream: usize, job: Job, load: model::load::Report },
    TurnedAway { upstream: usize, job: Job, load: model::load::Report },
    Report,
    Tick,
    Join,
}

struct Upstream {
    entry: discovery::Entry,
    region: usize,
    running: u32,
    waiting: collections::VecDeque<Job>,
    /// Cached objects, the most recently used last.
    objects: Vec<u64>,
    joined: Option<Instant>,
}

struct Simulation {
    plan: Plan,
    began: Instant,
    events: collections::BTreeMap<(Instant, u64), Event>,
    count: u64,
    upstreams: Vec<Upstream>,
    gateways: Vec<(dispatcher::Dispatcher, usize)>,
    random: rand::rngs::StdRng,
    tallies: Tallies,
}

/// Simulates a plan and returns the tallies of the requests after the warm-up.
pub fn simulate(plan: &Plan, seed: u64) -> Tallies {
    let mut simulation = Simulation::new(plan.clone(), seed);
    let end = simulation.began + plan.duration;
    while let Some(((now, _), event)) = simulation.events.pop_first() {
        if now > end {
            break;
        }
        simulation.apply(event, now);
    }
    simulation.tallies
}

impl Simulation {
    fn new(plan: Plan, seed: u64) -> Self {
        let began = Instant::now();
        let mut simulation = Self {
            upstreams: upstreams(&plan),
            gateways: gateways(&plan),
            random: rand::rngs::StdRng::seed_from_u64(seed),
            events: collections::BTreeMap::new(),
            tallies: Tallies::new(),
            count: 0,
            plan,
            began,
        };
        let entries: Vec<_> =
            simulation.upstreams.iter().map(|u| sync::Arc::new(u.entry.clone())).collect();
        let routes = simulation.plan.loads.iter().map(|load| load.route.clone()).collect();
        let limits = routing::CallerLimits::default();
        let services = collections::BTreeMap::from([(id::Service::new("desk"), service_rules())]);
        let routing = sync::Arc::new(routing::Routing::new(1, routes, services, limits));
        let owners = owners(&simulation.plan, &simulation.gateways);
        for (gateway, region) in &mut simulation.gateways {
            gateway.configure(sync::Arc::clone(&routing));
            gateway.set_upstreams(entries.iter().cloned(), began);
            gateway.set_nodes(owners[*region].clone(), owners[*region].near.len(), began);
        }
        if let Some(join) = &simulation.plan.join {
            simulation.schedule(began + join.at, Event::Join);
        }
        for gateway in 0..simulation.gateways.len() {
            for load in 0..simulation.plan.loads.len() {
                simulation.next_request(load, gateway, began);
            }
        }
        simulation.schedule(began + REPORT_INTERVAL, Event::Report);
        simulation.schedule(began + TICK_INTERVAL, Event::Tick);
        simulation
    }

    fn schedule(&mut self, at: Instant, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    fn next_request(&mut self, load: usize, gateway: usize, now: Instant) {
        let region = &self.plan.regions[self.gateways[gateway].1];
        let rate = self.plan.loads[load].rate / region.gateways as f64;
        let uniform: f64 = self.random.random_range(0.0..1.0);
        let pause = Duration::from_secs_f64(-(1.0 - uniform).ln() / rate);
        self.schedule(now + pause, Event::Request { load, gateway });
    }

    fn apply(&mut self, event: Event, now: Instant) {
        match event {
            Event::Request { load, gateway } => {
                self.request(load, gateway, now);
                self.next_request(load, gateway, now);
            }
            Event::Arrives { upstream, job } => self.arrive(upstream, job, now),
            Event::Ends { upstream, job } => self.end(upstream, job, now),
            Event::Answered { upstream, job, load } => self.answered(upstream, &job, load, now),
            Event::TurnedAway { upstream, job, load } => {
                let entry = &self.upstreams[upstream].entry;
                let outcome = outcome::Outcome::Refused { load: Some(load) };
                self.gateways[job.gateway].0.ended(entry, outcome, now - job.sent, now);
                self.tally(&job, now, |tally| tally.refused += 1);
            }
            Event::Report => self.report(now),
            Event::Join => self.join(now),
            Event::Tick => {
                for (gateway, _) in &mut self.gateways {
                    gateway.tick(now);
                }
                self.schedule(now + TICK_INTERVAL, Event::Tick);
            }
        }
    }

    fn request(&mut self, load: usize, gateway: usize, now: Instant) {
        let plan = &self.plan.loads[load];
        let region = self.gateways[gateway].1;
        let number = self.random.random_range(0..plan.objects);
        let object = number + 1_000_000 * region as u64 + 100_000 * load as u64;
        let service = id::Service::new("desk");
        let time_left = plan.route.timeout;
        let route = &plan.route;
        let request = request::Request {
            route,
            service: &service,
            key: object,
            tried: &[],
            time_left,
            homes: &route.home_regions,
            urgency: urgency::Urgency::of(route, None),
            caller: None,
        };
        let chosen = self.gateways[gateway].0.choose(&request, now);
        let mut job = Job {
            load,
            gateway,
            object,
            sent: now,
            crowding: 1.0,
            known: None,
            is_cache_miss: false,
        };
        let Ok(chosen) = chosen else {
            self.tally(&job, now, |tally| tally.refused += 1);
            return;
        };
        job.crowding = self.gateways[gateway].0.sent(&chosen.entry.id, true, now);
        job.known = chosen.object;
        let of_id = |u: &Upstream| u.entry.id == chosen.entry.id;
        let upstream = self.upstreams.iter().position(of_id).expect("it is one of the upstreams");
        let delay = self.latency(gateway, upstream);
        self.schedule(now + delay, Event::Arrives { upstream, job });
    }

    /// Adds the joining upstreams, which all gateways discover immediately.
    fn join(&mut self, now: Instant) {
        let Some(join) = &self.plan.join else { return };
        for (index, region) in self.plan.regions.iter().enumerate() {
            for number in 0..join.upstreams {
                let mut joined =
                    upstream(index, region, region.upstreams + number, self.plan.slots);
                joined.entry.cold_left = COLD_TIME;
                joined.joined = Some(now);
                self.upstreams.push(joined);
            }
        }
        let entries: Vec<_> =
            self.upstreams.iter().map(|u| sync::Arc::new(u.entry.clone())).collect();
        for (gateway, _) in &mut self.gateways {
            gateway.set_upstreams(entries.iter().cloned(), now);
        }
    }

    fn latency(&self, gateway: usize, upstream: usize) -> Duration {
        match self.gateways[gateway].1 == self.upstreams[upstream].region {
            true => Duration::ZERO,
            false => self.plan.latency,
        }
    }

    fn arrive(&mut self, upstream: usize, job: Job, now: Instant) {
        let slots = self.plan.slots;
        let destination = &mut self.upstreams[upstream];
        if destination.running < slots {
            self.start(upstream, job, now);
        } else if destination.waiting.len() < QUEUE_PER_SLOT * slots as usize {
            destination.waiting.push_back(job);
        } else {
            let load = destination.load(slots);
            let delay = self.latency(job.gateway, upstream);
            self.schedule(now + delay, Event::TurnedAway { upstream, job, load });
        }
    }

    fn start(&mut self, upstream: usize, mut job: Job, now: Instant) {
        let load = &self.plan.loads[job.load];
        let destination = &mut self.upstreams[upstream];
        destination.running += 1;
        job.is_cache_miss = !destination.objects.contains(&job.object);
        let mean = if job.is_cache_miss { load.uncached_work } else { load.cached_work };
        let is_cold = destination.joined.is_some_and(|joined| now < joined + COLD_TIME);
        let mean = if is_cold { mean.mul_f64(COLD_WORK_FACTOR) } else { mean };
        let work = mean.mul_f64(self.random.random_range(0.85..1.15));
        self.schedule(now + work, Event::Ends { upstream, job });
    }

    fn end(&mut self, upstream: usize, job: Job, now: Instant) {
        let (slots, cache_size) = (self.plan.slots, self.plan.cache_size);
        let destination = &mut self.upstreams[upstream];
        destination.running -= 1;
        destination.objects.retain(|object| *object != job.object);
        destination.objects.push(job.object);
        let surplus = destination.objects.len().saturating_sub(cache_size);
        destination.objects.drain(..surplus);
        let next = destination.waiting.pop_front();
        if let Some(next) = next {
            self.start(upstream, next, now);
        }
        let load = self.upstreams[upstream].load(slots);
        let delay = self.latency(job.gateway, upstream);
        self.schedule(now + delay, Event::Answered { upstream, job, load });
    }

    fn answered(&mut self, upstream: usize, job: &Job, load: model::load::Report, now: Instant) {
        let latency = now - job.sent;
        let (crowding, object, load) = (job.crowding, job.known, Some(load));
        let outcome = outcome::Outcome::Answered { latency, crowding, object, load };
        let entry = &self.upstreams[upstream].entry;
        self.gateways[job.gateway].0.ended(entry, outcome, latency, now);
        let target = self.plan.loads[job.load].route.target_latency;
        let has_joined = self.upstreams[upstream].joined.is_some();
        self.tally(job, now, |tally| {
            tally.at_joined += u32::from(has_joined);
            tally.cache_misses += u32::from(job.is_cache_miss);
            match latency <= target {
                true => tally.in_time += 1,
                false => tally.late += 1,
            }
        });
    }

    fn tally(&mut self, job: &Job, now: Instant, count: impl FnOnce(&mut Tally)) {
        if now < self.began + self.plan.warm_up {
            return;
        }
        let region = self.plan.regions[self.gateways[job.gateway].1].name;
        let route = self.plan.loads[job.load].route.name.as_str().to_owned();
        let tally = self.tallies.entry((route, region)).or_default();
        tally.total += 1;
        count(tally);
    }

    fn report(&mut self, now: Instant) {
        let reports: Vec<_> = self.gateways.iter_mut().map(|(g, _)| g.in_flight()).collect();
        for (to, (gateway, _)) in self.gateways.iter_mut().enumerate() {
            for (from, report) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                let report: Vec<(peer_load::Key, u32)> = report.clone();
                gateway.set_peer_load(id::Node::new(&format!("g-{from}")), report, now);
            }
        }
        self.schedule(now + REPORT_INTERVAL, Event::Report);
    }
}

impl Upstream {
    fn load(&self, slots: u32) -> model::load::Report {
        let waiting = u32::try_from(self.waiting.len()).unwrap_or(u32::MAX);
        model::load::Report { running: cmp::min(self.running, slots), waiting, slots, pace: None }
    }
}

fn upstreams(plan: &Plan) -> Vec<Upstream> {
    let regions = plan.regions.iter().enumerate();
    let of_regions =
        regions.flat_map(|(index, region)| (0..region.upstreams).map(move |n| (index, region, n)));
    of_regions.map(|(index, region, n)| upstream(index, region, n, plan.slots)).collect()
}

fn upstream(index: usize, region: &Region, number: usize, slots: u32) -> Upstream {
    Upstream {
        entry: discovery::Entry {
            id: id::Upstream::new(&format!("i-{}-{number}", region.name)),
            service: id::Service::new("desk"),
            address: net::SocketAddr::from(([127, 0, 0, 1], 80)),
            hall: id::Hall::new(region.name),
            version: None,
            slots,
            state: discovery::State::Ready,
            cold_left: Duration::ZERO,
            born: 0,
        },
        region: index,
        running: 0,
        waiting: collections::VecDeque::new(),
        objects: Vec::new(),
        joined: None,
    }
}

fn service_rules() -> routing::ServiceRules {
    routing::ServiceRules {
        max_connections: None,
        cold_start: COLD_TIME,
        cold_rate: Some(COLD_RATE),
        shed: Vec::new(),
    }
}

/// Returns the nodes that may own cold upstreams, for each region.
fn owners(
    plan: &Plan,
    gateways: &[(dispatcher::Dispatcher, usize)],
) -> Vec<slow_start_owner::Owners> {
    let idle = plan.join.as_ref().map_or(0, |join| join.idle_owners);
    let of_region = |region: usize| {
        let numbers = gateways.iter().enumerate().filter(|(_, (_, of))| *of == region);
        let names = numbers.map(|(number, _)| format!("g-{number}"));
        let idle = (0..idle).map(|number| format!("idle-{region}-{number}"));
        let near = names.chain(idle).map(|name| id::Node::new(&name)).collect();
        slow_start_owner::Owners { near, ..slow_start_owner::Owners::default() }
    };
    (0..plan.regions.len()).map(of_region).collect()
}

fn gateways(plan: &Plan) -> Vec<(dispatcher::Dispatcher, usize)> {
    let halls: collections::BTreeMap<id::Hall, id::Region> =
        plan.regions.iter().map(|r| (id::Hall::new(r.name), id::Region::new(r.name))).collect();
    let mut gateways = Vec::new();
    for (index, region) in plan.regions.iter().enumerate() {
        for _ in 0..region.gateways {
            let position = position::Position {
                node: id::Node::new(&format!("g-{}", gateways.len())),
                region: id::Region::new(region.name),
                halls: halls.clone(),
            };
            gateways
                .push((dispatcher::Dispatcher::new(position, bounds::Bounds::default()), index));
        }
    }
    gateways
}
