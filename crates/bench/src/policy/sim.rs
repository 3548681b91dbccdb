//! One run: a virtual clock, one event queue, fixed delays.

use std::cmp;
use std::collections;
use std::time::{Duration, Instant, SystemTime};

use model::drain;
use model::id;
use model::service;
use model::verdict;
use rand::rngs::SmallRng;
use rand::{RngExt as _, SeedableRng as _};
use steer::action;
use steer::beat;
use steer::event;
use steer::instance;
use steer::report;
use steer::request;

use crate::policy::Policy;
use crate::policy::deployment;
use crate::policy::figures;
use crate::policy::fleet;
use crate::policy::scenario;

/// Mean time of service.
const SERVICE: Duration = Duration::from_millis(100);

/// Time between two ticks of a node, as in the process.
const TICK: Duration = Duration::from_millis(20);

/// Time between two reports of the upstreams, and how old they are when used.
const REPORT: Duration = Duration::from_millis(500);

/// Times longer that a cold upstream takes, and the requests that warm it by two thirds.
const COLD: (f64, f64) = (3.0, 60.0);

/// Runs a scenario under a policy.
#[must_use]
pub fn run(
    deployment: &deployment::Deployment,
    policy: Policy,
    scenario: scenario::Scenario,
    seed: u64,
) -> figures::Figures {
    let mut sim = Sim::new(deployment, policy, scenario, seed);
    sim.start();
    let end = scenario::WARM_UP + scenario::MEASURED;
    while let Some(entry) = sim.queue.pop() {
        if entry.at > end {
            break;
        }
        sim.time = entry.at;
        sim.take(entry.event);
    }
    let slots: Vec<u32> = deployment.regions.iter().map(|r| deployment.slots(r)).collect();
    sim.counts.finish(&slots)
}

/// What happens at a time. Requests and upstreams are named by number.
enum Event {
    Arrive(usize),
    Enter(usize),
    Offer(usize, usize),
    Run(usize, usize),
    Finish(usize, usize),
    Done(usize),
    Back(usize),
    Failed(usize, verdict::Failure),
    Tick(usize),
    Beat { from: usize, to: usize, beat: Box<beat::Request>, made: Duration },
    Reply { to: usize, reply: Box<beat::Reply>, made: Duration },
    Report,
    Fault,
}

struct Entry {
    at: Duration,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> cmp::Ordering {
        (other.at, other.order).cmp(&(self.at, self.order))
    }
}

/// A request.
struct Request {
    place: usize,
    born: Duration,
    work: Duration,
    entry: usize,
    /// The node of another region that finds it a home there.
    inner: Option<usize>,
    home: usize,
    may_wait: bool,
    /// Delay between caller and entry, one way.
    reach: Duration,
}

/// An upstream.
struct Upstream {
    name: id::Upstream,
    region: usize,
    hall: id::Hall,
    slots: u32,
    in_flight: u32,
    waiting: collections::VecDeque<usize>,
    reported: u32,
    cold_since: Option<(Duration, u32)>,
}

struct Sim<'a> {
    deployment: &'a deployment::Deployment,
    policy: Policy,
    scenario: scenario::Scenario,
    time: Duration,
    origin: Instant,
    wall: SystemTime,
    queue: collections::BinaryHeap<Entry>,
    order: u64,
    arrivals: SmallRng,
    choices: SmallRng,
    fleet: fleet::Fleet,
    upstreams: Vec<Upstream>,
    requests: Vec<Request>,
    turns: Vec<usize>,
    ideal: Vec<collections::VecDeque<usize>>,
    lost: Option<usize>,
    counts: figures::Counts,
}

