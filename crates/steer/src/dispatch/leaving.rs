//! Leaving: which upstreams have said in an answer that they leave.
//!
//! Owns them, with which node observed it when. A process that leaves never takes it back, so nothing but another process under the same
//! name ends it: neither a later answer nor an entry of service discovery that still says ready. The node that observed it announces it to
//! the others a few times; they hold to it as if they had observed it. Who misses that learns of it by [`repair`].
//!
//! [`repair`]: crate::dispatch::fleet::repair

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::incarnation;

/// Processes that are remembered at most, so that reports cannot fill the memory.
const MOST_PROCESSES: usize = 16_384;

/// Time for which a process is remembered that service discovery does not list: its entry may be written again after an outage of the store.
const REMEMBERED: Duration = Duration::from_mins(10);

/// Reports in which a node announces one process, since a datagram may be lost.
const REPORTS: u8 = 3;

/// That a process leaves, as a node observed it.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When it answered so.
    pub at: Instant,
    /// The node that reported it; none for this one's own answers.
    pub by: Option<id::Node>,
    /// When service discovery listed it last, or when it was observed to leave.
    listed_at: Instant,
}

/// What nodes announce to each other of a process that leaves.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The process.
    pub incarnation: incarnation::Incarnation,
    /// Time since it answered so.
    pub age: Duration,
}

/// Counts the reports in which processes were announced to the same nodes.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    reports: collections::BTreeMap<incarnation::Incarnation, u8>,
}

/// The processes that were observed to leave.
#[derive(Clone, Debug, Default)]
pub struct Leavings {
    observed: collections::BTreeMap<incarnation::Incarnation, Observation>,
    announcer: Announcer,
}

impl Leavings {
    /// Returns when a process was observed to leave, if it was.
    #[must_use]
    pub fn get(&self, incarnation: &incarnation::Incarnation) -> Option<&Observation> {
        self.observed.get(incarnation)
    }

    /// Records that a process said at `at` that it leaves; returns whether that is new.
    pub fn record(
        &mut self,
        incarnation: &incarnation::Incarnation,
        at: Instant,
        by: Option<&id::Node>,
        now: Instant,
    ) -> bool {
        if self.observed.contains_key(incarnation) || self.observed.len() >= MOST_PROCESSES {
            return false;
        }
        let observed = Observation { at, by: by.cloned(), listed_at: now };
        self.observed.insert(incarnation.clone(), observed);
        true
    }

    /// Returns the announcement of a process, if it was observed to leave.
    #[must_use]
    pub fn announcement(
        &self,
        incarnation: incarnation::Incarnation,
        now: Instant,
    ) -> Option<Announcement> {
        let age = now.saturating_duration_since(self.observed.get(&incarnation)?.at);
        Some(Announcement { incarnation, age })
    }

    /// Returns what this node has to announce now of what it observed itself.
    pub fn report(&mut self, now: Instant) -> Vec<Announcement> {
        let own = self.observed.iter().filter(|(_, observed)| observed.by.is_none());
        self.announcer.due(own, now)
    }

    /// Returns what the `wanted` nodes announced, as far as `announcer` has not forwarded it yet.
    pub fn report_sum(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        announcer: &mut Announcer,
        now: Instant,
    ) -> Vec<Announcement> {
        announcer.retain(&self.observed);
        let of_wanted = self.observed.iter().filter(|(_, h)| h.by.as_ref().is_some_and(&wanted));
        announcer.due(of_wanted, now)
    }

    /// Forgets processes that service discovery has not listed for long.
    pub fn tick(&mut self, is_listed: impl Fn(&incarnation::Incarnation) -> bool, now: Instant) {
        self.observed.retain(|incarnation, observed| {
            if is_listed(incarnation) {
                observed.listed_at = now;
            }
            now.saturating_duration_since(observed.listed_at) < REMEMBERED
        });
        self.announcer.retain(&self.observed);
    }
}

impl Announcer {
    /// Forgets processes that are forgotten.
    fn retain(&mut self, observed: &collections::BTreeMap<incarnation::Incarnation, Observation>) {
        self.reports.retain(|incarnation, _| observed.contains_key(incarnation));
    }

    fn due<'a>(
        &mut self,
        observed: impl Iterator<Item = (&'a incarnation::Incarnation, &'a Observation)>,
        now: Instant,
    ) -> Vec<Announcement> {
        let mut due = Vec::new();
        for (incarnation, observed) in observed {
            let reports = self.reports.entry(incarnation.clone()).or_default();
            if *reports < REPORTS {
                *reports += 1;
                let age = now.saturating_duration_since(observed.at);
                due.push(Announcement { incarnation: incarnation.clone(), age });
            }
        }
        due
    }
}
