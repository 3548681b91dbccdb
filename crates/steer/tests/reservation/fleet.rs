//! Simulation of a fleet whose refused callers come back, mostly at another gateway.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::{id, organisation, routing};
use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::quota::{self, usage};
use steer::dispatch::reservation::{self, Caller, caller};
use steer::dispatch::urgency;

/// Time between two reports of a node, and the time until one arrives: half of the nodes are in the
/// same region.
const REPORT: Duration = Duration::from_millis(100);
const DELAYS: [Duration; 2] = [Duration::from_millis(2), Duration::from_millis(14)];

/// Time from a caller to a gateway, and the additional time of a new connection at most.
const LATENCY: Duration = Duration::from_millis(2);
const MAX_CONNECT: Duration = Duration::from_millis(30);

/// Time left of a first request.
pub const TIME_LEFT: Duration = Duration::from_secs(2);

/// Resolution of `Retry-After`.
const RESOLUTION: Duration = Duration::from_millis(10);

/// Start of the surge.
pub const SURGE: Duration = Duration::from_secs(4);

/// Requests per second before the surge, as a part of those during it.
const BEFORE_SURGE: f64 = 0.1;

/// What a refused caller does.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Behaviour {
    /// Comes back once, as told, if that is within a third of its time left.
    AsTold,
    /// Comes back once, at once.
    AtOnce,
    /// Comes back this many times, at equal intervals over a second.
    Often(u32),
    /// States a time left with its first request as if it came as told, and does not come back.
    Forged,
}

/// What the contents of requests have in common.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contents {
    /// A retry has the contents of the request that it repeats; other requests have others.
    Repeated,
    /// All requests have the same.
    Same,
    /// Every request has others, also a retry.
    New,
}

/// Load of the organisation, and the fleet.
#[derive(Clone, Debug)]
pub struct Fleet {
    /// Number of gateways.
    pub nodes: usize,
    /// The organisation's limit, which is also its burst.
    pub limit: f64,
    /// First requests per second during the surge, by behaviour; before it, a tenth of them.
    pub load: Vec<(Behaviour, f64)>,
    /// Whether callers are promised room.
    pub is_on: bool,
    /// A gateway that restarts, and when.
    pub restart: Option<(usize, Duration)>,
    /// What the contents of requests have in common.
    pub contents: Contents,
    /// Times at which two forged requests for each gateway arrive at once.
    pub forged: Vec<Duration>,
    /// Simulated time.
    pub length: Duration,
}

/// Figures of the callers of one behaviour.
#[derive(Clone, Copy, Debug, Default)]
pub struct Served {
    /// Callers that ended.
    pub callers: usize,
    /// Those that were served.
    pub served: usize,
    /// Returns that came as told.
    pub as_told: usize,
    /// Those that were refused again.
    pub refused_again: usize,
}

impl Served {
    /// Returns the share of the callers that were served.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn share(&self) -> f64 {
        self.served as f64 / self.callers as f64
    }

    /// Returns the share of those that came as told and were refused again.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn refused_again_share(&self) -> f64 {
        self.refused_again as f64 / self.as_told as f64
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Times of admitted requests.
    pub admitted: Vec<Duration>,
    /// All refusals.
    pub refused: usize,
    /// Figures by behaviour.
    pub served: collections::BTreeMap<Behaviour, Served>,
    /// Counts of all nodes.
    pub counts: reservation::Counts,
    /// Promises that the restarted gateway forgot.
    pub forgotten: usize,
    /// Scopes with state at any gateway, the most at a time.
    pub max_state: usize,
}

impl Outcome {
    /// Returns the largest number of requests admitted in any window.
    pub fn max_in_window(&self, window: Duration) -> f64 {
        let mut first = 0;
        let mut max = 0;
        for (last, time) in self.admitted.iter().enumerate() {
            while self.admitted[first] + window <= *time {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        f64::from(u32::try_from(max).expect("some thousands"))
    }

    /// Returns the requests admitted per second between two times.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn rate_between(&self, from: Duration, to: Duration) -> f64 {
        let count = self.admitted.iter().filter(|time| (from..to).contains(time)).count();
        count as f64 / (to - from).as_secs_f64()
    }
}

/// Request on its way to a gateway.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Request {
    arrives: Duration,
    number: u64,
    /// Time at which its caller sent its first request.
    began: Duration,
    behaviour: Behaviour,
    /// Hash of the request's content, which its repetitions share.
    content: u64,
    /// Requests that the caller sent before this one.
    before: u32,
    /// Whether it comes as told.
    is_as_told: bool,
}

