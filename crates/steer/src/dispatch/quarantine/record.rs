//! Record: which requests were in flight at which crashes.
//!
//! Owns the sightings of this node and of others, within bounds: a caller that changes one byte each time makes each request a new
//! one. Decides nothing; [`evidence`] reads it.
//!
//! [`evidence`]: crate::dispatch::quarantine::evidence

use std::collections;
use std::time::{Duration, Instant};

use model::fingerprint::{Caller, Content, Fingerprint, Head, Scope};

use crate::dispatch::quarantine::sighting::{Crash, Sighting, Start};

/// Time for which a sighting counts; a request under which upstreams end may come again after minutes.
const MEMORY: Duration = Duration::from_secs(600);

/// Contents that are remembered; the one seen longest ago goes first. Some 2 MB when all are full.
const MOST_CONTENTS: usize = 1_024;

/// Sightings of one content that are remembered, the latest.
const MOST_SIGHTINGS: usize = 24;

/// Crashes that are remembered, the latest.
const MOST_CRASHES: usize = 1_024;

/// Difference in time below which two reports of one start are about one crash; nodes learn of it at different moments.
const SAME_CRASH: Duration = Duration::from_secs(1);

/// One crash at which a request of some content was in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Seen {
    /// Who sent the request.
    pub caller: Caller,
    /// When it was sent to the upstream.
    pub sent: Instant,
    /// The crash.
    pub crash: Crash,
}

/// What is known of the requests of one content.
#[derive(Clone, Debug, Default)]
struct Suspect {
    seen: Vec<Seen>,
    succeeded: Option<Instant>,
}

/// Requests by the crashes at which they were in flight.
#[derive(Clone, Debug, Default)]
pub struct Record {
    suspects: collections::BTreeMap<Content, Suspect>,
    crashes: collections::BTreeMap<Start, Crash>,
}

