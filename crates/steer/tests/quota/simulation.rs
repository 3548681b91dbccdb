//! Simulation of a fleet of nodes that enforce a limit and exchange reports with a delay.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::{id, organisation, routing};
use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::quota::{self, usage};

/// Time between two reports of a node.
const REPORT: Duration = Duration::from_millis(100);

/// Time until a report arrives: half of the nodes are in the same region, half are two hops away.
const DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(220)];

/// Simulated time, and the part of it with a load surge.
const LENGTH: Duration = Duration::from_secs(30);
const SURGE: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(20));

/// Interval and duration of the pauses of a paused node.
const PAUSE_INTERVAL: Duration = Duration::from_secs(3);
const PAUSE: Duration = Duration::from_secs(1);

/// Longest additional delay of a delayed report.
const MAX_DELAY: Duration = Duration::from_secs(1);

/// Default time of a fault.
const FAULT_TIME: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(18));

/// Request rate of the organisation over time.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    rate: f64,
    surge_factor: f64,
}

impl Load {
    /// Creates a constant load.
    pub fn steady(rate: f64) -> Self {
        Self { rate, surge_factor: 1.0 }
    }

    /// Creates a load that is `surge_factor` times as high during the surge.
    pub fn surge(rate: f64, surge_factor: f64) -> Self {
        Self { rate, surge_factor }
    }

    fn at(&self, time: Duration) -> f64 {
        match (SURGE.0..SURGE.1).contains(&time) {
            true => self.rate * self.surge_factor,
            false => self.rate,
        }
    }

    /// Generates random arrival times of requests.
    pub fn times(&self, random: &mut rngs::StdRng) -> Vec<Duration> {
        let mut times = Vec::new();
        let mut time = Duration::ZERO;
        loop {
            let pause = -random.random_range(f64::EPSILON..1.0_f64).ln() / self.at(time);
            time += Duration::from_secs_f64(pause.min(1.0));
            match time < LENGTH {
                true if pause <= 1.0 => times.push(time),
                true => {}
                false => return times,
            }
        }
    }
}

/// Fault of some nodes or reports for a limited time.
#[derive(Clone, Copy, Debug)]
pub struct Fault {
    /// Kind of the fault.
    pub kind: FaultKind,
    /// Share of the nodes or reports affected.
    pub share: f64,
    /// Position of the first affected node, from 0 to 1.
    pub position: f64,
    /// Start time.
    pub from: Duration,
    /// End time.
    pub to: Duration,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// No fault.
    None,
    /// Nodes neither send nor receive reports, but still admit requests.
    Isolated,
    /// Nodes are down and their callers use the others; they come back without state.
    Killed,
    /// Nodes restart every second without state.
    Restarted,
    /// Reports are lost.
    Lossy,
    /// Callers stop using the nodes, which keep running.
    CallersLeft,
    /// Nodes pause for one second out of three and process the requests and reports of that time
    /// when they resume.
    Paused,
    /// Reports are delayed by up to a second, and so arrive out of order.
    Delayed,
}

impl Fault {
    fn new(kind: FaultKind, share: f64) -> Self {
        Self { kind, share, position: 0.0, from: FAULT_TIME.0, to: FAULT_TIME.1 }
    }

    /// Creates a fault without effect.
    pub fn none() -> Self {
        Self::new(FaultKind::None, 0.0)
    }

    /// Isolates a share of the nodes, which still admit requests.
    pub fn isolated(share: f64) -> Self {
        Self::new(FaultKind::Isolated, share)
    }

    /// Kills a share of the nodes; their callers use the others.
    pub fn killed(share: f64) -> Self {
        Self::new(FaultKind::Killed, share)
    }

    /// Restarts a share of the nodes every second without state.
    pub fn restarted(share: f64) -> Self {
        Self::new(FaultKind::Restarted, share)
    }

    /// Loses a share of the reports.
    pub fn lossy(share: f64) -> Self {
        Self::new(FaultKind::Lossy, share)
    }

    fn is_active(&self, kind: FaultKind, time: Duration) -> bool {
        self.kind == kind && (self.from..self.to).contains(&time)
    }

    fn affects(&self, kind: FaultKind, node: usize, nodes: usize, time: Duration) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let offset = (node as f64 + 0.5) / nodes as f64 - self.position;
        self.is_active(kind, time) && offset.rem_euclid(1.0) < self.share
    }

    /// Returns whether `node` is isolated.
    pub fn is_isolated(&self, node: usize, nodes: usize, time: Duration) -> bool {
        self.affects(FaultKind::Isolated, node, nodes, time)
    }

    /// Returns when a paused node resumes.
    fn paused_until(&self, node: usize, nodes: usize, time: Duration) -> Option<Duration> {
        let is_affected = self.affects(FaultKind::Paused, node, nodes, time);
        let phase = time.saturating_sub(self.from).as_millis() % PAUSE_INTERVAL.as_millis();
        let phase = Duration::from_millis(u64::try_from(phase).unwrap_or_default());
        (is_affected && phase < PAUSE).then(|| (time + PAUSE - phase).min(self.to))
    }
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Arrival times of all requests.
    requested: Vec<Duration>,
    /// Times of admitted requests.
    admitted: Vec<Duration>,
    /// Number of refused requests.
    pub refused: usize,
}

