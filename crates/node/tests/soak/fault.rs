//! Faults: what happens when in a soak, drawn from its seed.

use std::time::Duration;

use rand::{RngExt as _, SeedableRng as _, rngs};
use standin::platform::listener;
use standin::platform::upstream;

use crate::link;

/// Mean time between the beginnings of two faults.
const MEAN_GAP: Duration = Duration::from_millis(200);

/// Shortest and longest time of a fault.
const LENGTHS: (Duration, Duration) = (Duration::from_millis(150), Duration::from_millis(2_500));

/// Manners in which an upstream misbehaves.
const MANNERS: usize = 9;

/// Manners that even a short soak reaches, so that three seeds in a row reach all.
const MANNERS_A_SOAK: usize = 4;

/// Mean time between the beginnings of two faults of organisations and entries.
const ORGANISATIONS_GAP: Duration = Duration::from_millis(900);

/// Makes their draw another one than that of the other faults.
const ORGANISATIONS: u64 = 0x6f72_6761;

/// Soaks of which one has a store that comes back from copies, and which of them it is.
const COPIES_EVERY: u64 = 3;
/// See [`COPIES_EVERY`].
const COPIES_AT: u64 = 0;

/// Mean time between two returns from a copy.
const COPIES_GAP: Duration = Duration::from_millis(2_500);

/// Makes their draw another one than that of the other faults.
const COPIES: u64 = 0x636f_7079;

/// Something that goes wrong, or that operators do.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A gateway's connections to the store.
    StoreLink(usize, link::Mode),
    /// An upstream's connections.
    UpstreamLink(usize, link::Mode),
    /// The store treats one gateway so.
    Door(usize, listener::Mode),
    /// The store treats all gateways so, and entries lapse meanwhile.
    StoreAway(listener::Mode),
    /// The store forgets its history.
    Compaction,
    /// The store is away for a moment when it ends, and is restored, in its next era, from a copy of when it began.
    Copy,
    /// An upstream answers so.
    Manner(usize, upstream::Behavior),
    /// A gateway stands still.
    Pause(usize),
    /// A gateway is killed, and started again at another address.
    Kill(usize),
    /// A gateway is stopped as planned, and started again at another address.
    Stop(usize),
    /// A gateway is told that its settings changed.
    Reload(usize),
    /// All gateways are killed at once.
    KillAll,
    /// Operators give the reads to another service.
    Configure,
    /// Operators evacuate a hall.
    Evacuate,
    /// An upstream says that it leaves, and is back later.
    Drain(usize),
    /// Operators take a key away, and give it back.
    Revoke,
    /// An upstream's entry is overwritten with what is no entry, and later with the right one.
    Alien(usize),
    /// An upstream starts again under its name.
    Again(usize),
}

/// A fault with its times from the start.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    /// When it begins.
    pub from: Duration,
    /// When it ends.
    pub to: Duration,
    /// What it is.
    pub fault: Fault,
}

/// Draws the faults of a soak, in the order in which they begin; they overlap.
pub fn draw(
    seed: u64,
    random: &mut rngs::StdRng,
    length: Duration,
    gateways: usize,
    upstreams: usize,
) -> Vec<Event> {
    let mut events: Vec<Event> = Vec::new();
    let mut from = Duration::ZERO;
    let mut turn = usize::try_from(seed % MANNERS as u64).unwrap_or(0) * MANNERS_A_SOAK;
    loop {
        from += MEAN_GAP.mul_f64(random.random_range(0.1..1.9));
        if from >= length {
            return events;
        }
        let (shortest, longest) = LENGTHS;
        let to = from + random.random_range(shortest..longest);
        let fault = match one(random, gateways, upstreams) {
            // In turn, so that a few soaks reach every manner.
            Fault::Manner(upstream, _) => Fault::Manner(upstream, manner(turn, random)),
            fault => fault,
        };
        turn += usize::from(matches!(fault, Fault::Manner(..)));
        events.push(Event { from, to, fault });
    }
}

