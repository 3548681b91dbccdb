//! A fleet of nodes and upstreams in simulated time, with requests that crash upstreams and requests that do not.
//!
//! Owns the truth: who crashed what, and who was refused. Nodes hear of each other by news that is delayed and may be lost.

use std::net;
use std::time::{Duration, Instant};

use model::discovery;
use model::fingerprint::{CallerIdentity, Fingerprint, RequestContent};
use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::quarantine::Quarantine;
use steer::dispatch::quarantine::report::{Report, Source};
use steer::dispatch::quarantine::sighting::{Crash, Service, Sighting, Start};

/// Step of the simulation.
pub const STEP: Duration = Duration::from_millis(5);

/// Time after the third crash from which a request may reach upstreams three times more.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Time in which a node finds that an address refuses connections.
const CHECK: Duration = Duration::from_millis(15);

/// Regions of the nodes.
const REGIONS: usize = 2;

/// Tries of a visit.
const TRIES: usize = 2;

/// Visits of a caller, the first one included.
const VISITS: usize = 2;

/// What goes on in a fleet.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Decides all that is drawn.
    pub seed: u64,
    /// Nodes.
    pub nodes: usize,
    /// Upstreams of the one service.
    pub upstreams: usize,
    /// Requests that crash upstreams, and how many of each come a second, from as many callers.
    pub deadly: Vec<(f64, u32)>,
    /// Requests that crash nothing a second, each of a caller of its own.
    pub innocent: f64,
    /// Requests that crash nothing a second, all of one caller and one content.
    pub polled: f64,
    /// Upstreams that end together now and then, by other causes: when, and how many.
    pub ends: Vec<(Duration, usize)>,
    /// Upstreams that end one after the other for other causes, all in turn: from when on, and with which pause.
    pub rolling: Option<(Duration, Duration)>,
    /// Share of the datagrams that are lost.
    pub lost: f64,
    /// Nodes that hear none of the others and are heard by none, until then.
    pub cut: Option<(usize, Duration)>,
    /// When a node starts anew, without memory.
    pub replaced: Option<(usize, Duration)>,
}

impl Plan {
    /// A fleet in which nothing happens.
    pub fn quiet(seed: u64) -> Self {
        Self {
            seed,
            nodes: 6,
            upstreams: 20,
            deadly: Vec::new(),
            innocent: 60.0,
            polled: 10.0,
            ends: Vec::new(),
            rolling: None,
            lost: 0.0,
            cut: None,
            replaced: None,
        }
    }
}

/// What came of a plan.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Crashes by each deadly request.
    pub crashes: Vec<u32>,
    /// When the third crash by each was.
    pub third: Vec<Option<Instant>>,
    /// Sends of each later than contact after that, by nodes that were in touch for as long.
    pub later: Vec<u32>,
    /// Refusals of each.
    pub refused: Vec<u32>,
    /// Refusals of requests that crash nothing.
    pub innocent_refused: u32,
    /// Answers to requests that crash nothing.
    pub innocent_served: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Deadly(usize),
    Innocent,
}

#[derive(Clone, Debug)]
struct Visit {
    kind: Kind,
    fingerprint: Fingerprint,
    object: u64,
    tried: Vec<usize>,
    visits: usize,
}

#[derive(Clone, Debug)]
struct Running {
    visit: Visit,
    node: usize,
    upstream: usize,
    sent: Instant,
    ends: Instant,
}

#[derive(Clone, Copy, Debug)]
struct Upstream {
    start: u64,
    back: Option<Instant>,
}

/// A fleet in simulated time.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    random: rngs::StdRng,
    began: Instant,
    now: Instant,
    nodes: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    running: Vec<Running>,
    /// Requests that a node sends, or sends again, at a time.
    due: Vec<(Instant, usize, Visit)>,
    /// Requests that were in flight at a crash, until the node knows that it was one.
    checked: Vec<(Instant, usize, Sighting)>,
    datagrams: Vec<(Instant, usize, Source, Report)>,
    callers: u32,
    told: Duration,
    outcome: Outcome,
}

