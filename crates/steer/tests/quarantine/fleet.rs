//! Simulation of a fleet of nodes and upstreams, with requests that crash upstreams and requests
//! that do not.
//!
//! Counts the crashes and the refused requests. Nodes exchange reports in datagrams that are
//! delayed and may be lost.

use std::net;
use std::time::{Duration, Instant};

use model::discovery;
use model::fingerprint::{CallerIdentity, Fingerprint, RequestContent};
use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::quarantine::Quarantine;
use steer::dispatch::quarantine::report::{Report, Source};
use steer::dispatch::quarantine::sighting::{Crash, Service, Sighting, Start};

/// Time step of the simulation.
pub const STEP: Duration = Duration::from_millis(5);

/// Time after the third crash of a request from which sends of the request count as late.
pub const CONTACT: Duration = Duration::from_secs(3);

/// Time until a node detects that an address refuses connections.
const DETECTION_TIME: Duration = Duration::from_millis(15);

/// Number of regions.
const REGIONS: usize = 2;

/// Maximum number of attempts of a node per visit.
const MAX_ATTEMPTS: usize = 2;

/// Maximum number of visits of a caller, including the first one.
const MAX_VISITS: usize = 2;

/// The load and the faults of a simulation.
#[derive(Clone, Debug)]
pub struct Plan {
    /// Seed of the random numbers.
    pub seed: u64,
    /// Number of nodes.
    pub nodes: usize,
    /// Number of upstreams; all belong to one service.
    pub upstreams: usize,
    /// Requests that crash upstreams: requests per second and number of callers of each.
    pub poison: Vec<(f64, u32)>,
    /// Harmless requests per second, each from a different caller.
    pub innocent: f64,
    /// Harmless requests per second, all from one caller and with one content.
    pub polled: f64,
    /// Outages of several upstreams at once for other reasons: time and number of upstreams.
    pub outages: Vec<(Duration, usize)>,
    /// Restart of all upstreams, one after the other: start time and interval.
    pub rolling_restart: Option<(Duration, Duration)>,
    /// Share of datagrams that are lost.
    pub lost: f64,
    /// A node that is partitioned from all others until the given time.
    pub partitioned: Option<(usize, Duration)>,
    /// A node that restarts without state at the given time.
    pub restarted: Option<(usize, Duration)>,
}

impl Plan {
    /// Returns a plan without poison requests and without faults.
    pub fn quiet(seed: u64) -> Self {
        Self {
            seed,
            nodes: 6,
            upstreams: 20,
            poison: Vec::new(),
            innocent: 60.0,
            polled: 10.0,
            outages: Vec::new(),
            rolling_restart: None,
            lost: 0.0,
            partitioned: None,
            restarted: None,
        }
    }
}

/// The counters of a simulation.
#[derive(Clone, Debug, Default)]
pub struct Outcome {
    /// Number of crashes caused by each poison request.
    pub crashes: Vec<u32>,
    /// Time of the third crash caused by each poison request.
    pub third_crash: Vec<Option<Instant>>,
    /// Sends of each poison request later than [`CONTACT`] after that, by nodes that were neither
    /// partitioned nor restarted for as long.
    pub late_sends: Vec<u32>,
    /// Number of refusals of each poison request.
    pub refused: Vec<u32>,
    /// Number of refused harmless requests.
    pub innocent_refused: u32,
    /// Number of answered harmless requests.
    pub innocent_served: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    Poison(usize),
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
    /// When the upstream is available again, if it is down.
    down_until: Option<Instant>,
}

/// A fleet in simulated time.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    random: rngs::StdRng,
    started: Instant,
    now: Instant,
    nodes: Vec<Quarantine>,
    upstreams: Vec<Upstream>,
    running: Vec<Running>,
    /// Requests to be sent or retried: time, node and visit.
    due: Vec<(Instant, usize, Visit)>,
    /// Sightings of crashes that the node has not detected yet.
    undetected: Vec<(Instant, usize, Sighting)>,
    datagrams: Vec<(Instant, usize, Source, Report)>,
    callers: u32,
    last_repetition: Duration,
    outcome: Outcome,
}

impl Fleet {
    /// Simulates a plan for `length`.
    pub fn run(plan: &Plan, length: Duration) -> Outcome {
        let now = Instant::now() + Duration::from_secs(3_600);
        let poison = plan.poison.len();
        let mut fleet = Self {
            random: rngs::StdRng::seed_from_u64(plan.seed),
            started: now,
            now,
            nodes: (0..plan.nodes).map(|_| Quarantine::new(now)).collect(),
            upstreams: vec![Upstream { start: 1, down_until: None }; plan.upstreams],
            running: Vec::new(),
            due: Vec::new(),
            undetected: Vec::new(),
            datagrams: Vec::new(),
            callers: 0,
            last_repetition: Duration::ZERO,
            outcome: Outcome {
                crashes: vec![0; poison],
                third_crash: vec![None; poison],
                late_sends: vec![0; poison],
                refused: vec![0; poison],
                ..Outcome::default()
            },
            plan: plan.clone(),
        };
        while fleet.now - fleet.started < length {
            fleet.step();
        }
        fleet.outcome
    }

