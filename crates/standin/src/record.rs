//! What ran at the upstreams: the reference that callers' results are compared with.
//!
//! It owns the runs by request id, the requests in flight and the arrivals; [`crate::upstream`]
//! records into it, tests and the demo read it. It relies on no other module.

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

/// What all upstreams of a test recorded.
#[derive(Debug, Default)]
pub struct Record {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    runs: collections::HashMap<String, u32>,
    most_in_flight: collections::BTreeMap<String, (u32, u32)>,
    over_slots: u64,
    arrivals: Vec<Arrival>,
    late: u64,
}

/// One request that began to run.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When.
    pub at: Instant,
    /// The service.
    pub service: String,
    /// The caller's place, as its request names it.
    pub place: String,
    /// The region.
    pub region: String,
    /// The hall.
    pub hall: String,
    /// The upstream.
    pub upstream: String,
}

impl Record {
    /// Records that the request called `id` began to run, with `in_flight` now of `slots`.
    pub fn began(&self, id: &str, arrival: Arrival, in_flight: u32, slots: u32) {
        let mut state = self.lock();
        if !id.is_empty() {
            *state.runs.entry(id.to_owned()).or_insert(0) += 1;
        }
        let name = format!("{}/{}", arrival.service, arrival.upstream);
        let most = state.most_in_flight.entry(name).or_insert((0, slots));
        most.0 = most.0.max(in_flight);
        if in_flight > slots {
            state.over_slots += 1;
        }
        state.arrivals.push(arrival);
    }

    /// Records a request that was refused because its deadline had passed.
    pub fn late(&self) {
        self.lock().late += 1;
    }

    /// Returns how often the request called `id` ran.
    #[must_use]
    pub fn runs(&self, id: &str) -> u32 {
        self.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Returns how many requests found their upstream full already.
    #[must_use]
    pub fn over_slots(&self) -> u64 {
        self.lock().over_slots
    }

    /// Returns the greatest part of its slots that any upstream had in use.
    #[must_use]
    pub fn greatest_use(&self) -> f64 {
        let state = self.lock();
        let used = state.most_in_flight.values();
        used.map(|(most, slots)| f64::from(*most) / f64::from(*slots)).fold(0.0, f64::max)
    }

    /// Returns the requests that began after `since`.
    #[must_use]
    pub fn arrivals_since(&self, since: Instant) -> Vec<Arrival> {
        let state = self.lock();
        let first = state.arrivals.partition_point(|a| a.at < since);
        state.arrivals[first..].to_vec()
    }

    /// Returns the last arrival that `matches`.
    #[must_use]
    pub fn last_arrival(&self, matches: impl Fn(&Arrival) -> bool) -> Option<Instant> {
        self.lock().arrivals.iter().rev().find(|a| matches(a)).map(|a| a.at)
    }

    /// Returns the greatest shift of one place's requests for a service, between any two spans of
    /// length `span` whose starts lie at most `window` apart, with the least count in a span.
    ///
    /// Spans with fewer than `least` requests are too few to count shares in and are skipped.
    #[must_use]
    pub fn greatest_shift(
        &self,
        service: &str,
        (since, until): (Instant, Instant),
        window: Duration,
        span: Duration,
        least: usize,
    ) -> Shift {
        let arrivals = self.arrivals_since(since);
        let mut places: collections::BTreeMap<&str, Vec<&Arrival>> = collections::BTreeMap::new();
        for arrival in arrivals.iter().filter(|a| a.service == service && a.at < until) {
            places.entry(&arrival.place).or_default().push(arrival);
        }
        let shifts = places.values().map(|of_place| shift_of(of_place, window, span, least));
        shifts.max_by(|a, b| a.share.total_cmp(&b.share)).unwrap_or_default()
    }

    fn lock(&self) -> sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// A shift of traffic, as counted.
#[derive(Clone, Debug, Default)]
pub struct Shift {
    /// The share that changed region.
    pub share: f64,
    /// The fewest requests in the spans it was counted from.
    pub least: usize,
    /// Where and when, for a person.
    pub detail: String,
}

fn shift_of(arrivals: &[&Arrival], window: Duration, span: Duration, least: usize) -> Shift {
    let spans = spans(arrivals, span);
    let mut greatest = Shift::default();
    for (index, (start, first)) in spans.iter().enumerate() {
        let in_window = spans[index..].iter().take_while(|(s, _)| *s <= *start + window);
        for (_, second) in in_window {
            let count = first.total().min(second.total());
            let share = first.distance(second);
            if count >= least && share > greatest.share {
                let place = &arrivals[0].place;
                let at = start.duration_since(arrivals[0].at).as_secs_f64();
                let (before, after) = (&first.0, &second.0);
                let detail = format!("{place} at {at:.2} s: {before:?} to {after:?}");
                greatest = Shift { share, least: count, detail };
            }
        }
    }
    greatest
}

/// Counts by region of one span.
#[derive(Debug, Default)]
struct Counts<'a>(collections::BTreeMap<&'a str, usize>);

impl Counts<'_> {
    fn total(&self) -> usize {
        self.0.values().sum()
    }

    #[expect(clippy::cast_precision_loss, reason = "counts of a test are small")]
    fn share(&self, region: &str) -> f64 {
        let count = self.0.get(region).copied().unwrap_or(0);
        count as f64 / self.total().max(1) as f64
    }

    fn distance(&self, other: &Self) -> f64 {
        let regions: collections::BTreeSet<&str> =
            self.0.keys().chain(other.0.keys()).copied().collect();
        let lost = regions.iter().map(|r| (self.share(r) - other.share(r)).max(0.0));
        lost.sum()
    }
}

fn spans<'a>(arrivals: &[&'a Arrival], span: Duration) -> Vec<(Instant, Counts<'a>)> {
    let Some(first) = arrivals.first() else { return Vec::new() };
    let mut spans: Vec<(Instant, Counts<'a>)> = vec![(first.at, Counts::default())];
    for arrival in arrivals {
        while let Some((start, _)) = spans.last()
            && arrival.at >= *start + span
        {
            let next = *start + span;
            spans.push((next, Counts::default()));
        }
        if let Some((_, counts)) = spans.last_mut() {
            *counts.0.entry(arrival.region.as_str()).or_insert(0) += 1;
        }
    }
    spans
}
