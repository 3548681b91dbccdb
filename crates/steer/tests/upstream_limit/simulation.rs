//! Simulation of a fleet of nodes that send requests to one upstream with a limit and exchange
//! reports with a delay.

use std::collections;
use std::ops;
use std::time::{Duration, Instant};

use model::{id, limit};
use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::peer_load;
use steer::dispatch::priority::Rank;
use steer::dispatch::upstream_limit::{Forwarder, Limits, Report};

/// Time between two reports of a node.
const REPORT: Duration = Duration::from_millis(100);

/// Largest delay of a report.
const MAX_DELAY: Duration = Duration::from_millis(40);

/// Simulated time.
pub const LENGTH: Duration = Duration::from_secs(30);

/// Time from a request to its response.
const RESPONSE_TIME: Duration = Duration::from_millis(150);

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FaultKind {
    /// Nodes neither send nor receive reports.
    Isolated,
    /// Nodes are down and come back without state.
    Killed,
    /// Nodes are paused and receive no requests.
    Paused,
}

/// Fault of some nodes for a limited time.
#[derive(Clone, Debug)]
pub struct Fault {
    pub kind: FaultKind,
    /// Affected nodes.
    pub nodes: ops::Range<usize>,
    /// Time of the fault.
    pub time: ops::Range<Duration>,
}

/// Limit that the upstream announces from a time on; `None` if it announces none.
#[derive(Clone, Copy, Debug)]
pub struct LimitChange {
    pub from: Duration,
    pub limit: Option<f64>,
}

/// Fleet with its load, its limits and its faults.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub nodes: usize,
    /// Number of regions, to which the nodes are assigned in turn. The first node of each region is
    /// its representative: it forwards the sum of its region to the other representatives, and
    /// their sums to its region.
    pub regions: usize,
    /// Demand for the upstream over the whole fleet, in requests per second.
    pub demand: f64,
    /// Share of the requests that go only to the first tenth of the nodes.
    pub skew: f64,
    /// LimitChange limits, ordered by time.
    pub limit_changes: Vec<LimitChange>,
    /// Share of the reports that are lost.
    pub loss: f64,
    pub faults: Vec<Fault>,
    pub seed: u64,
}

/// Request that was sent to the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub node: usize,
    pub at: Duration,
}

/// Results of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    pub sent: Vec<Sent>,
    /// When each node first forwarded a response with a limit.
    limited_since: collections::BTreeMap<usize, Duration>,
    /// Bytes of all reports.
    pub bytes: usize,
}

/// Running simulation of a fleet.
struct Simulation<'a> {
    fleet: &'a Fleet,
    start: Instant,
    random: rngs::StdRng,
    nodes: Vec<Limits>,
    /// Forwarders of each representative, to other regions and to the rest of its own.
    forwarders: Vec<(Forwarder, Forwarder)>,
    was_killed: Vec<bool>,
    /// Reports in transit: arrival time, sender, receiver and content.
    reports: Vec<(Duration, id::Node, usize, Report)>,
    /// Responses in transit: arrival time and receiver.
    responses: Vec<(Duration, usize)>,
    outcome: Outcome,
}

impl Fleet {
    /// Creates a fleet whose upstream announces `limit` from 5 s on.
    pub fn new(nodes: usize, demand: f64, limit: f64) -> Self {
        let limit_changes = vec![LimitChange { from: Duration::from_secs(5), limit: Some(limit) }];
        let (skew, loss, faults, seed) = (0.0, 0.0, Vec::new(), 7);
        Self { nodes, regions: 1, demand, skew, limit_changes, loss, faults, seed }
    }

    /// Runs the simulation.
    pub fn simulate(&self) -> Outcome {
        let random = rngs::StdRng::seed_from_u64(self.seed);
        let nodes = (0..self.nodes).map(|node| self.node(node)).collect();
        let mut simulation = Simulation {
            fleet: self,
            start: Instant::now(),
            random,
            nodes,
            forwarders: vec![Default::default(); self.regions],
            was_killed: vec![false; self.nodes],
            reports: Vec::new(),
            responses: Vec::new(),
            outcome: Outcome::default(),
        };
        let mut time = Duration::ZERO;
        let mut next_report = Duration::ZERO;
        while time < LENGTH {
            while next_report <= time {
                simulation.period(next_report);
                next_report += REPORT;
            }
            simulation.request(time);
            let wait = -simulation.random.random::<f64>().max(1e-9).ln() / self.demand;
            time += Duration::from_secs_f64(wait);
        }
        simulation.outcome
    }