    fn step(&mut self) {
        self.now += STEP;
        self.arrive();
        self.crash_for_other_reasons();
        self.send_due();
        self.finish();
        self.send_reports();
        self.receive_reports();
    }

    fn elapsed(&self) -> Duration {
        self.now - self.started
    }

    /// Draws whether a request arrives in this step.
    fn arrives(&mut self, per_second: f64) -> bool {
        self.random.random_bool((per_second * STEP.as_secs_f64()).min(1.0))
    }

    fn arrive(&mut self) {
        for index in 0..self.plan.poison.len() {
            let (per_second, callers) = self.plan.poison[index];
            if self.arrives(per_second) {
                let caller = self.random.random_range(0..callers);
                // The path determines the fingerprint, and with it the outcome of the recorded
                // seeds.
                let path = format!("/deadly/{index}");
                self.visit(Kind::Poison(index), fingerprint(&path, caller), 7);
            }
        }
        if self.arrives(self.plan.innocent) {
            self.callers += 1;
            let caller = 1_000 + self.callers;
            // A few share the object of the poison requests, and are sent to the same upstreams.
            let object = self.random.random_range(0..10);
            let path = format!("/innocent/{}", self.random.random_range(0..1_000));
            self.visit(Kind::Innocent, fingerprint(&path, caller), object);
        }
        if self.arrives(self.plan.polled) {
            self.visit(Kind::Innocent, fingerprint("/polled", 999), 7);
        }
    }

    fn visit(&mut self, kind: Kind, fingerprint: Fingerprint, object: u64) {
        let node = self.random.random_range(0..self.plan.nodes);
        let visit = Visit { kind, fingerprint, object, tried: Vec::new(), visits: 1 };
        self.due.push((self.now, node, visit));
    }