impl Fleet {
    /// Plays a plan for `length`.
    pub fn play(plan: &Plan, length: Duration) -> Outcome {
        let now = Instant::now() + Duration::from_secs(3_600);
        let deadly = plan.deadly.len();
        let mut fleet = Self {
            random: rngs::StdRng::seed_from_u64(plan.seed),
            began: now,
            now,
            nodes: (0..plan.nodes).map(|_| Quarantine::new(now)).collect(),
            upstreams: vec![Upstream { start: 1, back: None }; plan.upstreams],
            running: Vec::new(),
            due: Vec::new(),
            checked: Vec::new(),
            datagrams: Vec::new(),
            callers: 0,
            told: Duration::ZERO,
            outcome: Outcome {
                crashes: vec![0; deadly],
                third: vec![None; deadly],
                later: vec![0; deadly],
                refused: vec![0; deadly],
                ..Outcome::default()
            },
            plan: plan.clone(),
        };
        while fleet.now - fleet.began < length {
            fleet.step();
        }
        fleet.outcome
    }

    fn step(&mut self) {
        self.now += STEP;
        self.arrive();
        self.end_by_other_causes();
        self.send_due();
        self.finish();
        self.tell();
        self.hear();
    }

    fn passed(&self) -> Duration {
        self.now - self.began
    }

    fn comes(&mut self, per_second: f64) -> bool {
        self.random.random_bool((per_second * STEP.as_secs_f64()).min(1.0))
    }

    fn arrive(&mut self) {
        for index in 0..self.plan.deadly.len() {
            let (per_second, callers) = self.plan.deadly[index];
            if self.comes(per_second) {
                let caller = self.random.random_range(0..callers);
                let path = format!("/deadly/{index}");
                self.visit(Kind::Deadly(index), fingerprint(&path, caller), 7);
            }
        }
        if self.comes(self.plan.innocent) {
            self.callers += 1;
            let caller = 1_000 + self.callers;
            // A few share the object of the deadly requests, and so the upstreams that these are sent to.
            let object = self.random.random_range(0..10);
            let path = format!("/innocent/{}", self.random.random_range(0..1_000));
            self.visit(Kind::Innocent, fingerprint(&path, caller), object);
        }
        if self.comes(self.plan.polled) {
            self.visit(Kind::Innocent, fingerprint("/polled", 999), 7);
        }
    }

    fn visit(&mut self, kind: Kind, fingerprint: Fingerprint, object: u64) {
        let node = self.random.random_range(0..self.plan.nodes);
        let visit = Visit { kind, fingerprint, object, tried: Vec::new(), visits: 1 };
        self.due.push((self.now, node, visit));
    }

    fn end_by_other_causes(&mut self) {
        let passed = self.passed();
        let ends: Vec<usize> =
            self.plan.ends.iter().filter(|(at, _)| is_at(*at, passed)).map(|(_, n)| *n).collect();
        for count in ends {
            for upstream in 0..count {
                self.crash(upstream);
            }
        }
        if let Some((from, pause)) = self.plan.rolling {
            for upstream in 0..self.plan.upstreams {
                let turn = u32::try_from(upstream).expect("few");
                if is_at(from + pause * turn, passed) {
                    self.crash(upstream);
                }
            }
        }
    }