impl<'a> Sim<'a> {
    fn new(
        deployment: &'a deployment::Deployment,
        policy: Policy,
        scenario: scenario::Scenario,
        seed: u64,
    ) -> Self {
        let origin = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let region_of =
            |region: &id::Region| deployment.regions.iter().position(|r| r == region).unwrap_or(0);
        let upstream = |declared: &model::upstream::Upstream| Upstream {
            name: declared.name.clone(),
            region: region_of(&declared.region),
            hall: declared.hall.clone(),
            slots: declared.slots,
            in_flight: 0,
            waiting: collections::VecDeque::new(),
            reported: 0,
            cold_since: None,
        };
        let regions = deployment.regions.len();
        let planned = planned_drain(deployment, scenario, wall);
        Self {
            deployment,
            policy,
            scenario,
            time: Duration::ZERO,
            origin,
            wall,
            queue: collections::BinaryHeap::new(),
            order: 0,
            arrivals: SmallRng::seed_from_u64(seed),
            choices: SmallRng::seed_from_u64(seed + 1),
            fleet: fleet::Fleet::new(deployment, planned, origin, wall),
            upstreams: deployment.service.upstreams.iter().map(upstream).collect(),
            requests: Vec::new(),
            turns: vec![0; fleet::NODES],
            ideal: vec![collections::VecDeque::new(); regions],
            lost: None,
            counts: figures::Counts::new(),
        }
    }

    fn start(&mut self) {
        if self.policy == Policy::Homes {
            for node in 0..fleet::NODES {
                for event in self.fleet.first_events(node) {
                    self.tell(node, event);
                }
                let offset = TICK * u32::try_from(node).unwrap_or(0) / 12;
                self.push(offset, Event::Tick(node));
            }
        }
        for place in 0..self.deployment.places.len() {
            // Nobody calls before the fleet has found itself.
            self.push(Duration::from_secs(8), Event::Arrive(place));
        }
        self.push(Duration::ZERO, Event::Report);
        self.push(scenario::WARM_UP + scenario::FAULT, Event::Fault);
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.order += 1;
        self.queue.push(Entry { at: self.time + after, order: self.order, event });
    }

    fn now(&self) -> Instant {
        self.origin + self.time
    }

    fn take(&mut self, event: Event) {
        match event {
            Event::Arrive(place) => self.arrive(place),
            Event::Enter(request) => self.enter(request),
            Event::Offer(request, node) => self.offer(request, node),
            Event::Run(request, upstream) => self.run(request, upstream),
            Event::Finish(request, upstream) => self.finish(request, upstream),
            Event::Done(request) => self.done(request),
            Event::Back(request) => self.back(request),
            Event::Failed(request, failure) => self.failed(request, failure),
            Event::Tick(node) => {
                let wall = self.wall + self.time;
                self.tell(node, event::Event::Tick { wall });
                self.push(TICK, Event::Tick(node));
            }
            Event::Beat { from, to, beat, made } => self.beat(from, to, beat, made),
            Event::Reply { to, reply, made } => {
                let sent = self.origin + made;
                self.tell(to, event::Event::Replied { reply, sent });
            }
            Event::Report => self.report(),
            Event::Fault => self.fault(),
        }
    }

    // Callers and entries.

    fn arrive(&mut self, place: usize) {
        let region = &self.deployment.regions[place];
        let slots = f64::from(self.deployment.slots(region));
        let surge = match self.scenario == scenario::Scenario::Surge && place == 0 {
            true if self.is_faulty() => 3.0,
            _ => 1.0,
        };
        let rate = slots * self.scenario.load() * surge / SERVICE.as_secs_f64();
        let gap = exponential(&mut self.arrivals) / rate;
        let work = SERVICE.mul_f64(exponential(&mut self.arrivals));
        self.push(Duration::from_secs_f64(gap), Event::Arrive(place));
        let regions = self.deployment.regions.len();
        let is_lost = self.lost == Some(place);
        let near = if is_lost { (place + 1) % regions } else { place };
        let extra = if is_lost { self.deployment.region } else { Duration::ZERO };
        let reach = self.deployment.client + extra;
        let entry = near + regions * (self.requests.len() % (fleet::NODES / regions));
        let number = self.requests.len();
        let born = self.time;
        self.requests.push(Request {
            place,
            born,
            work,
            entry,
            inner: None,
            home: entry,
            may_wait: false,
            reach,
        });
        self.push(reach, Event::Enter(number));
    }

    fn is_faulty(&self) -> bool {
        self.time >= scenario::WARM_UP + scenario::FAULT
    }

    fn enter(&mut self, number: usize) {
        let entry = self.requests[number].entry;
        match self.policy {
            Policy::Homes => self.route(number, entry, None),
            Policy::Ideal => self.enter_ideal(number),
            _ => {
                let upstream = self.choose(entry);
                self.push(self.deployment.hall, Event::Run(number, upstream));
            }
        }
    }