impl Record {
    /// Returns whether nothing is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.suspects.is_empty()
    }

    /// Returns whether a request of this head was in flight at a crash.
    #[must_use]
    pub fn contains_head(&self, head: Head) -> bool {
        self.suspects.range(Content::range_with_head(head)).next().is_some()
    }

    /// Returns the contents that are remembered.
    pub fn contents(&self) -> impl Iterator<Item = Content> {
        self.suspects.keys().copied()
    }

    /// Adds a sighting; returns whether it was not known.
    pub fn add(&mut self, sighting: &Sighting) -> bool {
        let Sighting { fingerprint, crash, sent } = *sighting;
        let start = self.start_of(&crash);
        let crash = *self.crashes.entry(start).or_insert(Crash { start, ..crash });
        let suspect = self.suspects.entry(fingerprint.content).or_default();
        let is_same = |s: &Seen| s.caller == fingerprint.caller && s.crash.start == crash.start;
        if suspect.seen.iter().any(is_same) {
            return false;
        }
        suspect.seen.push(Seen { caller: fingerprint.caller, sent, crash });
        suspect.seen.sort_by_key(|seen| seen.crash.at);
        let surplus = suspect.seen.len().saturating_sub(MOST_SIGHTINGS);
        suspect.seen.drain(..surplus);
        self.bound();
        true
    }

    /// Returns by what a crash is known here.
    ///
    /// An upstream may end again before its entry says that it started anew. That is another crash, and has the next number.
    fn start_of(&self, crash: &Crash) -> Start {
        let mut start = crash.start;
        while self.crashes.get(&start).is_some_and(|known| !is_same(known, crash)) {
            start = Start(start.0.wrapping_add(1));
        }
        start
    }

    /// Forgets the crashes of a request that ran to its end at `now`; returns whether that changed anything.
    pub fn clear(&mut self, fingerprint: &Fingerprint, now: Instant) -> bool {
        let Some(suspect) = self.suspects.get_mut(&fingerprint.content) else { return false };
        // What changes nothing must not be forwarded, or nodes would forward it to each other without end.
        let is_known = |at: Instant| suspect.seen.iter().all(|seen| seen.sent <= at);
        let is_of_other = |seen: &Seen| seen.caller != fingerprint.caller;
        if suspect.succeeded.is_some_and(is_known) && suspect.seen.iter().all(is_of_other) {
            return false;
        }
        suspect.seen.retain(is_of_other);
        suspect.succeeded = Some(now);
        if suspect.seen.is_empty() {
            self.suspects.remove(&fingerprint.content);
        }
        true
    }

    /// Forgets what is known of the requests of `scope`.
    pub fn remove(&mut self, scope: &Scope) {
        let Some(suspect) = self.suspects.get_mut(&scope.content) else { return };
        suspect.seen.retain(|seen| scope.caller.is_some_and(|caller| seen.caller != caller));
        if suspect.seen.is_empty() {
            self.suspects.remove(&scope.content);
        }
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |crash: &Crash| now.saturating_duration_since(crash.at) < MEMORY;
        self.crashes.retain(|_, crash| is_recent(crash));
        self.suspects.retain(|_, suspect| {
            suspect.seen.retain(|seen| is_recent(&seen.crash));
            !suspect.seen.is_empty()
        });
    }

    /// Returns the crashes at which requests of `scope` were in flight, in their order.
    ///
    /// A content that ran to its end for one caller is not to be held back for all: for any caller only what came since counts.
    pub fn seen(&self, scope: &Scope) -> impl Iterator<Item = &Seen> {
        let suspect = self.suspects.get(&scope.content);
        let succeeded = suspect.and_then(|suspect| suspect.succeeded);
        let caller = scope.caller;
        let counts = move |seen: &&Seen| match caller {
            Some(caller) => seen.caller == caller,
            None => succeeded.is_none_or(|at| seen.sent > at),
        };
        suspect.into_iter().flat_map(|suspect| &suspect.seen).filter(counts)
    }

    /// Returns at how many crashes requests of `scope` were in flight.
    #[must_use]
    pub fn count(&self, scope: &Scope) -> usize {
        let starts: collections::BTreeSet<Start> =
            self.seen(scope).map(|seen| seen.crash.start).collect();
        starts.len()
    }

    /// Returns who sent requests of `content` that were in flight at crashes.
    #[must_use]
    pub fn callers(&self, content: Content) -> collections::BTreeSet<Caller> {
        let seen = self.suspects.get(&content).into_iter().flat_map(|suspect| &suspect.seen);
        seen.map(|seen| seen.caller).collect()
    }

    /// Returns the requests that were in flight at a crash.
    pub fn in_flight(&self, start: Start) -> impl Iterator<Item = Fingerprint> {
        self.suspects.iter().flat_map(move |(content, suspect)| {
            let at_it = suspect.seen.iter().filter(move |seen| seen.crash.start == start);
            at_it.map(|seen| Fingerprint { content: *content, caller: seen.caller })
        })
    }

    /// Returns all crashes that are remembered.
    pub fn crashes(&self) -> impl Iterator<Item = &Crash> {
        self.crashes.values()
    }

    fn bound(&mut self) {
        let latest = |suspect: &Suspect| suspect.seen.last().map(|seen| seen.crash.at);
        while self.suspects.len() > MOST_CONTENTS {
            let oldest = self.suspects.iter().min_by_key(|(_, suspect)| latest(suspect));
            let Some((&oldest, _)) = oldest else { return };
            self.suspects.remove(&oldest);
        }
        while self.crashes.len() > MOST_CRASHES {
            let oldest = self.crashes.values().min_by_key(|crash| crash.at).map(|c| c.start);
            let Some(oldest) = oldest else { return };
            self.crashes.remove(&oldest);
        }
    }
}

fn is_same(known: &Crash, reported: &Crash) -> bool {
    let (earlier, later) = (known.at.min(reported.at), known.at.max(reported.at));
    later.saturating_duration_since(earlier) < SAME_CRASH
}