    fn crash_for_other_reasons(&mut self) {
        let elapsed = self.elapsed();
        let outages = self.plan.outages.iter().filter(|(at, _)| is_at(*at, elapsed));
        let counts: Vec<usize> = outages.map(|(_, count)| *count).collect();
        for count in counts {
            for upstream in 0..count {
                self.crash(upstream);
            }
        }
        if let Some((from, interval)) = self.plan.rolling_restart {
            for upstream in 0..self.plan.upstreams {
                let turn = u32::try_from(upstream).expect("few");
                if is_at(from + interval * turn, elapsed) {
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
                Kind::Poison(index) => self.outcome.refused[index] += 1,
                Kind::Innocent => self.outcome.innocent_refused += 1,
            }
            return;
        }
        let key = match self.nodes[node].is_isolated(&visit.fingerprint) {
            true => visit.fingerprint.affinity_hash(),
            false => visit.object,
        };
        let mut preferred: Vec<usize> = (0..self.plan.upstreams).collect();
        let mut order = rngs::StdRng::seed_from_u64(key);
        preferred.sort_by_cached_key(|_| order.random::<u64>());
        let is_up = |upstream: &usize| self.upstreams[*upstream].down_until.is_none();
        let upstream = preferred.into_iter().find(|u| is_up(u) && !visit.tried.contains(u));
        let Some(upstream) = upstream else { return };
        let work = match visit.kind {
            Kind::Poison(_) => self.random.random_range(30..120),
            Kind::Innocent => self.random.random_range(200..800),
        };
        if let Kind::Poison(index) = visit.kind {
            let third = self.outcome.third_crash[index];
            let is_late = third.is_some_and(|third| self.now >= third + CONTACT);
            self.outcome.late_sends[index] += u32::from(is_late && self.is_in_contact(node));
        }
        visit.tried.push(upstream);
        let ends = self.now + Duration::from_millis(work);
        self.running.push(Running { visit, node, upstream, sent: self.now, ends });
    }

    /// Returns whether a node was neither partitioned nor restarted within the last [`CONTACT`].
    fn is_in_contact(&self, node: usize) -> bool {
        let elapsed = self.elapsed();
        let was_partitioned = |(partitioned, until): (usize, Duration)| {
            partitioned == node && elapsed < until + CONTACT
        };
        let was_restarted = |(restarted, at): (usize, Duration)| {
            restarted == node && (at..at + CONTACT).contains(&elapsed)
        };
        !self.plan.partitioned.is_some_and(was_partitioned)
            && !self.plan.restarted.is_some_and(was_restarted)
    }

    fn finish(&mut self) {
        let now = self.now;
        let ended: Vec<_> = self.running.extract_if(.., |running| running.ends <= now).collect();
        for running in ended {
            match running.visit.kind {
                Kind::Poison(index) => {
                    let upstream = running.upstream;
                    // Another request crashed the upstream in this step.
                    if self.upstreams[upstream].down_until.is_some() {
                        continue;
                    }
                    self.outcome.crashes[index] += 1;
                    if self.outcome.crashes[index] == 3 {
                        self.outcome.third_crash[index] = Some(now);
                    }
                    self.running.push(running);
                    self.crash(upstream);
                }
                Kind::Innocent => {
                    self.outcome.innocent_served += 1;
                    let fingerprint = running.visit.fingerprint;
                    let millis = self.millis();
                    self.nodes[running.node].record_success(&fingerprint, Source::Own, millis, now);
                }
            }
        }
        for upstream in &mut self.upstreams {
            if upstream.down_until.is_some_and(|until| until <= now) {
                *upstream = Upstream { start: upstream.start + 1, down_until: None };
            }
        }
    }

    fn crash(&mut self, upstream: usize) {
        if self.upstreams[upstream].down_until.is_some() {
            return;
        }
        let down = Duration::from_millis(self.random.random_range(1_500..4_000));
        self.upstreams[upstream].down_until = Some(self.now + down);
        let start = start_of(upstream, self.upstreams[upstream].start);
        let up = self.upstreams.iter().filter(|u| u.down_until.is_none()).count() + 1;
        let interrupted: Vec<_> = self.running.extract_if(.., |r| r.upstream == upstream).collect();
        for running in interrupted {
            let crash = Crash {
                start,
                service: Service(1),
                upstreams: u32::try_from(up).expect("few"),
                at: self.now,
            };
            let Running { visit, node, sent, .. } = running;
            let sighting = Sighting { fingerprint: visit.fingerprint, crash, sent };
            let detected = self.now + DETECTION_TIME;
            self.undetected.push((detected, node, sighting));
            self.retry(detected, node, visit);
        }
    }

    /// Retries a visit whose upstream crashed at another upstream; after the last attempt, the
    /// caller repeats the request at a random node.
    fn retry(&mut self, detected: Instant, node: usize, mut visit: Visit) {
        if visit.tried.len() < MAX_ATTEMPTS {
            self.due.push((detected + STEP, node, visit));
        } else if visit.visits < MAX_VISITS {
            visit.visits += 1;
            visit.tried.clear();
            let node = self.random.random_range(0..self.plan.nodes);
            self.due.push((detected + Duration::from_millis(60), node, visit));
        }
    }

    fn send_reports(&mut self) {
        let now = self.now;
        let millis = self.millis();
        let detected: Vec<_> = self.undetected.extract_if(.., |(at, _, _)| *at <= now).collect();
        for (_, node, sighting) in detected {
            self.nodes[node].record_crash(sighting, Source::Own, millis, now);
        }
        if let Some((node, at)) = self.plan.restarted
            && is_at(at, self.elapsed())
        {
            self.nodes[node] = Quarantine::new(now);
        }
        let is_repetition_due = self.elapsed() >= self.last_repetition + Duration::from_millis(500);
        if is_repetition_due {
            self.last_repetition = self.elapsed();
        }
        for node in 0..self.plan.nodes {
            self.nodes[node].evaluate(millis, now);
            let (near, far) = self.nodes[node].take_reports(now);
            for other in 0..self.plan.nodes {
                let is_near = node % REGIONS == other % REGIONS;
                let report = if is_near { &near } else { &far };
                if other != node && !report.is_empty() {
                    self.deliver(node, other, report.clone());
                }
            }
            let repeated = self.nodes[node].repeat(0, now);
            if is_repetition_due && !repeated.is_empty() {
                let other = self.random.random_range(0..self.plan.nodes);
                self.deliver(node, other, repeated);
            }
        }
    }

    fn deliver(&mut self, from: usize, to: usize, report: Report) {
        let is_cut_off = |(node, until)| (from == node) != (to == node) && self.elapsed() < until;
        if self.plan.partitioned.is_some_and(is_cut_off) || self.random.random_bool(self.plan.lost)
        {
            return;
        }
        let source = match from % REGIONS == to % REGIONS {
            true => Source::Near,
            false => Source::Far,
        };
        let delay = Duration::from_millis(self.random.random_range(10..60));
        self.datagrams.push((self.now + delay, to, source, report));
    }

    fn receive_reports(&mut self) {
        let now = self.now;
        let millis = self.millis();
        let arrived: Vec<_> = self.datagrams.extract_if(.., |(at, ..)| *at <= now).collect();
        for (_, node, source, report) in arrived {
            let quarantine = &mut self.nodes[node];
            for sighting in report.sightings {
                quarantine.record_crash(sighting, source, millis, now);
            }
            for fingerprint in report.cleared {
                quarantine.record_success(&fingerprint, source, millis, now);
            }
            for (scope, ruling) in report.rulings {
                quarantine.apply_ruling(scope, ruling, source, now);
            }
        }
    }

    fn millis(&self) -> u64 {
        1_800_000_000_000 + u64::try_from(self.elapsed().as_millis()).expect("minutes")
    }
}

/// Returns whether the step that ends at `elapsed` contains `at`.
fn is_at(at: Duration, elapsed: Duration) -> bool {
    elapsed >= at && elapsed < at + STEP
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
        version: None,
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