    fn send_due(&mut self) {
        let now = self.now;
        let due: Vec<_> = self.due.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, node, visit) in due {
            self.send(node, visit);
        }
    }

    fn send(&mut self, node: usize, mut visit: Visit) {
        if self.nodes[node].check(&visit.fingerprint, self.now).is_some() {
            match visit.kind {
                Kind::Deadly(index) => self.outcome.refused[index] += 1,
                Kind::Innocent => self.outcome.innocent_refused += 1,
            }
            return;
        }
        let key = match self.nodes[node].is_apart(&visit.fingerprint) {
            true => visit.fingerprint.affinity_hash(),
            false => visit.object,
        };
        let mut preferred: Vec<usize> = (0..self.plan.upstreams).collect();
        let mut order = rngs::StdRng::seed_from_u64(key);
        preferred.sort_by_cached_key(|_| order.random::<u64>());
        let is_up = |upstream: &usize| self.upstreams[*upstream].back.is_none();
        let upstream = preferred.into_iter().find(|u| is_up(u) && !visit.tried.contains(u));
        let Some(upstream) = upstream else { return };
        let work = match visit.kind {
            Kind::Deadly(_) => self.random.random_range(30..120),
            Kind::Innocent => self.random.random_range(200..800),
        };
        if let Kind::Deadly(index) = visit.kind {
            let third = self.outcome.third[index];
            let is_late = third.is_some_and(|third| self.now >= third + CONTACT);
            self.outcome.later[index] += u32::from(is_late && self.is_in_touch(node));
        }
        visit.tried.push(upstream);
        let ends = self.now + Duration::from_millis(work);
        self.running.push(Running { visit, node, upstream, sent: self.now, ends });
    }

    /// Returns whether a node was neither cut off nor started anew for as long as contact takes.
    fn is_in_touch(&self, node: usize) -> bool {
        let passed = self.passed();
        let was_cut = |(cut, until): (usize, Duration)| cut == node && passed < until + CONTACT;
        let has_started = |(replaced, at): (usize, Duration)| {
            replaced == node && (at..at + CONTACT).contains(&passed)
        };
        !self.plan.cut.is_some_and(was_cut) && !self.plan.replaced.is_some_and(has_started)
    }

    fn finish(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |running| running.ends <= now).collect();
        for running in ended {
            match running.visit.kind {
                Kind::Deadly(index) => {
                    let upstream = running.upstream;
                    // It ended in this step under another request.
                    if self.upstreams[upstream].back.is_some() {
                        continue;
                    }
                    self.outcome.crashes[index] += 1;
                    if self.outcome.crashes[index] == 3 {
                        self.outcome.third[index] = Some(now);
                    }
                    self.running.push(running);
                    self.crash(upstream);
                }
                Kind::Innocent => {
                    self.outcome.innocent_served += 1;
                    let fingerprint = running.visit.fingerprint;
                    let millis = self.millis();
                    self.nodes[running.node].succeeded(&fingerprint, Source::Own, millis, now);
                }
            }
        }
        for upstream in &mut self.upstreams {
            if upstream.back.is_some_and(|back| back <= now) {
                *upstream = Upstream { start: upstream.start + 1, back: None };
            }
        }
    }

    fn crash(&mut self, upstream: usize) {
        if self.upstreams[upstream].back.is_some() {
            return;
        }
        let down = Duration::from_millis(self.random.random_range(1_500..4_000));
        self.upstreams[upstream].back = Some(self.now + down);
        let start = start_of(upstream, self.upstreams[upstream].start);
        let up = self.upstreams.iter().filter(|u| u.back.is_none()).count() + 1;
        let lost: Vec<_> = self.running.extract_if(.., |r| r.upstream == upstream).collect();
        for running in lost {
            let crash = Crash {
                start,
                service: Service(1),
                upstreams: u32::try_from(up).expect("few"),
                at: self.now,
            };
            let Running { visit, node, sent, .. } = running;
            let sighting = Sighting { fingerprint: visit.fingerprint, crash, sent };
            let known = self.now + CHECK;
            self.checked.push((known, node, sighting));
            self.come_again(known, node, visit);
        }
    }

    /// A visit whose upstream ended goes on at another one; when it may not, its caller comes again at any node.
    fn come_again(&mut self, known: Instant, node: usize, mut visit: Visit) {
        if visit.tried.len() < TRIES {
            self.due.push((known + STEP, node, visit));
        } else if visit.visits < VISITS {
            visit.visits += 1;
            visit.tried.clear();
            let node = self.random.random_range(0..self.plan.nodes);
            self.due.push((known + Duration::from_millis(60), node, visit));
        }
    }

    fn tell(&mut self) {
        let now = self.now;
        let millis = self.millis();
        let checked: Vec<_> = self.checked.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, node, sighting) in checked {
            self.nodes[node].crashed(sighting, Source::Own, millis, now);
        }
        if let Some((node, at)) = self.plan.replaced
            && is_at(at, self.passed())
        {
            self.nodes[node] = Quarantine::new(now);
        }
        let is_time = self.passed() >= self.told + Duration::from_millis(500);
        if is_time {
            self.told = self.passed();
        }
        for node in 0..self.plan.nodes {
            self.nodes[node].judge(millis, now);
            let (near, far) = self.nodes[node].take_reports(now);
            for other in 0..self.plan.nodes {
                let is_near = node % REGIONS == other % REGIONS;
                let news = if is_near { &near } else { &far };
                if other != node && !news.is_empty() {
                    self.deliver(node, other, news.clone());
                }
            }
            let again = self.nodes[node].repeat(0, now);
            if is_time && !again.is_empty() {
                let other = self.random.random_range(0..self.plan.nodes);
                self.deliver(node, other, again);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, news: Report) {
        let is_cut = |(node, until)| (from == node) != (to == node) && self.passed() < until;
        if self.plan.cut.is_some_and(is_cut) || self.random.random_bool(self.plan.lost) {
            return;
        }
        let source = match from % REGIONS == to % REGIONS {
            true => Source::Near,
            false => Source::Far,
        };
        let way = Duration::from_millis(self.random.random_range(10..60));
        self.datagrams.push((self.now + way, to, source, news));
    }

    fn hear(&mut self) {
        let now = self.now;
        let millis = self.millis();
        let arrived: Vec<_> = self.datagrams.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, node, source, news) in arrived {
            let quarantine = &mut self.nodes[node];
            for sighting in news.sightings {
                quarantine.crashed(sighting, source, millis, now);
            }
            for fingerprint in news.cleared {
                quarantine.succeeded(&fingerprint, source, millis, now);
            }
            for (scope, ruling) in news.rulings {
                quarantine.apply_ruling(scope, ruling, source, now);
            }
        }
    }

    fn millis(&self) -> u64 {
        1_800_000_000_000 + u64::try_from(self.passed().as_millis()).expect("minutes")
    }
}

/// Returns whether a step that ends at `passed` holds `at`.
fn is_at(at: Duration, passed: Duration) -> bool {
    passed >= at && passed < at + STEP
}

/// Returns the start of an upstream.
pub fn start_of(upstream: usize, start: u64) -> Start {
    let id = model::id::Upstream::new(&format!("i-{upstream}"));
    Start::of(&entry(id, start))
}

fn entry(id: model::id::Upstream, born: u64) -> discovery::Entry {
    discovery::Entry {
        id,
        service: model::id::Service::new("desk"),
        address: net::SocketAddr::from(([127, 0, 0, 1], 1)),
        hall: model::id::Hall::new("north-1"),
        slots: 4,
        state: discovery::State::Ready,
        cold_left: Duration::ZERO,
        born,
    }
}

/// Returns the fingerprint of a request for `path` by a caller.
pub fn fingerprint(path: &str, caller: u32) -> Fingerprint {
    let asked = RequestContent {
        method: "GET",
        host: "site.example",
        target: path,
        organisation: None,
        body: b"",
        length: None,
    };
    let address = net::IpAddr::V4(net::Ipv4Addr::from(caller));
    Fingerprint::of(&asked, &CallerIdentity { address, object: None })
}