    fn route(&mut self, number: usize, node: usize, region: Option<id::Region>) {
        let event = event::Event::Route {
            request: request::Id(number as u64),
            service: self.deployment.service.name.clone(),
            place: self.deployment.places[self.requests[number].place].name.clone(),
            region,
        };
        self.tell(node, event);
    }

    fn choose(&mut self, entry: usize) -> usize {
        let region = entry % self.deployment.regions.len();
        let drained = self.drained_hall();
        let usable =
            |u: &&(usize, &Upstream)| u.1.region == region && Some(&u.1.hall) != drained.as_ref();
        let near: Vec<(usize, &Upstream)> =
            self.upstreams.iter().enumerate().filter(|u| usable(&u)).collect();
        let load = |u: &(usize, &Upstream)| f64::from(u.1.reported) / f64::from(u.1.slots);
        let index = match self.policy {
            Policy::RoundRobin => {
                self.turns[entry] += 1;
                (self.turns[entry] + entry) % near.len()
            }
            Policy::LeastReported => {
                let least =
                    (0..near.len()).min_by(|a, b| load(&near[*a]).total_cmp(&load(&near[*b])));
                least.unwrap_or(0)
            }
            Policy::PowerOfTwo => {
                let (a, b) = (
                    self.choices.random_range(0..near.len()),
                    self.choices.random_range(0..near.len()),
                );
                if load(&near[a]) <= load(&near[b]) { a } else { b }
            }
            _ => self.choices.random_range(0..near.len()),
        };
        near[index].0
    }

    /// The hall that a drain holds empty, which baselines respect at once.
    fn drained_hall(&self) -> Option<id::Hall> {
        let is_drained = self.scenario == scenario::Scenario::HallDrain && self.is_faulty();
        is_drained.then(|| first_hall(self.deployment))
    }

    fn enter_ideal(&mut self, number: usize) {
        let region = self.requests[number].entry % self.deployment.regions.len();
        self.ideal[region].push_back(number);
        self.pump_ideal(region);
    }

    fn pump_ideal(&mut self, region: usize) {
        while let Some(number) = self.ideal[region].front().copied() {
            let waited =
                self.time.saturating_sub(self.requests[number].born + self.requests[number].reach);
            if waited > self.deployment.service.hold {
                self.ideal[region].pop_front();
                self.refuse(number);
                continue;
            }
            let free = |u: &Upstream| u.region == region && u.in_flight < u.slots;
            let Some(upstream) = self.upstreams.iter().position(free) else { return };
            self.ideal[region].pop_front();
            self.run(number, upstream);
        }
    }

    // Homes.

    fn tell(&mut self, node: usize, event: event::Event) {
        let now = self.now();
        for action in self.fleet.tell(node, event, now) {
            self.act(node, action);
        }
    }

    fn act(&mut self, node: usize, action: action::Action) {
        match action {
            action::Action::Forward { request, home, may_wait, .. } => {
                let number = index(request);
                let home = fleet::node_named(&home.node);
                self.requests[number].home = home;
                self.requests[number].may_wait = may_wait;
                self.push(self.between(node, home), Event::Offer(number, home));
            }
            action::Action::Run { request, upstream, .. } => {
                self.tell_use(index(request), node);
                let found = self.upstreams.iter().position(|u| u.name == upstream);
                let found = found.expect("the upstream is declared");
                self.push(self.deployment.hall, Event::Run(index(request), found));
            }
            action::Action::Refuse { request, failure } => self.refused(node, request, failure),
            action::Action::Beat { to, beat, .. } => {
                let (to, made) = (fleet::node_at(to), self.time);
                let event = Event::Beat { from: node, to, beat, made };
                self.push(self.between(node, to), event);
            }
            action::Action::Propose { table } => {
                let standing = self.fleet.propose(node, table);
                self.tell(node, standing);
            }
            action::Action::Reply { .. } | action::Action::Fetch { .. } => {}
        }
    }

    fn between(&self, a: usize, b: usize) -> Duration {
        let regions = self.deployment.regions.len();
        match (a == b, a % regions == b % regions) {
            (true, _) => Duration::ZERO,
            (false, true) => self.deployment.hall,
            (false, false) => self.deployment.region,
        }
    }

