//! Selection: which of a region's eligible upstreams takes a request.
//!
//! Owns nothing. The cost of an upstream is the time until the request would be done there, multiplied by
//! its [`affinity`] rank and by its recent failures; the cheapest one wins. Relies on [`eligibility`] to
//! have filtered the upstreams, and on [`admission`] for the longest wait.
//!
//! [`eligibility`]: crate::dispatch::eligibility

use std::cmp;
use std::sync;
use std::time::Instant;

use crate::dispatch::admission;
use crate::dispatch::affinity;
use crate::dispatch::candidate;
use crate::dispatch::expected_work;
use crate::dispatch::request;
use crate::dispatch::seconds;
use crate::dispatch::upstream;

/// Added cost of an upstream all of whose tries fail, as a multiple of a healthy one's cost.
///
/// Not measured; above the costs of affinity, so that an object leaves an upstream that keeps failing.
const FAILURE_COST: f64 = 6.0;

/// Returns the best of a region's `eligible` upstreams; none when there is none.
#[must_use]
pub fn best<'a>(
    eligible: impl Iterator<Item = &'a upstream::Upstream>,
    request: &request::Request<'_>,
    work: expected_work::Work,
    now: Instant,
) -> Option<candidate::Candidate> {
    let ranked = without_suspects(ranked(eligible, request.key), work.mean(), now);
    let cheapest = cheapest(&ranked, request, work.mean(), now)?;
    let max_wait = admission::max_wait(work.mean(), request);
    let chosen = match cheapest.wait(work.mean(), now) > max_wait {
        true => idle_second(&ranked, work.mean(), now).unwrap_or(cheapest),
        false => cheapest,
    };
    let wait = chosen.wait(work.mean(), now);
    Some(candidate::Candidate {
        entry: sync::Arc::clone(&chosen.entry),
        wait,
        work: work.mean(),
        expected: seconds::Seconds(wait.0 + work.cautious().0),
        load_age: chosen.load.age(now),
    })
}

/// Returns upstreams in the order in which the object prefers them.
fn ranked<'a>(
    eligible: impl Iterator<Item = &'a upstream::Upstream>,
    key: u64,
) -> Vec<&'a upstream::Upstream> {
    let mut ranked: Vec<(u64, &upstream::Upstream)> =
        eligible.map(|u| (affinity::rank(key, &u.entry.id), u)).collect();
    ranked.sort_by_key(|(rank, _)| cmp::Reverse(*rank));
    ranked.into_iter().map(|(_, upstream)| upstream).collect()
}

/// Drops ejected and silent upstreams, unless all are.
fn without_suspects(
    mut ranked: Vec<&upstream::Upstream>,
    work: seconds::Seconds,
    now: Instant,
) -> Vec<&upstream::Upstream> {
    let is_healthy = |u: &&upstream::Upstream| u.health.is_healthy(work, now);
    if ranked.iter().any(is_healthy) {
        ranked.retain(is_healthy);
    }
    ranked
}

fn cheapest<'a>(
    ranked: &[&'a upstream::Upstream],
    request: &request::Request<'_>,
    work: seconds::Seconds,
    now: Instant,
) -> Option<&'a upstream::Upstream> {
    let mut best: Option<(&upstream::Upstream, f64)> = None;
    for (rank, upstream) in ranked.iter().enumerate() {
        let cost = upstream.expected(work, now).0
            * affinity::cost(request.route.is_sticky, rank)
            * (1.0 + upstream.health.failure_rate(now) * FAILURE_COST);
        if best.is_none_or(|(_, least)| cost < least) {
            best = Some((upstream, cost));
        }
    }
    best.map(|(upstream, _)| upstream)
}

/// Returns the first of the object's two preferred upstreams that has no queue.
///
/// Used in place of a refusal. Any other idle upstream was far worse (docs/DECISIONS.md, "How long a
/// request may wait"), since cold runs take capacity from the objects that are warm there.
fn idle_second<'a>(
    ranked: &[&'a upstream::Upstream],
    work: seconds::Seconds,
    now: Instant,
) -> Option<&'a upstream::Upstream> {
    ranked.iter().take(2).find(|u| u.wait(work, now).0 <= 0.0).copied()
}