impl Outcome {
    /// Records a request.
    pub fn record(&mut self, time: Duration, is_admitted: bool) {
        self.requested.push(time);
        match is_admitted {
            true => self.admitted.push(time),
            false => self.refused += 1,
        }
    }

    /// Returns the largest number of requests admitted in any window.
    pub fn max_in_window(&self, window: Duration) -> f64 {
        self.max_in_window_between(Duration::ZERO, LENGTH, window)
    }

    /// Returns the largest number of requests admitted in any window between two times.
    pub fn max_in_window_between(&self, from: Duration, until: Duration, window: Duration) -> f64 {
        let mut within: Vec<Duration> =
            self.admitted.iter().copied().filter(|t| (from..until).contains(t)).collect();
        within.sort_unstable();
        let mut first = 0;
        let mut max = 0;
        for (last, time) in within.iter().enumerate() {
            while within[first] + window <= *time {
                first += 1;
            }
            max = max.max(last + 1 - first);
        }
        #[expect(clippy::cast_precision_loss, reason = "some thousands")]
        let max = max as f64;
        max
    }

    /// Returns how many requests a single token bucket shared by all nodes would refuse.
    pub fn refused_by_exact_bucket(&self, rate: f64, burst: f64) -> usize {
        let mut requested = self.requested.clone();
        requested.sort_unstable();
        let (mut tokens, mut at, mut refused) = (burst, Duration::ZERO, 0);
        for time in requested {
            tokens = (tokens + (time - at).as_secs_f64() * rate).min(burst);
            at = time;
            match tokens >= 1.0 {
                true => tokens -= 1.0,
                false => refused += 1,
            }
        }
        refused
    }

    /// Returns the share of the requests that were refused.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.refused + self.admitted.len()) as f64
    }

    /// Returns the requests admitted per second during the surge.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn admitted_during_surge(&self) -> f64 {
        let during_surge = self.admitted.iter().filter(|t| (SURGE.0..SURGE.1).contains(t)).count();
        during_surge as f64 / (SURGE.1 - SURGE.0).as_secs_f64()
    }
}

/// Fleet with one organisation that has a limit and one that has none.
#[derive(Clone, Debug)]
pub struct Fleet {
    nodes: usize,
    rate: f64,
    burst: f64,
    /// Seed of the random number generator.
    pub seed: u64,
    /// Change of the limit during the simulation.
    pub change: Option<LimitChange>,
    /// Largest random delay of a report.
    pub jitter: Option<Duration>,
}

/// Change of the limit.
#[derive(Clone, Copy, Debug)]
pub struct LimitChange {
    /// When the first node applies the change.
    pub at: Duration,
    /// Time from then until the last node applies it.
    pub spread: Duration,
    /// New rate in requests per second.
    pub rate: f64,
    /// New burst.
    pub burst: f64,
}

impl LimitChange {
    /// Returns when a node applies the change.
    fn time(&self, node: usize, nodes: usize) -> Duration {
        let index = u32::try_from(node).expect("a few hundred nodes");
        let nodes = u32::try_from(nodes).expect("a few hundred nodes");
        self.at + self.spread * index / nodes
    }
}

/// Reports in transit, by the number of periods until they arrive.
#[derive(Default)]
struct Network {
    due: collections::VecDeque<Vec<Message>>,
}

/// Report in transit.
struct Message {
    from: usize,
    to: usize,
    usages: sync::Arc<Vec<usage::Usage>>,
}

impl Network {
    fn send(&mut self, delay: Duration, message: Message) {
        let periods = delay.as_millis().div_ceil(REPORT.as_millis());
        let periods = usize::try_from(periods).expect("a few periods");
        while self.due.len() <= periods {
            self.due.push_back(Vec::new());
        }
        self.due[periods].push(message);
    }

    /// Returns the reports that arrive in this period.
    fn arrivals(&mut self) -> Vec<Message> {
        self.due.pop_front().unwrap_or_default()
    }
}

/// Faults in one period.
struct ActiveFaults {
    is_isolated: Vec<bool>,
    is_killed: Vec<bool>,
    paused_until: Vec<Option<Duration>>,
    loss: Option<f64>,
    delayed: Option<f64>,
}

