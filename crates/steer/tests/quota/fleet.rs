//! A fleet of accounts that report to each other late what they are asked.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::{id, organisation, routing};
use rand::{RngExt as _, SeedableRng as _, rngs};
use steer::dispatch::quota::{self, usage};

/// Time between two reports of a node.
const REPORT: Duration = Duration::from_millis(100);

/// Time until a report counts at the others: half of them are as near as a region, half behind two hops.
const DELAYS: [Duration; 2] = [Duration::from_millis(20), Duration::from_millis(220)];

/// Time that is played, and the part of it in which an organisation is hot.
const LENGTH: Duration = Duration::from_secs(30);
const HOT: (Duration, Duration) = (Duration::from_secs(8), Duration::from_secs(20));

/// Time in which nodes are in trouble.
const TROUBLE: (Duration, Duration) = (Duration::from_secs(6), Duration::from_secs(18));

/// Requests of the organisation.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    rate: f64,
    heat: f64,
}

impl Load {
    /// Always as many.
    pub fn steady(rate: f64) -> Self {
        Self { rate, heat: 1.0 }
    }

    /// For some time `heat` times as many.
    pub fn hot(rate: f64, heat: f64) -> Self {
        Self { rate, heat }
    }

    fn at(&self, time: Duration) -> f64 {
        match (HOT.0..HOT.1).contains(&time) {
            true => self.rate * self.heat,
            false => self.rate,
        }
    }

    /// Draws when requests come.
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

/// What becomes of some of the nodes meanwhile.
#[derive(Clone, Copy, Debug)]
pub struct Trouble {
    share: f64,
    kind: Kind,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Kind {
    None,
    Cut,
    Killed,
    Restarted,
    Lossy,
}

impl Trouble {
    /// Nothing.
    pub fn none() -> Self {
        Self { share: 0.0, kind: Kind::None }
    }

    /// A share of the nodes reaches nobody and is reached by nobody, and goes on.
    pub fn cut(share: f64) -> Self {
        Self { share, kind: Kind::Cut }
    }

    /// A share of the nodes is gone, and their callers go to the others.
    pub fn killed(share: f64) -> Self {
        Self { share, kind: Kind::Killed }
    }

    /// A share of the nodes starts again every second, and knows nothing.
    pub fn restarted(share: f64) -> Self {
        Self { share, kind: Kind::Restarted }
    }

    /// A share of the reports is lost.
    pub fn lossy(share: f64) -> Self {
        Self { share, kind: Kind::Lossy }
    }

    fn strikes(&self, kind: Kind, node: usize, nodes: usize, time: Duration) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let place = (node as f64 + 0.5) / nodes as f64;
        self.kind == kind && place < self.share && (TROUBLE.0..TROUBLE.1).contains(&time)
    }

    /// Returns whether `node` reaches nobody.
    pub fn is_cut(&self, node: usize, nodes: usize, time: Duration) -> bool {
        self.strikes(Kind::Cut, node, nodes, time)
    }

    /// Returns whether `node` is gone.
    pub fn is_killed(&self, node: usize, nodes: usize, time: Duration) -> bool {
        self.strikes(Kind::Killed, node, nodes, time)
    }
}

/// What became of the requests.
#[derive(Clone, Debug, Default)]
pub struct Played {
    admitted: Vec<Duration>,
    /// Requests that were refused.
    pub refused: usize,
}

impl Played {
    /// Records a request.
    pub fn record(&mut self, time: Duration, is_admitted: bool) {
        match is_admitted {
            true => self.admitted.push(time),
            false => self.refused += 1,
        }
    }

    /// Returns the most requests that were admitted in any window.
    pub fn most_in(&self, window: Duration) -> f64 {
        self.most_between(Duration::ZERO, LENGTH, window)
    }

    /// Returns the most requests that were admitted in any window between two times.
    pub fn most_between(&self, from: Duration, until: Duration, window: Duration) -> f64 {
        let within: Vec<Duration> =
            self.admitted.iter().copied().filter(|t| (from..until).contains(t)).collect();
        let mut first = 0;
        let mut most = 0;
        for (last, time) in within.iter().enumerate() {
            while within[first] + window <= *time {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        #[expect(clippy::cast_precision_loss, reason = "some thousands")]
        let most = most as f64;
        most
    }

    /// Returns the share of the requests that was refused.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn refused_share(&self) -> f64 {
        self.refused as f64 / (self.refused + self.admitted.len()) as f64
    }

    /// Returns the requests admitted a second while the organisation was hot.
    #[expect(clippy::cast_precision_loss, reason = "some thousands")]
    pub fn admitted_while_hot(&self) -> f64 {
        let while_hot = self.admitted.iter().filter(|t| (HOT.0..HOT.1).contains(t)).count();
        while_hot as f64 / (HOT.1 - HOT.0).as_secs_f64()
    }
}

/// A fleet with one organisation that has a limit, and others that have none.
#[derive(Clone, Debug)]
pub struct Fleet {
    nodes: usize,
    rate: f64,
    burst: f64,
    /// Seed of what is drawn.
    pub seed: u64,
    /// When the limit falls, and to what.
    pub lower_to: Option<(Duration, f64)>,
}

/// A report on its way.
struct Letter {
    due: Duration,
    from: usize,
    to: usize,
    usages: sync::Arc<Vec<usage::Usage>>,
}

impl Fleet {
    /// Makes a fleet.
    pub fn new(nodes: usize, rate: f64, burst: f64) -> Self {
        Self { nodes, rate, burst, seed: 7, lower_to: None }
    }