/// Draws what happens to organisations and to entries of upstreams; apart from the rest, whose seeds stay as they were.
pub fn draw_organisations(seed: u64, length: Duration, upstreams: usize) -> Vec<Event> {
    let mut random = rngs::StdRng::seed_from_u64(seed ^ ORGANISATIONS);
    let mut events = Vec::new();
    let mut from = Duration::ZERO;
    loop {
        from += ORGANISATIONS_GAP.mul_f64(random.random_range(0.1..1.9));
        if from >= length {
            return events;
        }
        let (shortest, longest) = LENGTHS;
        let to = from + random.random_range(shortest..longest);
        let upstream = random.random_range(0..upstreams);
        let fault = match random.random_range(0..3) {
            0 => Fault::Revoke,
            1 => Fault::Alien(upstream),
            _ => Fault::Again(upstream),
        };
        events.push(Event { from, to, fault });
    }
}

/// Draws when the store comes back from a copy; apart from the rest, whose seeds stay as they were.
pub fn draw_copies(seed: u64, length: Duration) -> Vec<Event> {
    let mut events = Vec::new();
    if seed % COPIES_EVERY != COPIES_AT {
        return events;
    }
    let mut random = rngs::StdRng::seed_from_u64(seed ^ COPIES);
    let mut from = Duration::ZERO;
    loop {
        from += COPIES_GAP.mul_f64(random.random_range(0.1..1.9));
        if from >= length {
            return events;
        }
        let (shortest, longest) = LENGTHS;
        let to = from + random.random_range(shortest..longest);
        events.push(Event { from, to, fault: Fault::Copy });
    }
}

fn one(random: &mut rngs::StdRng, gateways: usize, upstreams: usize) -> Fault {
    let gateway = random.random_range(0..gateways);
    let upstream = random.random_range(0..upstreams);
    match random.random_range(0..24) {
        0 | 1 => Fault::StoreLink(gateway, mode(random)),
        2..=5 => Fault::UpstreamLink(upstream, mode(random)),
        6 | 7 => Fault::Door(gateway, door(random)),
        8 => Fault::StoreAway(door(random)),
        9 => Fault::Compaction,
        10..=13 => Fault::Manner(upstream, upstream::Behavior::Lost),
        14 | 15 => Fault::Pause(gateway),
        16 | 17 => Fault::Kill(gateway),
        18 => Fault::Stop(gateway),
        19 => Fault::Reload(gateway),
        20 => Fault::KillAll,
        21 => Fault::Configure,
        22 => Fault::Evacuate,
        _ => Fault::Drain(upstream),
    }
}

fn mode(random: &mut rngs::StdRng) -> link::Mode {
    match random.random_range(0..6) {
        0 => link::Mode::Delayed(Duration::from_millis(random.random_range(20..400))),
        1 => link::Mode::Reset,
        2 => link::Mode::CutForward,
        3 => link::Mode::CutBackward,
        4 => link::Mode::SilentForGood,
        _ => link::Mode::Silent,
    }
}

fn door(random: &mut rngs::StdRng) -> listener::Mode {
    match random.random_range(0..4) {
        0 => listener::Mode::Busy,
        1 => listener::Mode::Many,
        2 => listener::Mode::Silent,
        _ => listener::Mode::LosesWrites,
    }
}

fn manner(turn: usize, random: &mut rngs::StdRng) -> upstream::Behavior {
    match turn % MANNERS {
        0 => upstream::Behavior::Slow(Duration::from_millis(random.random_range(50..1_500))),
        1 => upstream::Behavior::Full,
        2 => upstream::Behavior::UnprovedRefusal,
        3 => upstream::Behavior::Lost,
        4 => upstream::Behavior::Cut,
        5 => upstream::Behavior::Surplus,
        6 => upstream::Behavior::Crossed,
        7 => upstream::Behavior::Garbage,
        _ => upstream::Behavior::Unframed,
    }
}