/// Request at a node.
#[derive(Clone, Copy)]
struct Request {
    at: Duration,
    node: usize,
    is_limited: bool,
}

/// Running simulation of a fleet.
struct Simulation<'a> {
    fleet: &'a Fleet,
    faults: &'a [Fault],
    random: rngs::StdRng,
    start: Instant,
    names: Vec<id::Node>,
    nodes: Vec<quota::Quotas>,
    has_changed: Vec<bool>,
    network: Network,
    /// Requests at paused nodes.
    held: Vec<Request>,
    limited: id::Organisation,
    unlimited: id::Organisation,
    outcome: Outcome,
}

impl Fleet {
    /// Creates a fleet without faults.
    pub fn new(nodes: usize, rate: f64, burst: f64) -> Self {
        Self { nodes, rate, burst, seed: 7, change: None, jitter: None }
    }

    /// Simulates a load with one fault.
    pub fn simulate(&self, load: &Load, fault: &Fault) -> Outcome {
        self.simulate_all(load, std::slice::from_ref(fault))
    }

    /// Simulates a load with several faults.
    pub fn simulate_all(&self, load: &Load, faults: &[Fault]) -> Outcome {
        let mut random = rngs::StdRng::seed_from_u64(self.seed);
        let mut requests: Vec<(Duration, bool)> =
            load.times(&mut random).into_iter().map(|time| (time, true)).collect();
        // The organisation without a limit has a steady load, as a few large organisations together
        // have.
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let unlimited = Load::steady(20.0 * self.nodes as f64).times(&mut random);
        requests.extend(unlimited.into_iter().map(|time| (time, false)));
        requests.sort_by_key(|(time, _)| *time);
        let mut simulation = Simulation::new(self, faults, random);
        let mut next_report = Duration::ZERO;
        for (time, is_limited) in requests {
            while next_report <= time {
                simulation.period(next_report);
                next_report += REPORT;
            }
            simulation.request(time, is_limited);
        }
        simulation.outcome
    }
}

impl<'a> Simulation<'a> {
    fn new(fleet: &'a Fleet, faults: &'a [Fault], random: rngs::StdRng) -> Self {
        let nodes = 0..fleet.nodes;
        let mut simulation = Self {
            fleet,
            faults,
            random,
            start: Instant::now(),
            names: nodes.clone().map(|node| id::Node::new(&format!("n-{node}"))).collect(),
            nodes: Vec::new(),
            has_changed: vec![false; fleet.nodes],
            network: Network::default(),
            held: Vec::new(),
            // The names seed the nodes' sampling, so changing them would change every case.
            limited: id::Organisation::new("hot"),
            unlimited: id::Organisation::new("other"),
            outcome: Outcome::default(),
        };
        simulation.nodes = nodes.map(|node| simulation.start_node(node, Duration::ZERO)).collect();
        simulation
    }

    /// Returns the state of a started node.
    fn start_node(&self, node: usize, time: Duration) -> quota::Quotas {
        let now = self.start + time;
        let mut quotas = quota::Quotas::new(&self.names[node], super::SLACK, now);
        let (rate, burst) = match self.fleet.change.filter(|_| self.has_changed[node]) {
            Some(change) => (change.rate, change.burst),
            None => (self.fleet.rate, self.fleet.burst),
        };
        quotas.configure(&configuration(rate, burst), now);
        quotas.set_others(self.fleet.nodes - 1);
        quotas
    }

    fn has_fault(&self, kind: FaultKind, node: usize, time: Duration) -> bool {
        self.faults.iter().any(|fault| fault.affects(kind, node, self.fleet.nodes, time))
    }

    fn paused_until(&self, node: usize, time: Duration) -> Option<Duration> {
        let nodes = self.fleet.nodes;
        self.faults.iter().filter_map(|fault| fault.paused_until(node, nodes, time)).max()
    }

    /// Simulates the events of one period: pauses end, nodes report, reports arrive, limits change.
    fn period(&mut self, time: Duration) {
        self.process_held(time);
        let active = self.active_faults(time);
        for node in 0..self.fleet.nodes {
            self.report(node, time, &active);
        }
        self.deliver(time, &active);
        let Some(change) = self.fleet.change else { return };
        for node in 0..self.fleet.nodes {
            if time >= change.time(node, self.fleet.nodes) && !self.has_changed[node] {
                self.has_changed[node] = true;
                let routing = configuration(change.rate, change.burst);
                self.nodes[node].configure(&routing, self.start + time);
            }
        }
    }

    /// Processes the requests that arrived at nodes while they were paused, before they read any
    /// report.
    fn process_held(&mut self, time: Duration) {
        let (ready, held) = self.held.drain(..).partition(|request| request.at <= time);
        self.held = held;
        for request in ready {
            self.process(request);
        }
    }

