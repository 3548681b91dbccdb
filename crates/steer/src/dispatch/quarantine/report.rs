//! Reports that nodes send to each other: crashes, and requests that are held back.
//!
//! Holds the pending reports and limits their rate. Each sighting is reported only once, because
//! the crash of a whole hall produces many; rulings are repeated.

use std::time::Instant;

use model::fingerprint::{Fingerprint, Scope};

use crate::dispatch::quarantine::ruling::Ruling;
use crate::dispatch::quarantine::sighting::Sighting;

/// Sightings per second that a node reports on average; the refill rate of the budget.
const SIGHTINGS_PER_SECOND: f64 = 60.0;

/// Maximum number of sightings that a node reports at once after a pause.
const MAX_BURST: f64 = 120.0;

/// The origin of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// This node.
    Own,
    /// Another node of the same region.
    Near,
    /// A representative of another region.
    Far,
    /// The store, which all nodes read.
    Store,
}

/// A report to other nodes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Report {
    /// Requests that were in flight at crashes.
    pub sightings: Vec<Sighting>,
    /// Requests that ran to their end after having been in flight at crashes.
    pub cleared: Vec<Fingerprint>,
    /// Which requests are held back, and which no longer are.
    pub rulings: Vec<(Scope, Ruling)>,
}

impl Report {
    /// Returns whether the report is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.sightings.is_empty() && self.cleared.is_empty() && self.rulings.is_empty()
    }

    fn append(&mut self, other: &Self) {
        self.sightings.extend(&other.sightings);
        self.cleared.extend(&other.cleared);
        self.rulings.extend(&other.rulings);
    }
}

/// The pending reports, by recipients.
#[derive(Clone, Debug)]
pub struct Outbox {
    near: Report,
    far: Report,
    budget: f64,
    at: Instant,
}

impl Outbox {
    /// Creates an empty outbox.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { near: Report::default(), far: Report::default(), budget: MAX_BURST, at: now }
    }

    /// Returns whether no reports are pending.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.near.is_empty() && self.far.is_empty()
    }

    /// Adds a report that is new to this node, for the recipients that `source` does not report to
    /// itself.
    pub fn add(&mut self, report: &Report, source: Source) {
        if matches!(source, Source::Own | Source::Far) {
            self.near.append(report);
        }
        if matches!(source, Source::Own | Source::Near) {
            self.far.append(report);
        }
    }

    /// Takes the reports for the nodes of this region and for the representatives of other regions.
    ///
    /// Sightings that exceed the budget are dropped, starting with those of requests that were in
    /// flight at the fewest crashes. `crash_count` returns that number.
    pub fn take(
        &mut self,
        now: Instant,
        crash_count: impl Fn(&Sighting) -> usize,
    ) -> (Report, Report) {
        let elapsed = now.saturating_duration_since(self.at).as_secs_f64();
        self.budget = (self.budget + elapsed * SIGHTINGS_PER_SECOND).min(MAX_BURST);
        self.at = now;
        let (mut near, mut far) = (std::mem::take(&mut self.near), std::mem::take(&mut self.far));
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "between 0 and a constant"
        )]
        let limit = self.budget as usize;
        for report in [&mut near, &mut far] {
            report.sightings.sort_by_key(|sighting| std::cmp::Reverse(crash_count(sighting)));
            report.sightings.truncate(limit);
        }
        #[expect(clippy::cast_precision_loss, reason = "some dozens")]
        let reported = near.sightings.len().max(far.sightings.len()) as f64;
        self.budget -= reported;
        (near, far)
    }
}
