//! Drawn sequences of asks, releases, reports, deaths and ticks: each answer of the ledger must be the
//! one that the oracle predicts, and the promises must hold whatever it predicts.

use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use quickcheck::{Gen, QuickCheck, TestResult};
use steer::dispatch::peer_load::Key;
use steer::dispatch::slots::ledger::{Ledger, Room};
use steer::dispatch::slots::message::{Answer, Ask, Id, Reply};
use steer::dispatch::urgency::Urgency;

use crate::model::{Fate, Known, Name, Owner};
use crate::setup::{self, MS};

/// A drawn step; [`Run::apply`] gives the numbers their meaning.
type Numbers = (u8, u8, u8, u16);

/// One owner of two upstreams, with the oracle beside it.
struct Run {
    now: Instant,
    ledger: Ledger,
    owner: Owner,
    rooms: BTreeMap<Key, Option<Room>>,
    dead: BTreeSet<u8>,
    next_id: u64,
    /// Asks that are held or queued according to the answers, and whether each is held.
    open: Vec<(Name, Key, bool)>,
    /// Asks with a final answer.
    ended: BTreeSet<Name>,
    asked: u64,
}

impl Run {
    fn new() -> Self {
        let rooms = [1, 2].map(|key| (Key(key), Some(Room { slots: key + 1, others: 0 })));
        Self {
            now: Instant::now(),
            ledger: Ledger::default(),
            owner: Owner::default(),
            rooms: rooms.into(),
            dead: BTreeSet::new(),
            next_id: 0,
            open: Vec::new(),
            ended: BTreeSet::new(),
            asked: 0,
        }
    }

    fn apply(&mut self, (kind, a, b, c): Numbers) -> Result<(), String> {
        self.now += Duration::from_micros(u64::from(a) * 97);
        match kind % 10 {
            0..=4 => self.ask(a, b, c),
            5..=7 => self.release(usize::from(c)),
            8 => {
                let slots = u32::from(a % 2) + 2;
                let room = Room { slots, others: u32::from(b % 7) };
                self.rooms.insert(Key(u32::from(a % 2) + 1), (b % 9 < 8).then_some(room));
                Ok(())
            }
            _ => {
                if b % 16 == 0 && !self.dead.insert(a % 3) {
                    self.dead.remove(&(a % 3));
                }
                self.now += u32::from(c % 180) * MS;
                self.tick()
            }
        }
    }

    fn ask(&mut self, a: u8, b: u8, c: u16) -> Result<(), String> {
        self.next_id += 1;
        let work = u32::from(c % 150) * MS + 20 * MS;
        let ask = Ask {
            id: Id(self.next_id),
            upstream: Key(u32::from(a % 2) + 1),
            urgency: Urgency { organisation: 0, route: u32::from(b % 3) },
            organisation: u32::from(b / 3 % 3),
            max_wait: u32::from(c / 7 % 900) * MS,
            work,
            time_left: work + u32::from(c / 3 % 1_500) * MS,
        };
        let from = setup::node(a / 2 % 3);
        let room = self.rooms[&ask.upstream];
        let answers = self.ledger.ask(&from, &ask, room, self.now);
        let name = (from, ask.id);
        let known =
            Known { name: name.clone(), ask: ask.clone(), since: self.now, granted_at: None };
        let upstream = self.owner.upstreams.entry(ask.upstream).or_default();
        let fates = upstream.ask(known, room, self.now);
        self.asked += 1;
        if !answers.iter().any(|answer| (&answer.to, answer.id) == (&name.0, name.1)) {
            return Err("an ask got no answer".to_owned());
        }
        self.record(&answers, &fates)?;
        self.check_idle(ask.upstream)
    }

    fn release(&mut self, index: usize) -> Result<(), String> {
        if self.open.is_empty() {
            return Ok(());
        }
        let (name, key, _) = self.open.remove(index % self.open.len());
        let rooms = self.rooms.clone();
        let answers = self.ledger.release(&name.0, name.1, |key| rooms[&key], self.now);
        self.ended.insert(name.clone());
        // A grant that lapsed is not known any longer.
        let Some(released) = self.owner.release(&name, self.now) else {
            return if answers.is_empty() { Ok(()) } else { Err(format!("{answers:?}")) };
        };
        let upstream = self.owner.upstreams.entry(released).or_default();
        let fates = upstream.advance(self.rooms[&released], self.now);
        self.record(&answers, &fates)?;
        self.check_idle(key)
    }

