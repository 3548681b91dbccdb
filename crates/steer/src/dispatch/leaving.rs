//! Upstream processes that have stated in a response that they are leaving.
//!
//! Records which node observed each of them, and when. A process never withdraws the statement, so
//! neither a later response nor a discovery entry in the ready state clears it; only a new process
//! under the same name does. The node that observed it announces it to the other nodes a few times,
//! and they treat it like their own observation. Nodes that miss the announcements learn of it by
//! [`repair`].
//!
//! [`repair`]: crate::dispatch::fleet::repair

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::incarnation;

/// Maximum number of recorded processes, so that reports cannot exhaust memory.
const MAX_PROCESSES: usize = 16_384;

/// Time for which a process is kept that service discovery does not list.
///
/// Its entry may be written again after a store outage.
const RETENTION: Duration = Duration::from_mins(10);

/// Number of reports in which a node announces a process, since datagrams may be lost.
const ANNOUNCEMENT_REPORTS: u8 = 3;

/// Observation that a process is leaving.
#[derive(Clone, Debug, PartialEq)]
pub struct Observation {
    /// When the response arrived.
    pub at: Instant,
    /// The node that reported it; `None` if this node observed it.
    pub by: Option<id::Node>,
    /// When service discovery last listed the process; initially the time of recording.
    listed_at: Instant,
}

/// Announcement between nodes that a process is leaving.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The process.
    pub incarnation: incarnation::Incarnation,
    /// Time since the response arrived.
    pub age: Duration,
}

/// Counts in how many reports each process was announced to one set of nodes.
#[derive(Clone, Debug, Default)]
pub struct Announcer {
    reports: collections::BTreeMap<incarnation::Incarnation, u8>,
}

/// The processes known to be leaving.
#[derive(Clone, Debug, Default)]
pub struct LeavingProcesses {
    observed: collections::BTreeMap<incarnation::Incarnation, Observation>,
    announcer: Announcer,
}

impl LeavingProcesses {
    /// Returns the observation that a process is leaving, if there is one.
    #[must_use]
    pub fn get(&self, incarnation: &incarnation::Incarnation) -> Option<&Observation> {
        self.observed.get(incarnation)
    }

    /// Records that a process stated at `at` that it is leaving; returns whether this is new.
    pub fn record(
        &mut self,
        incarnation: &incarnation::Incarnation,
        at: Instant,
        by: Option<&id::Node>,
        now: Instant,
    ) -> bool {
        if self.observed.contains_key(incarnation) || self.observed.len() >= MAX_PROCESSES {
            return false;
        }
        let observed = Observation { at, by: by.cloned(), listed_at: now };
        self.observed.insert(incarnation.clone(), observed);
        true
    }

    /// Returns the announcement of a process, if it is known to be leaving.
    #[must_use]
    pub fn announcement(
        &self,
        incarnation: incarnation::Incarnation,
        now: Instant,
    ) -> Option<Announcement> {
        let age = now.saturating_duration_since(self.observed.get(&incarnation)?.at);
        Some(Announcement { incarnation, age })
    }

    /// Returns the announcements that are due for this node's own observations.
    pub fn report(&mut self, now: Instant) -> Vec<Announcement> {
        let own = self.observed.iter().filter(|(_, observed)| observed.by.is_none());
        self.announcer.take_due(own, now)
    }

    /// Returns the announcements that `announcer` still has to forward for the nodes that `includes`
    /// selects.
    pub fn report_sum(
        &self,
        includes: impl Fn(&id::Node) -> bool,
        announcer: &mut Announcer,
        now: Instant,
    ) -> Vec<Announcement> {
        announcer.retain(&self.observed);
        let included = self.observed.iter().filter(|(_, o)| o.by.as_ref().is_some_and(&includes));
        announcer.take_due(included, now)
    }

    /// Removes processes that service discovery has not listed for the retention time.
    pub fn tick(&mut self, is_listed: impl Fn(&incarnation::Incarnation) -> bool, now: Instant) {
        self.observed.retain(|incarnation, observed| {
            if is_listed(incarnation) {
                observed.listed_at = now;
            }
            now.saturating_duration_since(observed.listed_at) < RETENTION
        });
        self.announcer.retain(&self.observed);
    }
}

impl Announcer {
    /// Removes the counts of processes that are no longer recorded.
    fn retain(&mut self, observed: &collections::BTreeMap<incarnation::Incarnation, Observation>) {
        self.reports.retain(|incarnation, _| observed.contains_key(incarnation));
    }

    /// Returns the announcements that have not been repeated often enough, and counts them.
    fn take_due<'a>(
        &mut self,
        observed: impl Iterator<Item = (&'a incarnation::Incarnation, &'a Observation)>,
        now: Instant,
    ) -> Vec<Announcement> {
        let mut due = Vec::new();
        for (incarnation, observed) in observed {
            let reports = self.reports.entry(incarnation.clone()).or_default();
            if *reports < ANNOUNCEMENT_REPORTS {
                *reports += 1;
                let age = now.saturating_duration_since(observed.at);
                due.push(Announcement { incarnation: incarnation.clone(), age });
            }
        }
        due
    }
}