    fn request(&mut self, time: Duration, is_limited: bool) {
        let Some(node) = self.node_for(time) else { return };
        match self.paused_until(node, time) {
            Some(until) => self.held.push(Request { at: until, node, is_limited }),
            None => self.process(Request { at: time, node, is_limited }),
        }
    }

    fn process(&mut self, request: Request) {
        let Request { at, node, is_limited } = request;
        let organisation = if is_limited { &self.limited } else { &self.unlimited };
        let is_admitted = self.nodes[node].admit(organisation, self.start + at).is_ok();
        match is_limited {
            true => self.outcome.record(at, is_admitted),
            false => assert!(is_admitted, "an organisation without a limit was refused"),
        }
    }

    /// Returns a random node that callers can use, or `None` if all are killed.
    fn node_for(&mut self, time: Duration) -> Option<usize> {
        for _ in 0..100 {
            let node = self.random.random_range(0..self.fleet.nodes);
            if !self.has_fault(FaultKind::Killed, node, time)
                && !self.has_fault(FaultKind::CallersLeft, node, time)
            {
                return Some(node);
            }
        }
        (0..self.fleet.nodes).find(|node| !self.has_fault(FaultKind::Killed, *node, time))
    }

    fn active_faults(&self, time: Duration) -> ActiveFaults {
        let nodes = 0..self.fleet.nodes;
        let share = |kind| {
            self.faults.iter().find(|fault| fault.is_active(kind, time)).map(|fault| fault.share)
        };
        ActiveFaults {
            is_isolated: nodes
                .clone()
                .map(|node| self.has_fault(FaultKind::Isolated, node, time))
                .collect(),
            is_killed: nodes
                .clone()
                .map(|node| self.has_fault(FaultKind::Killed, node, time))
                .collect(),
            paused_until: nodes.map(|node| self.paused_until(node, time)).collect(),
            loss: share(FaultKind::Lossy),
            delayed: share(FaultKind::Delayed),
        }
    }

    fn report(&mut self, from: usize, time: Duration, active: &ActiveFaults) {
        let now = self.start + time;
        let is_restarted =
            self.has_fault(FaultKind::Restarted, from, time) && time.subsec_millis() == 0;
        if is_restarted || active.is_killed[from] {
            // A killed node comes back without state.
            self.nodes[from] = self.start_node(from, time);
        }
        if active.is_killed[from] || active.paused_until[from].is_some() {
            return;
        }
        self.nodes[from].set_store_known(!active.is_isolated[from]);
        self.nodes[from].tick(now);
        let usages = sync::Arc::new(self.nodes[from].report(now));
        if usages.is_empty() {
            return;
        }
        for to in (0..self.fleet.nodes).filter(|to| *to != from) {
            let is_lost = active.loss.is_some_and(|loss| self.random.random_bool(loss));
            if !active.is_isolated[from] && !active.is_isolated[to] && !is_lost {
                let delay = DELAYS[(from + to) % DELAYS.len()] + self.random_delay(active);
                let delay = delay + self.random_jitter();
                self.network.send(delay, Message { from, to, usages: sync::Arc::clone(&usages) });
            }
        }
    }

    fn random_jitter(&mut self) -> Duration {
        let max = self.fleet.jitter;
        max.map_or(Duration::ZERO, |max| max.mul_f64(self.random.random::<f64>()))
    }

    fn random_delay(&mut self, active: &ActiveFaults) -> Duration {
        let is_delayed = active.delayed.is_some_and(|share| self.random.random_bool(share));
        if is_delayed { MAX_DELAY.mul_f64(self.random.random::<f64>()) } else { Duration::ZERO }
    }

    fn deliver(&mut self, time: Duration, active: &ActiveFaults) {
        for message in self.network.arrivals() {
            match active.paused_until[message.to] {
                Some(until) => self.network.send(until - time, message),
                None if active.is_killed[message.to] => {}
                None => {
                    let from = &self.names[message.from];
                    self.nodes[message.to].receive(from, &message.usages, self.start + time);
                }
            }
        }
    }
}

/// Returns a configuration with two organisations, one with a limit and one without.
fn configuration(rate: f64, burst: f64) -> routing::Routing {
    let organisation = |name: &str, quota| organisation::Organisation {
        name: id::Organisation::new(name),
        keys: Vec::new(),
        priority: 0,
        quota,
        home_regions: Vec::new(),
    };
    let organisations = [
        organisation("hot", Some(organisation::Quota { rate, burst })),
        organisation("other", None),
    ];
    let index = organisation::Index::new(organisations.into_iter()).expect("they share no key");
    routing::Routing::default().with_organisations(index)
}