    fn node(&self, node: usize) -> Limits {
        let mut limits = Limits::new(name(node));
        limits.set_contact(self.nodes - 1, true);
        limits
    }

    fn limit(&self, time: Duration) -> Option<f64> {
        self.limit_changes
            .iter()
            .rfind(|change| change.from <= time)
            .and_then(|change| change.limit)
    }

    fn has_fault(&self, kind: FaultKind, node: usize, time: Duration) -> bool {
        let affects = |fault: &Fault| {
            fault.kind == kind && fault.nodes.contains(&node) && fault.time.contains(&time)
        };
        self.faults.iter().any(affects)
    }

    /// Returns whether any fault affects a node in a time span.
    fn is_affected(&self, node: usize, time: ops::Range<Duration>) -> bool {
        self.faults.iter().any(|fault| {
            fault.nodes.contains(&node)
                && fault.time.start < time.end
                && time.start < fault.time.end
        })
    }
}

/// Returns the name of a node.
fn name(node: usize) -> id::Node {
    id::Node::new(&format!("n-{node}"))
}

impl Simulation<'_> {
    /// Simulates the events of one period: reports and responses arrive, then nodes report.
    fn period(&mut self, time: Duration) {
        let now = self.start + time;
        self.deliver(time);
        for node in 0..self.fleet.nodes {
            let is_killed = self.fleet.has_fault(FaultKind::Killed, node, time);
            if std::mem::replace(&mut self.was_killed[node], is_killed) != is_killed {
                self.nodes[node] = self.fleet.node(node);
                self.outcome.limited_since.remove(&node);
            }
            if is_killed || self.fleet.has_fault(FaultKind::Paused, node, time) {
                continue;
            }
            let is_isolated = self.fleet.has_fault(FaultKind::Isolated, node, time);
            self.nodes[node].set_contact(self.fleet.nodes - 1, !is_isolated);
            self.nodes[node].tick(|_| true, now);
            let report = self.nodes[node].report(now);
            if report != Report::default() && !is_isolated {
                let is_representative = node < self.fleet.regions;
                let receives = |to: usize| {
                    to % self.fleet.regions == node % self.fleet.regions
                        || is_representative && to < self.fleet.regions
                };
                let to: Vec<usize> = (0..self.fleet.nodes).filter(|to| receives(*to)).collect();
                self.send(&name(node), node, &to, time, &report);
            }
            if node < self.fleet.regions && self.fleet.regions > 1 && !is_isolated {
                self.forward(node, time);
            }
        }
    }

    /// Forwards the sum of a representative's region to the other representatives, and the sum of
    /// the other regions to its region.
    fn forward(&mut self, node: usize, time: Duration) {
        let (regions, now) = (self.fleet.regions, self.start + time);
        let number = |name: &id::Node| name.as_str().strip_prefix("n-")?.parse::<usize>().ok();
        let is_own_region =
            |name: &id::Node| number(name).is_some_and(|n| n >= regions && n % regions == node);
        let is_other_region = |name: &id::Node| {
            number(name).map_or(name.as_str().starts_with('+'), |n| n < regions && n != node)
        };
        let (to_others, to_own) = &mut self.forwarders[node];
        let own = self.nodes[node].report_sum(is_own_region, to_others, now);
        let others = self.nodes[node].report_sum(is_other_region, to_own, now);
        let representatives: Vec<usize> = (0..regions).collect();
        let region =
            (regions..self.fleet.nodes).filter(|to| to % regions == node).collect::<Vec<_>>();
        self.send(&id::Node::new(&format!("+{node}")), node, &representatives, time, &own);
        self.send(&id::Node::new(&format!("+not-{node}")), node, &region, time, &others);
    }

    fn send(
        &mut self,
        name: &id::Node,
        from: usize,
        to: &[usize],
        time: Duration,
        report: &Report,
    ) {
        if *report == Report::default() {
            return;
        }
        let size = report.announcements.len() * 16 + report.usages.len() * 18;
        for to in to.iter().copied().filter(|to| *to != from) {
            self.outcome.bytes += size;
            if !self.random.random_bool(self.fleet.loss) {
                let at = time + MAX_DELAY.mul_f64(self.random.random());
                self.reports.push((at, name.clone(), to, report.clone()));
            }
        }
    }

    fn deliver(&mut self, time: Duration) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(at, ..)| *at <= time);
        self.reports = waiting;
        for (at, from, to, report) in due {
            if self.fleet.has_fault(FaultKind::Paused, to, time) {
                self.reports.push((at + REPORT, from, to, report));
            } else if !self.fleet.has_fault(FaultKind::Isolated, to, time)
                && !self.fleet.has_fault(FaultKind::Killed, to, time)
            {
                self.nodes[to].receive(&from, &report, self.start + time);
            }
        }
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.responses).into_iter().partition(|(at, _)| *at <= time);
        self.responses = waiting;
        for (at, node) in due {
            let limit = self.fleet.limit(at);
            let field = limit.map_or(limit::Field::Absent, |rate| {
                limit::Field::Limit(limit::Rate::new(rate).expect("a rate"))
            });
            self.nodes[node].observe(KEY, field, self.start + time);
            match limit {
                Some(_) => drop(self.outcome.limited_since.entry(node).or_insert(at)),
                None => drop(self.outcome.limited_since.remove(&node)),
            }
        }
    }

    fn request(&mut self, time: Duration) {
        let tenth = self.fleet.nodes.div_ceil(10);
        let nodes = match self.random.random_bool(self.fleet.skew) {
            true => tenth,
            false => self.fleet.nodes,
        };
        let node = self.random.random_range(0..nodes);
        let has_fault = |kind| self.fleet.has_fault(kind, node, time);
        if has_fault(FaultKind::Killed) || has_fault(FaultKind::Paused) {
            return;
        }
        let now = self.start + time;
        self.nodes[node].count(now);
        if self.nodes[node].admit(KEY, Rank::Uncontested, now).is_ok() {
            self.outcome.sent.push(Sent { node, at: time });
            self.responses.push((time + RESPONSE_TIME, node));
        }
    }
}

