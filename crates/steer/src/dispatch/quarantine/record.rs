//! Record: which requests were in flight at which crashes.
//!
//! Holds the sightings of this node and of other nodes, for evaluation by [`evidence`]. Its size is
//! bounded, because a caller that changes one byte per request makes every request a new one.
//!
//! [`evidence`]: crate::dispatch::quarantine::evidence

use std::collections;
use std::time::{Duration, Instant};

use model::fingerprint::{Caller, Content, Fingerprint, Head, Scope};

use crate::dispatch::quarantine::sighting::{Crash, Sighting, Start};

/// Time after which a sighting expires; a request that crashes upstreams may be repeated minutes
/// later.
const RETENTION: Duration = Duration::from_secs(600);

/// Maximum number of contents; the one with the oldest latest sighting is evicted first. About 2 MB
/// when all are full.
const MAX_CONTENTS: usize = 1_024;

/// Maximum number of sightings per content; the oldest are evicted first.
const MAX_SIGHTINGS_PER_CONTENT: usize = 24;

/// Maximum number of crashes; the oldest are evicted first.
const MAX_CRASHES: usize = 1_024;

/// Maximum time between two reports of one start that refer to the same crash; nodes detect a crash
/// at different times.
const SAME_CRASH_WINDOW: Duration = Duration::from_secs(1);

/// A crash at which a request with a given content was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Occurrence {
    /// The caller that sent the request.
    pub caller: Caller,
    /// When the request was sent to the upstream.
    pub sent: Instant,
    /// The crash.
    pub crash: Crash,
}

/// The crashes and the latest success of the requests with one content.
#[derive(Clone, Debug, Default)]
struct ContentRecord {
    occurrences: Vec<Occurrence>,
    succeeded: Option<Instant>,
}

/// The requests that were in flight at crashes, by content.
#[derive(Clone, Debug, Default)]
pub struct Record {
    contents: collections::BTreeMap<Content, ContentRecord>,
    crashes: collections::BTreeMap<Start, Crash>,
}

