//! Response times: whether a request that is sent now ends before its process does.
//!
//! A process that stops accepts requests until shortly before it exits. It cannot tell how long one of
//! them runs, but requests of the same kind rarely take much longer than the longest of the latest ones.
//! A request that might not end in time is refused before it is sent, because its caller could not tell
//! whether it was executed. Where no response times are known, the deadline decides.

use std::collections;
use std::time::{Duration, Instant};

/// Length of a period. The longest times of the current and the previous period count.
const PERIOD: Duration = Duration::from_secs(300);

/// Factor by which a request of a gateway may exceed what almost all of many took, because queues at
/// upstreams grow unseen while several gateways stop.
pub const GATEWAY_EXCESS: f64 = 4.0;

/// The same for a node that owns upstreams, which grants their slots itself.
pub const OWNER_EXCESS: f64 = 1.5;

/// Number of requests of which the longest one is not multiplied: a single slow request says little of
/// the next one.
const REQUESTS_PER_OUTLIER: u32 = 50;

/// Number of the longest times that are kept.
const LONGEST: usize = 8;

/// Amount by which that factor is higher after a single request; divided by the number of requests,
/// because the longest of a few says little.
const EXCESS_OF_ONE: f64 = 5.0;

/// Factor by which a request may queue longer than estimated. The longest times before do not show how long
/// the queue is at this moment, and estimates lag behind it.
const QUEUE_EXCESS: f64 = 2.0;

/// Time in which a response is passed on to the caller before the process exits.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);

/// Maximum number of kinds of requests that are observed.
const MAX_KINDS: usize = 1_024;

/// Response times within one period.
#[derive(Clone, Copy, Debug, Default)]
struct Period {
    /// The longest times, the longest first.
    longest: [Duration; LONGEST],
    count: u32,
    /// Whether a response was still being passed on when the deadline of its request had passed.
    outlasts_deadlines: bool,
}

impl Period {
    fn record(&mut self, took: Duration, allowed: Duration) {
        let position = self.longest.partition_point(|longer| *longer >= took);
        if position < LONGEST {
            self.longest[position..].rotate_right(1);
            self.longest[position] = took;
        }
        self.count = self.count.saturating_add(1);
        self.outlasts_deadlines |= took > allowed + RESPONSE_MARGIN;
    }

    /// Returns the time that almost all requests did not exceed.
    fn usual_longest(&self) -> Duration {
        let outliers = usize::try_from(self.count / REQUESTS_PER_OUTLIER).unwrap_or(LONGEST);
        self.longest[outliers.min(LONGEST - 1)]
    }
}

/// Response times of one kind of requests.
#[derive(Clone, Copy, Debug)]
struct Times {
    began: Instant,
    current: Period,
    previous: Period,
}

impl Times {
    fn new(now: Instant) -> Self {
        Self { began: now, current: Period::default(), previous: Period::default() }
    }

    fn record(&mut self, took: Duration, allowed: Duration, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age >= PERIOD {
            let is_previous = age < 2 * PERIOD;
            self.previous = if is_previous { self.current } else { Period::default() };
            self.current = Period::default();
            self.began = now;
        }
        self.current.record(took, allowed);
    }

    /// Returns when one more request with this deadline ends at the latest, if it is sent at `now` and
    /// queues for about `wait`.
    fn end(&self, excess: f64, deadline: Instant, wait: Duration, now: Instant) -> Instant {
        let longest = self.current.longest[0].max(self.previous.longest[0]);
        let usual = self.current.usual_longest().max(self.previous.usual_longest());
        let count = f64::from(self.current.count.saturating_add(self.previous.count).max(1));
        let usual = usual.mul_f64(excess + EXCESS_OF_ONE / count);
        let expected = now + longest.max(usual) + wait.mul_f64(QUEUE_EXCESS);
        match self.current.outlasts_deadlines || self.previous.outlasts_deadlines {
            true => expected,
            false => expected.min(deadline),
        }
    }
}

/// The longest of the latest response times, by kind of requests.
#[derive(Clone, Debug)]
pub struct ResponseTimes<K> {
    excess: f64,
    by_kind: collections::BTreeMap<K, Times>,
}

impl<K: Ord + Clone> ResponseTimes<K> {
    /// Creates response times without requests; one may exceed what almost all others took by the factor
    /// `excess`.
    #[must_use]
    pub fn new(excess: f64) -> Self {
        Self { excess, by_kind: collections::BTreeMap::new() }
    }

    /// Records how long a request took until its response was passed on or its deadline passed; `allowed`
    /// is the time until its deadline.
    pub fn record(&mut self, kind: &K, took: Duration, allowed: Duration, now: Instant) {
        if let Some(times) = self.by_kind.get_mut(kind) {
            times.record(took, allowed, now);
        } else if self.by_kind.len() < MAX_KINDS {
            let mut times = Times::new(now);
            times.record(took, allowed, now);
            self.by_kind.insert(kind.clone(), times);
        }
    }

    /// Drops the kinds that `is_known` does not select.
    pub fn retain(&mut self, is_known: impl Fn(&K) -> bool) {
        self.by_kind.retain(|kind, _| is_known(kind));
    }

    /// Returns whether a request that is sent at `now`, and is estimated to queue for `wait`, ends before the
    /// process exits at `exit`.
    #[must_use]
    pub fn ends_before(
        &self,
        exit: Instant,
        kind: &K,
        deadline: Instant,
        wait: Duration,
        now: Instant,
    ) -> bool {
        precedes(self.expected_end(kind, deadline, wait, now), exit)
    }

    /// Returns when a request that is sent at `now`, and is estimated to queue for `wait`, ends at the latest.
    #[must_use]
    pub fn expected_end(
        &self,
        kind: &K,
        deadline: Instant,
        wait: Duration,
        now: Instant,
    ) -> Instant {
        let known = self.by_kind.get(kind);
        known.map_or(deadline, |times| times.end(self.excess, deadline, wait, now))
    }
}

/// Returns whether a request that is expected to end at `end` does so before the process exits at `exit`.
#[must_use]
pub fn precedes(end: Instant, exit: Instant) -> bool {
    end <= latest_end(exit)
}

/// Returns the deadline of a request that is sent on by a process that exits at `exit`, `None` unless it stops: an
/// earlier one than `deadline` if its caller would not get the response otherwise.
#[must_use]
pub fn shorten(deadline: Instant, exit: Option<Instant>) -> Instant {
    exit.map_or(deadline, |exit| latest_end(exit).min(deadline))
}

/// Returns when a response must have come for its caller to get it before the process exits at `exit`.
#[must_use]
pub fn latest_end(exit: Instant) -> Instant {
    exit - RESPONSE_MARGIN
}