/// Key of the upstream.
const KEY: peer_load::Key = peer_load::Key(77);

impl Outcome {
    /// Returns the largest number of requests that satisfy `counts` in any window that begins in
    /// `times`.
    pub fn max_in_window(
        &self,
        window: Duration,
        times: ops::Range<Duration>,
        counts: impl Fn(&Sent) -> bool,
    ) -> usize {
        let starts = self.sent.iter().map(|sent| sent.at).filter(|at| times.contains(at));
        let within = |start: Duration| {
            let window = start..start + window;
            let all = self.sent.iter().filter(|sent| window.contains(&sent.at));
            all.filter(|sent| counts(sent)).count()
        };
        starts.map(within).max().unwrap_or(0)
    }

    /// Returns how many requests were sent in `times`.
    #[expect(clippy::cast_precision_loss, reason = "some hundreds")]
    pub fn count(&self, times: ops::Range<Duration>) -> f64 {
        self.sent.iter().filter(|sent| times.contains(&sent.at)).count() as f64
    }

    /// Returns whether a request counts for the required bound: its node forwarded a response with
    /// a limit at least [`PROPAGATION_TIME`] before, and no fault affected the node within
    /// `contact`.
    pub fn is_counted(&self, fleet: &Fleet, sent: &Sent, contact: Duration) -> bool {
        let limited_since =
            self.limited_since.get(&sent.node).is_some_and(|at| *at + PROPAGATION_TIME <= sent.at);
        limited_since && !fleet.is_affected(sent.node, sent.at.saturating_sub(contact)..sent.at)
    }
}

/// Time from a forwarded response with a limit until the requests of its gateway count.
pub const PROPAGATION_TIME: Duration = Duration::from_millis(500);
