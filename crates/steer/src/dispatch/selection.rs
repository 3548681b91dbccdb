//! Selection: which of a region's eligible upstreams takes a request.
//!
//! The cost of an upstream is the estimated time until it has processed the request, multiplied by
//! factors for its [`affinity`] rank (lower if it has seen the object) and its recent failures. The
//! cheapest of the object's most preferred upstreams is chosen, outside halls in which an earlier
//! attempt of the request got no response if there are others. [`eligibility`] filters the
//! upstreams, [`preference`] orders them, and [`admission`] provides the maximum wait.
//!
//! [`eligibility`]: crate::dispatch::eligibility
//! [`preference`]: crate::dispatch::preference

use std::cmp;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

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

/// Additional cost of an upstream at a failure rate of 1, as a multiple of a healthy upstream's cost.
///
/// Exceeds the affinity cost factors, so that objects move away from an upstream that keeps failing.
const FAILURE_COST_FACTOR: f64 = 6.0;

/// Number of the object's most preferred upstreams in a region that are compared for a request.
///
/// Keeps the cost of a choice independent of the number of upstreams, and concentrates requests that
/// the first upstream cannot take on a few others, which then have the object cached.
pub const MAX_CANDIDATES: usize = 8;

/// An eligible upstream with its cost for a request.
#[derive(Clone, Debug)]
struct ScoredUpstream {
    entry: sync::Arc<discovery::Entry>,
    familiarity: seen_objects::Familiarity,
    wait: seconds::Seconds,
    cost: f64,
    /// Factor by which work takes longer there than usual at this moment.
    pace: f64,
    load_age: Duration,
}

/// The most preferred eligible upstreams of a region for a request, with the cost of each.
#[derive(Clone, Debug)]
pub struct Ranking {
    scored: Vec<ScoredUpstream>,
    work: expected_processing_time::ProcessingTimes,
    max_wait: seconds::Seconds,
    /// Hash of the request's object; `None` if the request has no object.
    object: Option<u64>,
}

impl Ranking {
    /// Scores a region's `eligible` upstreams, which must be in the object's order of preference.
    #[must_use]
    pub fn new<'a>(
        eligible: impl Iterator<Item = &'a upstream::Upstream>,
        request: &request::Request<'_>,
        work: expected_processing_time::ProcessingTimes,
        rank: priority::Rank,
        now: Instant,
    ) -> Self {
        let candidates = candidates(eligible, request.failed_halls, work.mean(), now);
        let score = |(position, upstream)| score(upstream, position, request, work, now);
        Self {
            scored: candidates.into_iter().enumerate().map(score).collect(),
            work,
            max_wait: admission::max_wait(work.mean(), rank, request),
            object: request.route.is_sticky.then_some(request.key),
        }
    }

    /// Returns the best upstream that was not skipped, or `None` if none is left.
    #[must_use]
    pub fn best(&self, skipped: &skipped::Skipped) -> Option<candidate::Candidate> {
        let remaining = || self.scored.iter().filter(|u| !skipped.contains(&u.entry.id));
        let cheapest = remaining().min_by(|a, b| by_cost(a, b))?;
        let chosen = match cheapest.wait > self.max_wait {
            true => idle_preferred(remaining()).unwrap_or(cheapest),
            false => cheapest,
        };
        Some(candidate::Candidate {
            entry: sync::Arc::clone(&chosen.entry),
            object: self
                .object
                .map(|key| seen_objects::Object { key, familiarity: chosen.familiarity }),
            wait: chosen.wait,
            max_wait: self.max_wait,
            work: self.work.mean(),
            mean_latency: seconds::Seconds(
                chosen.wait.0 + self.work.mean_for(chosen.familiarity).0 * chosen.pace,
            ),
            cautious_latency: seconds::Seconds(
                chosen.wait.0 + self.work.conservative().0 * chosen.pace,
            ),
            load_age: chosen.load_age,
            avoided: None,
            skipped: Vec::new(),
            slot: None,
        })
    }
}

/// Returns the best of a region's `eligible` upstreams, which must be in the object's order of
/// preference, or `None` if there are none.
#[must_use]
pub fn best<'a>(
    eligible: impl Iterator<Item = &'a upstream::Upstream>,
    request: &request::Request<'_>,
    work: expected_processing_time::ProcessingTimes,
    rank: priority::Rank,
    now: Instant,
) -> Option<candidate::Candidate> {
    Ranking::new(eligible, request, work, rank, now).best(&skipped::Skipped::default())
}

/// Computes the cost of an upstream at `position` in the object's order of preference; 0 is the first.
fn score(
    upstream: &upstream::Upstream,
    position: usize,
    request: &request::Request<'_>,
    work: expected_processing_time::ProcessingTimes,
    now: Instant,
) -> ScoredUpstream {
    let familiarity = match request.route.is_sticky {
        true => seen_objects::Familiarity::of(upstream.objects.contains(request.key), position),
        false => seen_objects::Familiarity::Preferred,
    };
    let affinity_factor = affinity::cost(request.route.is_sticky, position);
    let object_factor = match familiarity {
        seen_objects::Familiarity::SeenElsewhere => affinity_factor.min(affinity::seen_cost(work)),
        _ => affinity_factor,
    };
    let failure_factor = 1.0 + upstream.health.failure_rate(now) * FAILURE_COST_FACTOR;
    let time = upstream.processing_time(work.mean(), now).0 * upstream.crowding(now);
    ScoredUpstream {
        entry: sync::Arc::clone(&upstream.entry),
        familiarity,
        wait: upstream.wait(work.mean(), now),
        cost: time * object_factor * failure_factor,
        pace: upstream.pace.get(now),
        load_age: upstream.load.age(now),
    }
}

/// Returns the first upstreams that are neither ejected nor silent and stand outside `failed_halls`; the first healthy
/// ones if there are none, and the first of all upstreams if none is healthy.
fn candidates<'a>(
    eligible: impl Iterator<Item = &'a upstream::Upstream>,
    failed_halls: &[id::Hall],
    work: seconds::Seconds,
    now: Instant,
) -> Vec<&'a upstream::Upstream> {
    let mut preferred = Vec::with_capacity(MAX_CANDIDATES);
    let mut healthy = Vec::new();
    let mut unhealthy = Vec::new();
    for upstream in eligible {
        let is_healthy = upstream.health.is_healthy(work, now);
        let group = match is_healthy {
            true if !failed_halls.contains(&upstream.entry.hall) => &mut preferred,
            true => &mut healthy,
            false => &mut unhealthy,
        };
        if group.len() < MAX_CANDIDATES {
            group.push(upstream);
        }
        if preferred.len() == MAX_CANDIDATES {
            break;
        }
    }
    let mut groups = [preferred, healthy, unhealthy].into_iter();
    groups.find(|group| !group.is_empty()).unwrap_or_default()
}

fn by_cost(a: &ScoredUpstream, b: &ScoredUpstream) -> cmp::Ordering {
    a.cost.partial_cmp(&b.cost).unwrap_or(cmp::Ordering::Equal)
}

/// Returns the first of the two most preferred upstreams that has no queue.
///
/// Used to avoid a refusal. Allowing any idle upstream gave far worse results (docs/DECISIONS.md,
/// "How long a request may wait"), since requests for uncached objects take capacity from the objects
/// that are cached there.
fn idle_preferred<'u>(
    mut scored: impl Iterator<Item = &'u ScoredUpstream>,
) -> Option<&'u ScoredUpstream> {
    scored.by_ref().take(2).find(|upstream| upstream.wait.0 <= 0.0)
}
