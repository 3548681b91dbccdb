//! Freshness: how old this node's copy of the store is, and what the node may believe of it.
//!
//! A node reads its copy once, at its start, and that read may be seconds old. Watches of the store and
//! reports of other nodes keep the copy up to date from then on. [`Freshness`] holds the time up to
//! which the copy is known to contain every change, and [`Belief`] follows from the age of that time.
//! A decision that reads the copy takes the belief as an input. Reads no clock; the current time is
//! passed in.

use std::time::{Duration, Instant};

/// Time after a standstill during which reports of other nodes do not count, because they may have
/// waited in the socket's buffer.
const BUFFERED_REPORTS: Duration = Duration::from_millis(100);

/// Longest time for which a request waits for the first news after the copy was read.
///
/// A watch of a store in another region answers within it.
pub const FIRST_NEWS_WAIT: Duration = Duration::from_millis(150);

/// What a node may believe of its copy of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Belief {
    /// The copy contains every change up to a moment ago, or no node of the fleet can learn of newer
    /// ones.
    Current,
    /// The node has started or stood still, and has no news since.
    Unconfirmed,
    /// The node neither reaches the store nor hears the rest of the fleet, and its news is old.
    CutOff,
}

impl Belief {
    /// Returns the name that logs and the state dump use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unconfirmed => "unconfirmed",
            Self::CutOff => "cut-off",
        }
    }
}

/// Whether a node hears the rest of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// The node hears other regions, or most nodes of the only region.
    InTouch,
    /// The node hears neither.
    Apart,
}

impl Contact {
    /// Derives the contact of a node that hears `near_heard` of `near_known` other nodes of its region.
    ///
    /// `hears_far` is whether this node or one that it hears hears a node of another region, and
    /// `has_far` whether other regions have nodes.
    #[must_use]
    pub fn new(hears_far: bool, has_far: bool, near_heard: usize, near_known: usize) -> Self {
        match has_far {
            true if hears_far => Self::InTouch,
            false if near_heard * 2 >= near_known => Self::InTouch,
            _ => Self::Apart,
        }
    }
}

/// What a node reports of its copy to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Age of the time up to which the copy is complete; `None` if the copy is not current.
    pub age: Option<Duration>,
    /// Whether the node hears a node of another region.
    pub hears_far: bool,
}

/// The time up to which a copy is known to contain every change.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// `None` until there is news.
    complete_until: Option<Instant>,
    /// Time before which no news counts.
    counts_from: Instant,
    /// Whether the node was cut off and has no news since.
    is_cut_off: bool,
}

impl Freshness {
    /// Creates the freshness of a node that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { complete_until: None, counts_from: now, is_cut_off: false }
    }

    /// Records news at `now`: the copy contains every change up to `until`.
    ///
    /// News is an answer of the store that is not stale, or a report of a node that believes its copy and is
    /// not ahead of this one.
    pub fn confirm(&mut self, until: Instant, now: Instant) {
        if now >= self.counts_from {
            self.complete_until = self.complete_until.max(Some(until));
            self.is_cut_off = false;
        }
    }

    /// Forgets all news, because the process stood still until `now`.
    pub fn reset(&mut self, now: Instant) {
        *self = Self::new(now + BUFFERED_REPORTS);
    }

    /// Returns the age of the time up to which the copy is complete; `None` without news.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_until.map(|until| now.saturating_duration_since(until))
    }

    /// Updates and returns what the node may believe of its copy.
    ///
    /// `bound` is [`store_call::bound`], which is longer than the time between two news of a node that
    /// reaches the store. During an outage of the store, a node in touch with the fleet believes its copy:
    /// no change is accepted, or another node would have reported it. A node that was cut off has missed
    /// such reports, and needs news even if it is in touch again. `contact` is only asked for if the age exceeds
    /// the bound.
    ///
    /// [`store_call::bound`]: crate::dispatch::fleet::store_call::bound
    pub fn update(
        &mut self,
        contact: impl FnOnce() -> Contact,
        bound: Duration,
        now: Instant,
    ) -> Belief {
        let Some(age) = self.age(now) else { return Belief::Unconfirmed };
        self.is_cut_off |= age > bound && contact() == Contact::Apart;
        match self.is_cut_off {
            true => Belief::CutOff,
            false => Belief::Current,
        }
    }
}