    fn beat(&mut self, from: usize, to: usize, beat: Box<beat::Request>, made: Duration) {
        if !self.fleet.runs(to) {
            let node = id::Node::new(&format!("node-{to:02}"));
            return self.tell(from, event::Event::Unanswered { node });
        }
        let now = self.now();
        for action in self.fleet.tell(to, event::Event::Beat { beat }, now) {
            match action {
                action::Action::Reply { reply } => {
                    self.push(self.between(to, from), Event::Reply { to: from, reply, made });
                }
                other => self.act(to, other),
            }
        }
    }

    /// Tells the node that sent a request here how much is in use, as each answer does.
    fn tell_use(&mut self, number: usize, home: usize) {
        let sender = self.sender(number);
        let service = self.deployment.service.name.clone();
        let usage = self.fleet.use_of(home, &service, self.now());
        let home = id::Node::new(&format!("node-{home:02}"));
        self.tell(sender, event::Event::Used { home, service, usage });
    }

    /// Returns the node that chose the request's home.
    fn sender(&self, number: usize) -> usize {
        let request = &self.requests[number];
        request.inner.unwrap_or(request.entry)
    }

    fn offer(&mut self, number: usize, node: usize) {
        let regions = self.deployment.regions.len();
        let is_far = node % regions != self.sender(number) % regions;
        if is_far && self.fleet.runs(node) {
            self.requests[number].inner = Some(node);
            return self.route(number, node, Some(self.deployment.regions[node % regions].clone()));
        }
        if !self.fleet.runs(node) {
            let failure = verdict::Failure::not_run(verdict::Reason::NotReady);
            return self.failed(number, failure);
        }
        let request = &self.requests[number];
        let spent = self.time - request.born;
        let deadline = self.now() + self.deployment.service.deadline.saturating_sub(spent);
        let offer = request::Offer {
            id: request::Id(number as u64),
            service: self.deployment.service.name.clone(),
            place: self.deployment.places[request.place].name.clone(),
            deadline,
            avoid: Vec::new(),
            may_wait: request.may_wait,
        };
        self.tell(node, event::Event::Offer { offer });
    }

    /// A refusal by a home goes back to the node that chose it; one by that node is final there.
    fn refused(&mut self, node: usize, request: request::Id, failure: verdict::Failure) {
        let number = index(request);
        if self.requests[number].home == node {
            self.requests[number].home = usize::MAX;
            self.tell_use(number, node);
            let sender = self.sender(number);
            return self.push(self.between(node, sender), Event::Failed(number, failure));
        }
        match self.requests[number].inner.take() {
            Some(inner) => {
                let entry = self.requests[number].entry;
                self.push(self.between(inner, entry), Event::Failed(number, failure));
            }
            None => self.refuse(number),
        }
    }

    fn failed(&mut self, number: usize, failure: verdict::Failure) {
        self.requests[number].home = usize::MAX;
        let sender = self.sender(number);
        let repetition = service::Repetition::Proved;
        let request = request::Id(number as u64);
        self.tell(sender, event::Event::Failed { request, failure, repetition });
    }

    // Upstreams.

    fn run(&mut self, number: usize, index: usize) {
        let drained = self.scenario == scenario::Scenario::HallDrain
            && self.upstreams[index].hall == first_hall(self.deployment);
        if drained && self.is_faulty() {
            let start = scenario::WARM_UP + scenario::FAULT;
            self.counts.drain = Some(self.time - start);
        }
        let upstream = &mut self.upstreams[index];
        if upstream.in_flight >= upstream.slots {
            if self.time >= scenario::WARM_UP {
                self.counts.overloads += 1;
            }
            upstream.waiting.push_back(number);
            return;
        }
        self.serve(number, index);
    }

    fn serve(&mut self, number: usize, index: usize) {
        let upstream = &mut self.upstreams[index];
        upstream.in_flight += 1;
        let slower = match &mut upstream.cold_since {
            Some((_, served)) => {
                *served += 1;
                1.0 + (COLD.0 - 1.0) * (-f64::from(*served) / COLD.1).exp()
            }
            None => 1.0,
        };
        let region = upstream.region;
        let work = self.requests[number].work.mul_f64(slower);
        self.push(work, Event::Finish(number, index));
        if self.time >= scenario::WARM_UP {
            let used = self.upstreams.iter().filter(|u| u.region == region);
            let used = used.map(|u| u.in_flight).sum();
            let most = self.counts.greatest.entry(region).or_insert(0);
            *most = (*most).max(used);
        }
    }

