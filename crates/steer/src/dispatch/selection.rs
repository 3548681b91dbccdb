//! Selection: which of a region's eligible upstreams takes a request.
//!
//! Owns nothing. The cost of an upstream is the time until the request would be done there, multiplied by
//! its [`affinity`] rank, less where it has seen the object, and by its recent failures; the cheapest of the first few
//! that the object prefers wins. Relies on [`eligibility`] to have filtered the upstreams, on [`preference`] for
//! their order, and on [`admission`] for the longest wait.
//!
//! [`eligibility`]: crate::dispatch::eligibility
//! [`preference`]: crate::dispatch::preference

use std::cmp;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;

use crate::dispatch::admission;
use crate::dispatch::affinity;
use crate::dispatch::candidate;
use crate::dispatch::expected_processing_time;
use crate::dispatch::priority;
use crate::dispatch::request;
use crate::dispatch::seconds;
use crate::dispatch::seen_objects;
use crate::dispatch::skipped;
use crate::dispatch::upstream;

/// Added cost of an upstream all of whose tries fail, as a multiple of a healthy one's cost.
///
/// Above the costs of affinity, so that an object leaves an upstream that keeps failing.
const FAILURE_COST: f64 = 6.0;

/// Upstreams of a region among which a request's one is chosen, the first that its object prefers.
///
/// A choice costs the same however many upstreams there are, and the runs of an object that its first upstream cannot
/// take meet few others, which come to know it.
pub const MAX_CANDIDATES: usize = 8;

/// An eligible upstream with what is expected of it for a request.
#[derive(Clone, Debug)]
struct Rated {
    entry: sync::Arc<discovery::Entry>,
    sight: seen_objects::Sight,
    wait: seconds::Seconds,
    cost: f64,
    load_age: Duration,
}

/// The first of a region's eligible upstreams that a request's object prefers, with what is expected of each.
#[derive(Clone, Debug)]
pub struct Ranking {
    rated: Vec<Rated>,
    work: expected_processing_time::ProcessingTimes,
    max_wait: seconds::Seconds,
    /// The request's object; none when it has none.
    object: Option<u64>,
}

impl Ranking {
    /// Rates a region's `eligible` upstreams, which come in the order of the object's preference.
    #[must_use]
    pub fn new<'a>(
        eligible: impl Iterator<Item = &'a upstream::Upstream>,
        request: &request::Request<'_>,
        work: expected_processing_time::ProcessingTimes,
        urgency: priority::Rank,
        now: Instant,
    ) -> Self {
        let candidates = candidates(eligible, work.mean(), now);
        let rate = |(rank, upstream)| rate(upstream, rank, request, work, now);
        Self {
            rated: candidates.into_iter().enumerate().map(rate).collect(),
            work,
            max_wait: admission::max_wait(work.mean(), urgency, request),
            object: request.route.is_sticky.then_some(request.key),
        }
    }

    /// Returns the best upstream beside those that were skipped; none when there is none.
    #[must_use]
    pub fn best(&self, skipped: &skipped::Skipped) -> Option<candidate::Candidate> {
        let open = || self.rated.iter().filter(|rated| !skipped.contains(&rated.entry.id));
        let cheapest = open().min_by(|a, b| by_cost(a, b))?;
        let chosen = match cheapest.wait > self.max_wait {
            true => idle_second(open()).unwrap_or(cheapest),
            false => cheapest,
        };
        Some(candidate::Candidate {
            entry: sync::Arc::clone(&chosen.entry),
            object: self.object.map(|key| seen_objects::Object { key, sight: chosen.sight }),
            wait: chosen.wait,
            max_wait: self.max_wait,
            work: self.work.mean(),
            done: seconds::Seconds(chosen.wait.0 + self.work.mean_for(chosen.sight).0),
            expected: seconds::Seconds(chosen.wait.0 + self.work.conservative().0),
            load_age: chosen.load_age,
            avoided: None,
            skipped: Vec::new(),
        })
    }
}

/// Returns the best of a region's `eligible` upstreams, which come in the order of the object's preference; none when
/// there is none.
#[must_use]
pub fn best<'a>(
    eligible: impl Iterator<Item = &'a upstream::Upstream>,
    request: &request::Request<'_>,
    work: expected_processing_time::ProcessingTimes,
    urgency: priority::Rank,
    now: Instant,
) -> Option<candidate::Candidate> {
    Ranking::new(eligible, request, work, urgency, now).best(&skipped::Skipped::default())
}

/// Rates an upstream at `rank` of the object's preferences; 0 is first.
fn rate(
    upstream: &upstream::Upstream,
    rank: usize,
    request: &request::Request<'_>,
    work: expected_processing_time::ProcessingTimes,
    now: Instant,
) -> Rated {
    let sight = match request.route.is_sticky {
        true => seen_objects::Sight::of(upstream.objects.contains(request.key), rank),
        false => seen_objects::Sight::Preferred,
    };
    let of_rank = affinity::cost(request.route.is_sticky, rank);
    let of_object = match sight {
        seen_objects::Sight::SeenElsewhere => of_rank.min(affinity::seen_cost(work)),
        _ => of_rank,
    };
    let of_failures = 1.0 + upstream.health.failure_rate(now) * FAILURE_COST;
    let time = upstream.health.processing_time(work.mean(), now).0 * upstream.crowding(now);
    Rated {
        entry: sync::Arc::clone(&upstream.entry),
        sight,
        wait: upstream.wait(work.mean(), now),
        cost: time * of_object * of_failures,
        load_age: upstream.load.age(now),
    }
}

/// Returns the first upstreams that are neither ejected nor silent; the first of all where none is.
fn candidates<'a>(
    eligible: impl Iterator<Item = &'a upstream::Upstream>,
    work: seconds::Seconds,
    now: Instant,
) -> Vec<&'a upstream::Upstream> {
    let mut healthy = Vec::with_capacity(MAX_CANDIDATES);
    let mut suspect = Vec::new();
    for upstream in eligible {
        match upstream.health.is_healthy(work, now) {
            true => healthy.push(upstream),
            false if suspect.len() < MAX_CANDIDATES => suspect.push(upstream),
            false => {}
        }
        if healthy.len() == MAX_CANDIDATES {
            break;
        }
    }
    if healthy.is_empty() { suspect } else { healthy }
}

fn by_cost(a: &Rated, b: &Rated) -> cmp::Ordering {
    a.cost.partial_cmp(&b.cost).unwrap_or(cmp::Ordering::Equal)
}

/// Returns the first of the object's two preferred upstreams that has no queue.
///
/// Used in place of a refusal. Any other idle upstream was far worse (docs/DECISIONS.md, "How long a
/// request may wait"), since cold runs take capacity from the objects that are warm there.
fn idle_second<'r>(mut rated: impl Iterator<Item = &'r Rated>) -> Option<&'r Rated> {
    rated.by_ref().take(2).find(|rated| rated.wait.0 <= 0.0)
}