    /// Plays a load.
    pub fn play(&self, load: &Load, trouble: &Trouble) -> Played {
        let mut random = rngs::StdRng::seed_from_u64(self.seed);
        let start = Instant::now();
        let mut accounts: Vec<quota::Quotas> =
            (0..self.nodes).map(|node| self.account(node, self.rate, start)).collect();
        let names: Vec<id::Node> =
            (0..self.nodes).map(|node| id::Node::new(&format!("n-{node}"))).collect();
        let (hot, other) = (id::Organisation::new("hot"), id::Organisation::new("other"));
        let mut requests: Vec<(Duration, bool)> =
            load.times(&mut random).into_iter().map(|time| (time, true)).collect();
        // The others ask as much as a few large organisations do, evenly.
        let others = Load::steady(20.0 * self.nodes as f64).times(&mut random);
        requests.extend(others.into_iter().map(|time| (time, false)));
        requests.sort_by_key(|(time, _)| *time);
        let mut letters: collections::VecDeque<Letter> = collections::VecDeque::new();
        let mut played = Played::default();
        let mut next_report = Duration::ZERO;
        let mut limit = self.rate;
        for (time, is_hot) in requests {
            while next_report <= time {
                self.report(&mut accounts, &mut letters, next_report, start, trouble, &mut random);
                self.deliver(&mut accounts, &names, &mut letters, next_report, start, trouble);
                if let Some((at, lower)) = self.lower_to
                    && next_report >= at
                    && limit > lower
                {
                    limit = lower;
                    for account in &mut accounts {
                        account.configure(&configuration(lower, lower), start + next_report);
                    }
                }
                next_report += REPORT;
            }
            let node = self.node_for(&mut random, time, trouble);
            let now = start + time;
            match is_hot {
                true => played.record(time, accounts[node].admit(&hot, now).is_ok()),
                false => assert!(accounts[node].admit(&other, now).is_ok()),
            }
        }
        played
    }

    /// Callers of a node that is gone go to another.
    fn node_for(&self, random: &mut rngs::StdRng, time: Duration, trouble: &Trouble) -> usize {
        loop {
            let node = random.random_range(0..self.nodes);
            if !trouble.is_killed(node, self.nodes, time) {
                return node;
            }
        }
    }

    fn account(&self, node: usize, rate: f64, now: Instant) -> quota::Quotas {
        let name = id::Node::new(&format!("n-{node}"));
        let mut account = quota::Quotas::new(&name, super::SLACK, now);
        account.configure(&configuration(rate, self.burst), now);
        account.set_others(self.nodes - 1);
        account
    }

    fn report(
        &self,
        accounts: &mut [quota::Quotas],
        letters: &mut collections::VecDeque<Letter>,
        time: Duration,
        start: Instant,
        trouble: &Trouble,
        random: &mut rngs::StdRng,
    ) {
        let now = start + time;
        for from in 0..self.nodes {
            let is_restarted = trouble.strikes(Kind::Restarted, from, self.nodes, time)
                && time.subsec_millis() == 0;
            if is_restarted {
                accounts[from] = self.account(from, self.rate, now);
            }
            if trouble.is_killed(from, self.nodes, time) {
                continue;
            }
            let is_cut = trouble.is_cut(from, self.nodes, time);
            accounts[from].set_store_known(!is_cut);
            accounts[from].tick(now);
            let usages = sync::Arc::new(accounts[from].report(now));
            for to in (0..self.nodes).filter(|to| *to != from && !usages.is_empty()) {
                let is_lost = trouble.strikes(Kind::Lossy, 0, self.nodes, time)
                    && random.random_bool(trouble.share);
                if !is_cut && !trouble.is_cut(to, self.nodes, time) && !is_lost {
                    let due = time + DELAYS[(from + to) % DELAYS.len()];
                    letters.push_back(Letter { due, from, to, usages: sync::Arc::clone(&usages) });
                }
            }
        }
    }

    fn deliver(
        &self,
        accounts: &mut [quota::Quotas],
        names: &[id::Node],
        letters: &mut collections::VecDeque<Letter>,
        time: Duration,
        start: Instant,
        trouble: &Trouble,
    ) {
        let (due, later): (Vec<_>, Vec<_>) = letters.drain(..).partition(|l| l.due <= time);
        letters.extend(later);
        for letter in due {
            if !trouble.is_killed(letter.to, self.nodes, time) {
                accounts[letter.to].receive(&names[letter.from], &letter.usages, start + time);
            }
        }
    }
}

/// Returns a configuration of the hot organisation and one without a limit that is reported as busy.
fn configuration(rate: f64, burst: f64) -> routing::Routing {
    let organisation = |name: &str, quota| organisation::Organisation {
        name: id::Organisation::new(name),
        keys: Vec::new(),
        priority: 0,
        quota,
        home_regions: Vec::new(),
    };
    let both = [
        organisation("hot", Some(organisation::Quota { rate, burst })),
        organisation("other", None),
    ];
    let index = organisation::Index::new(both.into_iter()).expect("they share no key");
    routing::Routing::default().with_organisations(index)
}
