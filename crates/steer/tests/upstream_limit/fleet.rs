//! A fleet of nodes that choose whether to send requests to one upstream with a limit, and report to each other late.

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

/// Longest way of a report.
const WAY: Duration = Duration::from_millis(40);

/// Length of a play.
pub const LENGTH: Duration = Duration::from_secs(30);

/// Time after which a request's answer comes.
const WORK: Duration = Duration::from_millis(150);

/// What goes wrong with some nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// They reach nobody and are reached by nobody.
    Cut,
    /// They are gone, and come back knowing nothing; their callers go to others.
    Killed,
    /// They stand still.
    Frozen,
}

/// Something that goes wrong with a part of the nodes for a while.
#[derive(Clone, Debug)]
pub struct Trouble {
    pub kind: Kind,
    /// The nodes.
    pub nodes: ops::Range<usize>,
    /// When.
    pub time: ops::Range<Duration>,
}

/// A named of the upstream that is in force from a time on.
#[derive(Clone, Copy, Debug)]
pub struct Named {
    pub from: Duration,
    pub limit: Option<f64>,
}

/// A fleet, and what it meets.
#[derive(Clone, Debug)]
pub struct Fleet {
    pub nodes: usize,
    /// Regions of the nodes, in turn. The first node of each represents it: it forwards sums to the others, and theirs to its own.
    pub regions: usize,
    /// Requests a second that would go to the upstream, over the whole fleet.
    pub asked: f64,
    /// Part of the requests that come to the first tenth of the nodes.
    pub uneven: f64,
    /// What the upstream names, in order.
    pub names: Vec<Named>,
    /// Part of the reports that is lost.
    pub loss: f64,
    pub troubles: Vec<Trouble>,
    pub seed: u64,
}

/// A request that was sent.
#[derive(Clone, Copy, Debug)]
pub struct Sent {
    pub node: usize,
    pub at: Duration,
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct Played {
    pub sent: Vec<Sent>,
    /// When each node passed on an answer that names a limit, first.
    limited_since: collections::BTreeMap<usize, Duration>,
    pub bytes: usize,
}

struct Run<'a> {
    fleet: &'a Fleet,
    start: Instant,
    random: rngs::StdRng,
    nodes: Vec<Limits>,
    /// What each representative forwarded to other regions, and to the rest of its own.
    forwarders: Vec<(Forwarder, Forwarder)>,
    was_killed: Vec<bool>,
    reports: Vec<(Duration, id::Node, usize, Report)>,
    answers: Vec<(Duration, usize)>,
    played: Played,
}

impl Fleet {
    /// Makes a fleet whose upstream names `limit` from 5 s on.
    pub fn new(nodes: usize, asked: f64, limit: f64) -> Self {
        let names = vec![Named { from: Duration::from_secs(5), limit: Some(limit) }];
        let (uneven, loss, troubles, seed) = (0.0, 0.0, Vec::new(), 7);
        Self { nodes, regions: 1, asked, uneven, names, loss, troubles, seed }
    }

    /// Plays it.
    pub fn play(&self) -> Played {
        let random = rngs::StdRng::seed_from_u64(self.seed);
        let nodes = (0..self.nodes).map(|node| self.node(node)).collect();
        let mut run = Run {
            fleet: self,
            start: Instant::now(),
            random,
            nodes,
            forwarders: vec![Default::default(); self.regions],
            was_killed: vec![false; self.nodes],
            reports: Vec::new(),
            answers: Vec::new(),
            played: Played::default(),
        };
        let mut time = Duration::ZERO;
        let mut next_report = Duration::ZERO;
        while time < LENGTH {
            while next_report <= time {
                run.period(next_report);
                next_report += REPORT;
            }
            run.request(time);
            let wait = -run.random.random::<f64>().max(1e-9).ln() / self.asked;
            time += Duration::from_secs_f64(wait);
        }
        run.played
    }

    fn node(&self, node: usize) -> Limits {
        let mut limits = Limits::new(name(node));
        limits.set_contact(self.nodes - 1, true);
        limits
    }

    fn limit(&self, time: Duration) -> Option<f64> {
        self.names.iter().rfind(|named| named.from <= time).and_then(|named| named.limit)
    }

    fn is(&self, kind: Kind, node: usize, time: Duration) -> bool {
        let strikes =
            |t: &Trouble| t.kind == kind && t.nodes.contains(&node) && t.time.contains(&time);
        self.troubles.iter().any(strikes)
    }

    /// Returns whether any trouble strikes a node.
    fn is_struck(&self, node: usize, time: ops::Range<Duration>) -> bool {
        self.troubles
            .iter()
            .any(|t| t.nodes.contains(&node) && t.time.start < time.end && time.start < t.time.end)
    }
}

/// Returns the name of a node.
fn name(node: usize) -> id::Node {
    id::Node::new(&format!("n-{node}"))
}