struct Node {
    quotas: quota::Quotas,
    times: reservation::TimesLeft,
}

struct Simulation<'a> {
    fleet: &'a Fleet,
    random: rngs::StdRng,
    start: Instant,
    nodes: Vec<Node>,
    names: Vec<id::Node>,
    requests: collections::BTreeSet<Request>,
    reports: Vec<(Duration, usize, usize, sync::Arc<Vec<usage::Usage>>)>,
    organisation: id::Organisation,
    route: id::Route,
    next: u64,
    outcome: Outcome,
}

impl Fleet {
    /// Creates a fleet whose callers come back as told, at `factor` times the limit.
    pub fn new(nodes: usize, limit: f64, factor: f64) -> Self {
        Self {
            nodes,
            limit,
            load: vec![(Behaviour::AsTold, limit * factor)],
            is_on: true,
            restart: None,
            contents: Contents::Repeated,
            forged: Vec::new(),
            length: Duration::from_secs(20),
        }
    }

    /// Simulates the load.
    pub fn simulate(&self) -> Outcome {
        let start = Instant::now();
        let mut simulation = Simulation {
            fleet: self,
            random: rngs::StdRng::seed_from_u64(11),
            start,
            nodes: Vec::new(),
            names: (0..self.nodes).map(|node| id::Node::new(&format!("n-{node}"))).collect(),
            requests: collections::BTreeSet::new(),
            reports: Vec::new(),
            organisation: id::Organisation::new("hot"),
            route: id::Route::new("reads"),
            next: 0,
            outcome: Outcome::default(),
        };
        simulation.run();
        simulation.outcome
    }
}