    fn finish(&mut self, number: usize, index: usize) {
        self.upstreams[index].in_flight -= 1;
        let region = self.upstreams[index].region;
        if let Some(next) = self.upstreams[index].waiting.pop_front() {
            self.serve(next, index);
        }
        match self.policy {
            Policy::Homes => self.push(self.deployment.hall, Event::Done(number)),
            Policy::Ideal => {
                self.push(Duration::ZERO, Event::Back(number));
                self.pump_ideal(region);
            }
            _ => self.push(self.deployment.hall, Event::Back(number)),
        }
    }

    fn done(&mut self, number: usize) {
        let Request { home, entry, .. } = self.requests[number];
        let request = request::Id(number as u64);
        let outcome = request::Outcome::Answered;
        self.tell(home, event::Event::Done { request, outcome });
        let sender = self.sender(number);
        let way = self.between(home, sender) + self.between(sender, entry);
        self.push(way, Event::Back(number));
    }

    fn back(&mut self, number: usize) {
        let Request { entry, born, reach, .. } = self.requests[number];
        if self.policy == Policy::Homes {
            let request = request::Id(number as u64);
            self.tell(entry, event::Event::Returned { request });
            if let Some(inner) = self.requests[number].inner {
                self.tell(inner, event::Event::Returned { request });
            }
        }
        if born >= scenario::WARM_UP {
            self.counts.answered(self.time + reach - born);
        }
    }

    fn refuse(&mut self, number: usize) {
        if self.requests[number].born >= scenario::WARM_UP {
            self.counts.refused += 1;
        }
    }

    fn report(&mut self) {
        for upstream in &mut self.upstreams {
            upstream.reported = upstream.in_flight;
        }
        if self.policy == Policy::Homes {
            let started = |u: &Upstream| u.cold_since.map_or(Duration::ZERO, |(at, _)| at);
            let reports: Vec<(id::Upstream, Duration)> = self
                .upstreams
                .iter()
                .map(|u| (u.name.clone(), self.time.saturating_sub(started(u))))
                .collect();
            for node in 0..fleet::NODES {
                for (name, uptime) in &reports {
                    let instance = instance::Key {
                        service: self.deployment.service.name.clone(),
                        upstream: name.clone(),
                    };
                    let uptime_ms = u64::try_from(uptime.as_millis()).ok();
                    let report = report::Report { uptime_ms, ..report::Report::default() };
                    self.tell(node, event::Event::Probed { instance, report: Some(report) });
                }
            }
        }
        self.push(REPORT, Event::Report);
    }

    fn fault(&mut self) {
        match self.scenario {
            scenario::Scenario::RegionLost => {
                self.lost = Some(0);
                let regions = self.deployment.regions.len();
                for node in (0..fleet::NODES).filter(|n| n % regions == 0) {
                    self.fleet.lose(node);
                }
            }
            scenario::Scenario::ColdRegion => {
                for upstream in self.upstreams.iter_mut().filter(|u| u.region == 0) {
                    upstream.cold_since = Some((self.time, 0));
                }
            }
            _ => {}
        }
    }
}

fn planned_drain(
    deployment: &deployment::Deployment,
    scenario: scenario::Scenario,
    wall: SystemTime,
) -> Option<drain::Drain> {
    (scenario == scenario::Scenario::HallDrain).then(|| drain::Drain {
        name: id::Drain::new("planned"),
        target: drain::Target::Hall(first_hall(deployment)),
        start: wall + scenario::WARM_UP + scenario::FAULT,
        end: wall + Duration::from_secs(3_600),
    })
}

fn first_hall(deployment: &deployment::Deployment) -> id::Hall {
    id::Hall::new(&format!("{}-1", deployment.regions[0]))
}

fn index(request: request::Id) -> usize {
    usize::try_from(request.0).expect("requests are numbered by index")
}

/// Draws from an exponential distribution with mean 1.
fn exponential(random: &mut SmallRng) -> f64 {
    -(1.0 - random.random::<f64>()).ln()
}