impl Run<'_> {
    /// Nodes report to each other, and get what was reported and answered meanwhile.
    fn period(&mut self, time: Duration) {
        let now = self.start + time;
        self.deliver(time);
        for node in 0..self.fleet.nodes {
            let is_killed = self.fleet.is(Kind::Killed, node, time);
            if std::mem::replace(&mut self.was_killed[node], is_killed) != is_killed {
                self.nodes[node] = self.fleet.node(node);
                self.played.limited_since.remove(&node);
            }
            if is_killed || self.fleet.is(Kind::Frozen, node, time) {
                continue;
            }
            let is_cut = self.fleet.is(Kind::Cut, node, time);
            self.nodes[node].set_contact(self.fleet.nodes - 1, !is_cut);
            self.nodes[node].tick(|_| true, now);
            let report = self.nodes[node].report(now);
            if report != Report::default() && !is_cut {
                let is_representative = node < self.fleet.regions;
                let sees = |to: usize| {
                    to % self.fleet.regions == node % self.fleet.regions
                        || is_representative && to < self.fleet.regions
                };
                let to: Vec<usize> = (0..self.fleet.nodes).filter(|to| sees(*to)).collect();
                self.send(&name(node), node, &to, time, &report);
            }
            if node < self.fleet.regions && self.fleet.regions > 1 && !is_cut {
                self.forward(node, time);
            }
        }
    }

    /// A representative forwards what the rest of its region reported to the others, and what these reported to the rest.
    fn forward(&mut self, node: usize, time: Duration) {
        let (regions, now) = (self.fleet.regions, self.start + time);
        let number = |name: &id::Node| name.as_str().strip_prefix("n-")?.parse::<usize>().ok();
        let of_rest =
            |name: &id::Node| number(name).is_some_and(|n| n >= regions && n % regions == node);
        let of_far = |name: &id::Node| {
            number(name).map_or(name.as_str().starts_with('+'), |n| n < regions && n != node)
        };
        let (for_far, for_rest) = &mut self.forwarders[node];
        let rest = self.nodes[node].report_sum(of_rest, for_far, now);
        let far = self.nodes[node].report_sum(of_far, for_rest, now);
        let representatives: Vec<usize> = (0..regions).collect();
        let of_region =
            (regions..self.fleet.nodes).filter(|to| to % regions == node).collect::<Vec<_>>();
        self.send(&id::Node::new(&format!("+{node}")), node, &representatives, time, &rest);
        self.send(&id::Node::new(&format!("+not-{node}")), node, &of_region, time, &far);
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
            self.played.bytes += size;
            if !self.random.random_bool(self.fleet.loss) {
                let at = time + WAY.mul_f64(self.random.random());
                self.reports.push((at, name.clone(), to, report.clone()));
            }
        }
    }

    fn deliver(&mut self, time: Duration) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reports).into_iter().partition(|(at, ..)| *at <= time);
        self.reports = waiting;
        for (at, from, to, report) in due {
            if self.fleet.is(Kind::Frozen, to, time) {
                self.reports.push((at + REPORT, from, to, report));
            } else if !self.fleet.is(Kind::Cut, to, time) && !self.fleet.is(Kind::Killed, to, time)
            {
                self.nodes[to].receive(&from, &report, self.start + time);
            }
        }
        let (due, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.answers).into_iter().partition(|(at, _)| *at <= time);
        self.answers = waiting;
        for (at, node) in due {
            let limit = self.fleet.limit(at);
            let field = limit.map_or(limit::Field::Absent, |rate| {
                limit::Field::Limit(limit::Rate::new(rate).expect("a rate"))
            });
            self.nodes[node].observe(KEY, field, self.start + time);
            match limit {
                Some(_) => drop(self.played.limited_since.entry(node).or_insert(at)),
                None => drop(self.played.limited_since.remove(&node)),
            }
        }
    }

    fn request(&mut self, time: Duration) {
        let tenth = self.fleet.nodes.div_ceil(10);
        let nodes = match self.random.random_bool(self.fleet.uneven) {
            true => tenth,
            false => self.fleet.nodes,
        };
        let node = self.random.random_range(0..nodes);
        let is_away = |kind| self.fleet.is(kind, node, time);
        if is_away(Kind::Killed) || is_away(Kind::Frozen) {
            return;
        }
        let now = self.start + time;
        self.nodes[node].count(now);
        if self.nodes[node].admit(KEY, Rank::Uncontested, now).is_ok() {
            self.played.sent.push(Sent { node, at: time });
            self.answers.push((time + WORK, node));
        }
    }
}

/// The upstream.
const KEY: peer_load::Key = peer_load::Key(77);

impl Played {
    /// Returns the most requests in a window of those that begin between two times, by the nodes for which `counts` holds.
    pub fn most(
        &self,
        window: Duration,
        times: ops::Range<Duration>,
        counts: impl Fn(&Sent) -> bool,
    ) -> usize {
        let begins = self.sent.iter().map(|sent| sent.at).filter(|at| times.contains(at));
        let within = |begin: Duration| {
            let window = begin..begin + window;
            let all = self.sent.iter().filter(|sent| window.contains(&sent.at));
            all.filter(|sent| counts(sent)).count()
        };
        begins.map(within).max().unwrap_or(0)
    }

    /// Returns how many were sent between two times.
    #[expect(clippy::cast_precision_loss, reason = "some hundreds")]
    pub fn count(&self, times: ops::Range<Duration>) -> f64 {
        self.sent.iter().filter(|sent| times.contains(&sent.at)).count() as f64
    }

    /// Returns whether the users' rule counts a request: its node passed on an answer half a second before, and nothing struck it lately.
    pub fn is_counted(&self, fleet: &Fleet, sent: &Sent, contact: Duration) -> bool {
        let limited_since =
            self.limited_since.get(&sent.node).is_some_and(|at| *at + COUNTS_AFTER <= sent.at);
        limited_since && !fleet.is_struck(sent.node, sent.at.saturating_sub(contact)..sent.at)
    }
}

/// Time after which a gateway that passed on an answer counts.
pub const COUNTS_AFTER: Duration = Duration::from_millis(500);