    fn tick(&mut self) -> Result<(), String> {
        let dead: Vec<_> = self.dead.iter().map(|number| setup::node(*number)).collect();
        let is_alive = |node: &model::id::Node| !dead.contains(node);
        let rooms = self.rooms.clone();
        let answers = self.ledger.tick(is_alive, |key| rooms[&key], self.now);
        let fates = self.owner.tick(is_alive, |key| rooms[&key], self.now);
        self.record(&answers, &fates)?;
        for key in [Key(1), Key(2)] {
            self.check_idle(key)?;
        }
        let queued = self.owner.upstreams.values().flat_map(|upstream| &upstream.queued);
        for known in queued {
            if self.now >= known.since + known.ask.max_wait {
                return Err(format!("{known:?} waits past its maximum wait"));
            }
        }
        Ok(())
    }

    /// Compares the answers with the predicted ones and checks the promises about them.
    fn record(&mut self, answers: &[Answer], fates: &[(Name, Fate)]) -> Result<(), String> {
        let fate = |answer: &Answer| match answer.reply {
            Reply::Granted => Fate::Granted,
            Reply::Queued => Fate::Queued,
            Reply::Refused { .. } => Fate::Refused,
            Reply::Declined => Fate::Declined,
        };
        let told: Vec<(Name, Fate)> =
            answers.iter().map(|a| ((a.to.clone(), a.id), fate(a))).collect();
        if told != fates {
            return Err(format!("answers {told:?}, predicted {fates:?}"));
        }
        for (answer, (name, fate)) in answers.iter().zip(told) {
            if self.ended.contains(&name) {
                return Err(format!("{name:?} got an answer after its last one"));
            }
            let open = self.open.iter().position(|(of, _, _)| *of == name);
            match (fate, open) {
                (Fate::Granted, Some(index)) if self.open[index].2 => {
                    return Err(format!("{name:?} was granted twice"));
                }
                (Fate::Granted, Some(index)) => self.open[index].2 = true,
                (Fate::Granted, None) => self.open.push((name, answer.upstream, true)),
                (Fate::Queued, None) => self.open.push((name, answer.upstream, false)),
                (Fate::Queued, Some(_)) => return Err(format!("{name:?} was queued twice")),
                (Fate::Refused | Fate::Declined, open) => {
                    if let Some(index) = open {
                        self.open.remove(index);
                    }
                    self.ended.insert(name);
                }
            }
            if fate == Fate::Granted {
                self.check_bound(answer.upstream)?;
            }
        }
        self.check_counts()
    }

    /// Checks that a grant did not exceed the slots and the one above them.
    fn check_bound(&mut self, key: Key) -> Result<(), String> {
        let Some(room) = self.rooms[&key] else { return Err("granted without room".to_owned()) };
        let sent = self.at_upstream(key, room);
        match sent <= f64::from(room.slots) + 1.0 {
            true => Ok(()),
            false => Err(format!("{sent} requests at {} slots", room.slots)),
        }
    }

    /// Returns the held slots and the requests without one that are probably still in flight.
    fn at_upstream(&mut self, key: Key, room: Room) -> f64 {
        let held = self.ledger.held(key);
        let upstream = self.owner.upstreams.get_mut(&key);
        upstream.map_or(f64::from(held), |upstream| upstream.at_upstream(room, self.now))
    }

    /// Checks that no slot is left idle while asks wait for it.
    fn check_idle(&mut self, key: Key) -> Result<(), String> {
        let Some(room) = self.rooms[&key] else { return Ok(()) };
        let queued = self.ledger.queued().find(|(of, _)| *of == key).map_or(0, |(_, n)| n);
        if queued == 0 {
            return Ok(());
        }
        let sent = self.at_upstream(key, room);
        match sent < f64::from(room.slots) + 1.0 {
            true => Err(format!("{queued} asks wait at {sent} requests, {room:?}")),
            false => Ok(()),
        }
    }