impl Record {
    /// Returns whether the record is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.contents.is_empty()
    }

    /// Returns whether a request with this head was in flight at a crash.
    #[must_use]
    pub fn contains_head(&self, head: Head) -> bool {
        self.contents.range(Content::range_with_head(head)).next().is_some()
    }

    /// Returns the recorded contents.
    pub fn contents(&self) -> impl Iterator<Item = Content> {
        self.contents.keys().copied()
    }

    /// Adds a sighting. Returns whether it is new.
    pub fn add(&mut self, sighting: &Sighting) -> bool {
        let Sighting { fingerprint, crash, sent } = *sighting;
        let start = self.start_of(&crash);
        let crash = *self.crashes.entry(start).or_insert(Crash { start, ..crash });
        let record = self.contents.entry(fingerprint.content).or_default();
        let is_same =
            |s: &Occurrence| s.caller == fingerprint.caller && s.crash.start == crash.start;
        if record.occurrences.iter().any(is_same) {
            return false;
        }
        record.occurrences.push(Occurrence { caller: fingerprint.caller, sent, crash });
        record.occurrences.sort_by_key(|seen| seen.crash.at);
        let surplus = record.occurrences.len().saturating_sub(MAX_SIGHTINGS_PER_CONTENT);
        record.occurrences.drain(..surplus);
        self.evict();
        true
    }

    /// Returns the key under which a crash is recorded.
    ///
    /// An upstream may end again before its entry in discovery shows the restart. That is a
    /// separate crash and gets the next free number.
    fn start_of(&self, crash: &Crash) -> Start {
        let mut start = crash.start;
        while self.crashes.get(&start).is_some_and(|known| !is_same_crash(known, crash)) {
            start = Start(start.0.wrapping_add(1));
        }
        start
    }

    /// Removes the crashes of a request that ran to its end at `now`. Returns whether the record
    /// changed.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let Some(record) = self.contents.get_mut(&fingerprint.content) else { return false };
        // A report that changes nothing must not be forwarded, or nodes would forward it in a loop.
        let is_after_all_sends =
            |at: Instant| record.occurrences.iter().all(|seen| seen.sent <= at);
        let is_other_caller = |seen: &Occurrence| seen.caller != fingerprint.caller;
        if record.succeeded.is_some_and(is_after_all_sends)
            && record.occurrences.iter().all(is_other_caller)
        {
            return false;
        }
        record.occurrences.retain(is_other_caller);
        record.succeeded = Some(now);
        if record.occurrences.is_empty() {
            self.contents.remove(&fingerprint.content);
        }
        true
    }

    /// Removes the sightings of the requests of `scope`.
    pub fn remove(&mut self, scope: &Scope) {
        let Some(record) = self.contents.get_mut(&scope.content) else { return };
        record.occurrences.retain(|seen| scope.caller.is_some_and(|caller| seen.caller != caller));
        if record.occurrences.is_empty() {
            self.contents.remove(&scope.content);
        }
    }

    /// Removes expired sightings and crashes.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |crash: &Crash| now.saturating_duration_since(crash.at) < RETENTION;
        self.crashes.retain(|_, crash| is_recent(crash));
        self.contents.retain(|_, record| {
            record.occurrences.retain(|seen| is_recent(&seen.crash));
            !record.occurrences.is_empty()
        });
    }

    /// Returns the crashes at which requests of `scope` were in flight, in chronological order.
    ///
    /// A content that ran to its end for one caller must not be held back for all callers, so a
    /// scope without a caller includes only requests sent after the latest success.
    pub fn occurrences(&self, scope: &Scope) -> impl Iterator<Item = &Occurrence> {
        let record = self.contents.get(&scope.content);
        let succeeded = record.and_then(|record| record.succeeded);
        let caller = scope.caller;
        let is_included = move |seen: &&Occurrence| match caller {
            Some(caller) => seen.caller == caller,
            None => succeeded.is_none_or(|at| seen.sent > at),
        };
        record.into_iter().flat_map(|record| &record.occurrences).filter(is_included)
    }

    /// Returns the number of crashes at which requests of `scope` were in flight.
    #[must_use]
    pub fn crash_count(&self, scope: &Scope) -> usize {
        let starts: collections::BTreeSet<Start> =
            self.occurrences(scope).map(|seen| seen.crash.start).collect();
        starts.len()
    }

    /// Returns the callers whose requests with `content` were in flight at crashes.
    #[must_use]
    pub fn callers(&self, content: Content) -> collections::BTreeSet<Caller> {
        let occurrences =
            self.contents.get(&content).into_iter().flat_map(|record| &record.occurrences);
        occurrences.map(|seen| seen.caller).collect()
    }

    /// Returns the requests that were in flight at the crash of `start`.
    pub fn in_flight(&self, start: Start) -> impl Iterator<Item = Fingerprint> {
        self.contents.iter().flat_map(move |(content, record)| {
            let at_crash = record.occurrences.iter().filter(move |seen| seen.crash.start == start);
            at_crash.map(|seen| Fingerprint { content: *content, caller: seen.caller })
        })
    }

    /// Returns all recorded crashes.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    fn evict(&mut self) {
        let latest = |record: &ContentRecord| record.occurrences.last().map(|seen| seen.crash.at);
        while self.contents.len() > MAX_CONTENTS {
            let oldest = self.contents.iter().min_by_key(|(_, record)| latest(record));
            let Some((&oldest, _)) = oldest else { return };
            self.contents.remove(&oldest);
        }
        while self.crashes.len() > MAX_CRASHES {
            let oldest = self.crashes.values().min_by_key(|crash| crash.at).map(|c| c.start);
            let Some(oldest) = oldest else { return };
            self.crashes.remove(&oldest);
        }
    }
}

fn is_same_crash(known: &Crash, reported: &Crash) -> bool {
    let (earlier, later) = (known.at.min(reported.at), known.at.max(reported.at));
    later.saturating_duration_since(earlier) < SAME_CRASH_WINDOW
}