impl Simulation<'_> {
    fn run(&mut self) {
        self.nodes = (0..self.fleet.nodes).map(|node| self.node(node, Duration::ZERO)).collect();
        self.draw_first_requests();
        let mut next_report = Duration::ZERO;
        let mut restart = self.fleet.restart;
        while let Some(request) = self.requests.pop_first() {
            while next_report <= request.arrives {
                self.report(next_report);
                next_report += REPORT;
            }
            self.deliver(request.arrives);
            if let Some((node, at)) = restart.filter(|(_, at)| request.arrives >= *at) {
                let forgotten = self.nodes[node].quotas.reservations();
                self.outcome.forgotten = forgotten.map_or(0, reservation::Schedule::pending);
                self.collect(node);
                self.nodes[node] = self.node(node, at);
                restart = None;
            }
            self.process(request);
        }
        let end = self.start + self.fleet.length + Duration::from_secs(30);
        for node in 0..self.fleet.nodes {
            self.nodes[node].quotas.tick(end);
            self.collect(node);
        }
    }

    /// Returns the state of a gateway that has started.
    fn node(&self, node: usize, time: Duration) -> Node {
        let now = self.start + time;
        let mut quotas = quota::Quotas::new(&self.names[node], 0.0, now);
        let quota = organisation::Quota { rate: self.fleet.limit, burst: self.fleet.limit };
        let limited = organisation::Organisation {
            name: self.organisation.clone(),
            keys: Vec::new(),
            priority: 0,
            quota: Some(quota),
            home_regions: Vec::new(),
        };
        let index = organisation::Index::new([limited].into_iter()).expect("it shares no key");
        quotas.configure(&routing::Routing::default().with_organisations(index), now);
        quotas.set_others(self.fleet.nodes - 1);
        quotas.set_reservations(self.fleet.is_on.then_some(RESOLUTION));
        Node { quotas, times: reservation::TimesLeft::default() }
    }

    fn draw_first_requests(&mut self) {
        for time in &self.fleet.forged {
            for _ in 0..self.fleet.nodes * 2 {
                let forged = Request {
                    arrives: *time,
                    number: 0,
                    began: *time,
                    behaviour: Behaviour::Forged,
                    content: self.random.random(),
                    before: 0,
                    is_as_told: false,
                };
                self.send(forged, Duration::ZERO);
            }
        }
        for (behaviour, rate) in self.fleet.load.clone() {
            let mut time = Duration::ZERO;
            loop {
                let rate = if time < SURGE { rate * BEFORE_SURGE } else { rate };
                let pause = -self.random.random_range(f64::EPSILON..1.0_f64).ln() / rate;
                time += Duration::from_secs_f64(pause.min(1.0));
                if pause > 1.0 {
                    continue;
                }
                if time >= self.fleet.length {
                    break;
                }
                let first = Request {
                    arrives: time,
                    number: 0,
                    began: time,
                    behaviour,
                    content: self.random.random(),
                    before: 0,
                    is_as_told: false,
                };
                self.send(first, Duration::ZERO);
            }
        }
    }

    /// Sends a request after a wait.
    fn send(&mut self, request: Request, wait: Duration) {
        let connect = MAX_CONNECT.mul_f64(self.random.random::<f64>().powi(4));
        self.next += 1;
        let arrives = request.arrives + wait + LATENCY + connect;
        self.requests.insert(Request { arrives, number: self.next, ..request });
    }

    fn process(&mut self, request: Request) {
        let now = self.start + request.arrives;
        let node = self.random.random_range(0..self.fleet.nodes);
        // Callers state the time left when they send, in whole milliseconds.
        let sent = request.arrives - LATENCY;
        let time_left = TIME_LEFT.saturating_sub(sent.saturating_sub(request.began));
        let time_left = match request.before {
            _ if request.behaviour == Behaviour::Forged => TIME_LEFT.mul_f64(0.78),
            0 => TIME_LEFT,
            _ => Duration::from_millis(u64::try_from(time_left.as_millis()).expect("seconds")),
        };
        let Node { quotas, times } = &mut self.nodes[node];
        let usual = times.record(&self.route, time_left);
        let address = net::IpAddr::from([127, 0, 0, 1]);
        let content = match self.fleet.contents {
            Contents::Repeated => request.content,
            Contents::Same => 0,
            Contents::New => request.number,
        };
        let draw = caller::draw(content, request.arrives + time_left);
        let urgency = urgency::Urgency::default();
        let caller = Caller { address, time_left, usual, urgency, draw };
        let result = quotas.admit_caller(&self.organisation, &caller, now);
        let state = usize::from(quotas.reservations().is_some_and(|r| !r.is_empty()));
        self.outcome.max_state = self.outcome.max_state.max(state);
        let served = self.outcome.served.entry(request.behaviour).or_default();
        served.callers += usize::from(request.before == 0);
        served.as_told += usize::from(request.is_as_told);
        match result {
            Ok(()) => {
                served.served += 1;
                self.outcome.admitted.push(request.arrives);
            }
            Err(refused) => {
                served.refused_again += usize::from(request.is_as_told);
                self.outcome.refused += 1;
                self.retry(request, refused.retry_after, time_left);
            }
        }
    }

    /// Sends the next request of a refused caller, if it sends one.
    fn retry(&mut self, request: Request, retry_after: Duration, time_left: Duration) {
        let next = Request { before: request.before + 1, ..request };
        match request.behaviour {
            Behaviour::AsTold if request.before == 0 && retry_after <= time_left / 3 => {
                self.send(Request { is_as_told: true, ..next }, retry_after + LATENCY);
            }
            Behaviour::AtOnce if request.before == 0 => self.send(next, LATENCY),
            Behaviour::Often(times) if request.before < times => {
                self.send(next, Duration::from_secs(1) / times);
            }
            _ => {}
        }
    }

    fn report(&mut self, time: Duration) {
        let now = self.start + time;
        for from in 0..self.fleet.nodes {
            let quotas = &mut self.nodes[from].quotas;
            quotas.tick(now);
            let usages = sync::Arc::new(quotas.report(now));
            if usages.is_empty() {
                continue;
            }
            for to in (0..self.fleet.nodes).filter(|to| *to != from) {
                let delay = DELAYS[(from + to) % DELAYS.len()];
                self.reports.push((time + delay, from, to, sync::Arc::clone(&usages)));
            }
        }
    }

    fn deliver(&mut self, time: Duration) {
        if self.reports.is_empty() {
            return;
        }
        let (due, later) = std::mem::take(&mut self.reports)
            .into_iter()
            .partition::<Vec<_>, _>(|(at, ..)| *at <= time);
        self.reports = later;
        for (at, from, to, usages) in due {
            self.nodes[to].quotas.receive(&self.names[from], &usages, self.start + at);
        }
    }

    /// Adds the counts of a gateway.
    fn collect(&mut self, node: usize) {
        let more = self.nodes[node].quotas.take_reservation_counts();
        let counts = &mut self.outcome.counts;
        counts.promised += more.promised;
        counts.redeemed += more.redeemed;
        counts.lapsed += more.lapsed;
        counts.refused_unpromised += more.refused_unpromised;
        counts.refused_as_told += more.refused_as_told;
    }
}