    fn check_counts(&self) -> Result<(), String> {
        for (key, upstream) in &self.owner.upstreams {
            let held = upstream.held.len();
            let queued = upstream.queued.len();
            let known = self.ledger.upstreams().find(|known| known.key == *key);
            let counts = known.map_or((0, 0), |u| (u.held as usize, u.queued as usize));
            if counts != (held, queued) {
                return Err(format!("{counts:?} held and queued, predicted {held} and {queued}"));
            }
        }
        let counts = self.ledger.counts();
        let queued: u32 = counts.by_urgency.values().map(|of_urgency| of_urgency.queued).sum();
        let total: u32 = self.ledger.queued().map(|(_, queued)| queued).sum();
        match (counts.asked, queued) == (self.asked, total) {
            true => Ok(()),
            false => Err(format!("{counts:?}, {total} queued")),
        }
    }

    /// Lets all deadlines pass; nothing may be left then.
    fn drain(&mut self) -> Result<(), String> {
        self.now += Duration::from_secs(5);
        self.tick()?;
        match (self.ledger.queued().count(), self.ledger.counts().held) {
            (0, 0) => Ok(()),
            left => Err(format!("{left:?} queued and held after all deadlines")),
        }
    }
}

/// Applies drawn steps, and lets all deadlines pass.
fn holds(steps: Vec<Numbers>) -> TestResult {
    let mut run = Run::new();
    for (index, step) in steps.iter().enumerate() {
        if let Err(problem) = run.apply(*step) {
            return TestResult::error(format!("step {index}: {problem}"));
        }
    }
    match run.drain() {
        Ok(()) => TestResult::passed(),
        Err(problem) => TestResult::error(problem),
    }
}

/// Guards against more grants than the slots and one, lost or repeated answers, a wrong order, asks that
/// wait in vain, and idle slots.
#[test]
fn each_answer_is_the_predicted_one() {
    let mut quickcheck = QuickCheck::new().rng(Gen::from_size_and_seed(400, 11)).tests(600);
    quickcheck.quickcheck(holds as fn(Vec<Numbers>) -> TestResult);
}

/// A starved urgency has every second turn. Guards against a queue that forgets whose turn it was when it
/// is empty: in the first sequence the ledger did, in the second one the oracle.
#[test]
fn sequences_that_failed_once() {
    let ledger = vec![
        (0, 0, 0, 0),
        (0, 0, 0, 0),
        (0, 0, 0, 0),
        (0, 0, 83, 0),
        (0, 0, 20, 450),
        (95, 0, 0, 0),
        (95, 0, 0, 0),
        (0, 0, 0, 0),
        (0, 0, 68, 7),
        (0, 0, 0, 0),
    ];
    let oracle = vec![
        (0, 2, 0, 0),
        (0, 0, 0, 0),
        (0, 2, 0, 0),
        (0, 0, 143, 0),
        (119, 0, 0, 0),
        (0, 0, 0, 0),
        (0, 0, 83, 150),
        (55, 0, 0, 0),
        (139, 0, 1, 0),
        (238, 0, 2, 0),
        (0, 0, 0, 7),
        (0, 0, 65, 7),
    ];
    for steps in [ledger, oracle] {
        let result = holds(steps);
        assert!(!result.is_failure(), "{result:?}");
    }
}

/// Guards against drawn sequences that never reach the rules that they are to test.
#[test]
fn the_drawn_sequences_reach_every_rule() {
    let mut generator = Gen::from_size_and_seed(400, 11);
    let mut sums = [0; 5];
    for _ in 0..100 {
        let steps: Vec<Numbers> = quickcheck::Arbitrary::arbitrary(&mut generator);
        let mut run = Run::new();
        for step in steps {
            let _ = run.apply(step);
        }
        let counts = run.ledger.counts();
        let of_run =
            [counts.granted, counts.queued, counts.refused, counts.displaced, counts.lapsed];
        for (sum, count) in sums.iter_mut().zip(of_run) {
            *sum += count;
        }
    }
    println!("granted, queued, refused, displaced, lapsed: {sums:?}");
    assert!(sums.iter().all(|sum| *sum >= 100), "{sums:?}");
}
