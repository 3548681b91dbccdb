//! Evidence: whether a request causes upstreams to crash or was merely in flight when they did.
//!
//! Evaluates the [`record`] of crashes with the help of [`significance`]. A crash interrupts all
//! requests that the upstream was running, and a harmless request must never be held back, so all
//! of these conditions must hold:
//!
//! 1. There were several consecutive crashes: the request was sent to each upstream after the
//!    previous one had ended. A power failure of a hall ends many upstreams at once and counts as
//!    one crash.
//! 2. At none of these crashes was another request in flight that was in flight at nearly as many
//!    crashes. A request that is sent to the same upstreams as one that crashes them is in flight
//!    at some of the crashes of that request, never at more.
//! 3. The number of crashes is statistically significant, given the time that the request spent at
//!    upstreams and the number of upstreams that ended without it in that time.
//!
//! [`record`]: crate::dispatch::quarantine::record
//! [`significance`]: crate::dispatch::quarantine::significance

use std::time::{Duration, Instant};

use model::fingerprint::{Fingerprint, Scope};

use crate::dispatch::quarantine::record::{Occurrence, Record};
use crate::dispatch::quarantine::sighting::{Crash, Start};
use crate::dispatch::quarantine::significance;

/// Minimum number of consecutive crashes.
const MIN_CRASHES: u32 = 3;

/// Number of crashes by which a request must exceed every other request in flight.
const MIN_LEAD: usize = 2;

/// Probability of a coincidence below which the crashes are attributed to the request.
const SIGNIFICANCE_LEVEL: f64 = 1e-4;

/// Returns the crashes caused by requests of `scope`, or `None` if the evidence is insufficient.
///
/// Crashes after `reported_until` are ignored, because other nodes may not have reported yet which
/// requests were in flight. `is_held` returns whether a request is known to crash upstreams;
/// crashes at which such a request was in flight are attributed to it.
#[must_use]
pub fn crashes_caused_by(
    scope: &Scope,
    record: &Record,
    reported_until: Instant,
    is_held: impl Fn(&Fingerprint) -> bool,
) -> Option<Vec<Start>> {
    // Most requests in flight at a crash were at a single one, and the code below scans all other
    // requests for each crash.
    if record.crash_count(scope) < MIN_CRASHES as usize {
        return None;
    }
    let has_other_cause = |start: Start| {
        let mut others = record.in_flight(start).filter(|other| !covers(scope, other));
        others.any(|other| is_held(&other) || is_alternative_cause(scope, &other, record))
    };
    let reported = record.occurrences(scope).filter(|seen| seen.crash.at <= reported_until);
    let consecutive = consecutive(reported.filter(|seen| !has_other_cause(seen.crash.start)));
    let observed = u32::try_from(consecutive.len()).unwrap_or(u32::MAX);
    if observed < MIN_CRASHES {
        return None;
    }
    let first = consecutive.first()?.sent;
    let last = consecutive.last()?.crash;
    let is_unrelated = |crash: &&Crash| {
        let is_between = crash.at >= first && crash.at <= last.at;
        let mut requests = record.in_flight(crash.start);
        let is_unexplained = !requests.any(|other| covers(scope, &other) || is_held(&other));
        crash.service == last.service && is_between && is_unexplained
    };
    let unrelated =
        u32::try_from(record.crashes().filter(is_unrelated).count()).unwrap_or(u32::MAX);
    let expected = expected_crashes(record.occurrences(scope), unrelated, first, last);
    let is_significant = significance::p_value(observed, expected) < SIGNIFICANCE_LEVEL;
    is_significant.then(|| consecutive.iter().map(|seen| seen.crash.start).collect())
}

/// Returns whether `request` belongs to `scope`.
#[must_use]
pub fn covers(scope: &Scope, request: &Fingerprint) -> bool {
    let is_caller = scope.caller.is_none_or(|caller| caller == request.caller);
    is_caller && scope.content == request.content
}

/// Returns whether the request `other` was in flight at nearly as many crashes as the requests of
/// `scope`, counted for its caller alone or for all requests with its content.
fn is_alternative_cause(scope: &Scope, other: &Fingerprint, record: &Record) -> bool {
    let of_caller = record.crash_count(&Scope::from(*other));
    let of_content = match other.content == scope.content {
        true => 0,
        false => record.crash_count(&Scope { content: other.content, caller: None }),
    };
    of_caller.max(of_content) + MIN_LEAD > record.crash_count(scope)
}

/// Returns a subsequence of crashes in which the request was sent after the previous crash each
/// time.
fn consecutive<'a>(occurrences: impl Iterator<Item = &'a Occurrence>) -> Vec<Occurrence> {
    let mut chosen: Vec<Occurrence> = Vec::new();
    for seen in occurrences {
        if chosen.last().is_none_or(|before| seen.sent >= before.crash.at) {
            chosen.push(*seen);
        }
    }
    chosen
}

/// Returns the number of crashes that a request is expected to be in flight at by chance, given the
/// time it spent at upstreams and the number of `unrelated` crashes.
fn expected_crashes<'a>(
    occurrences: impl Iterator<Item = &'a Occurrence>,
    unrelated: u32,
    first: Instant,
    last: Crash,
) -> f64 {
    let in_flight = |seen: &Occurrence| seen.crash.at.saturating_duration_since(seen.sent);
    let total_in_flight: Duration = occurrences.map(in_flight).sum();
    let span = last.at.saturating_duration_since(first);
    // Adds one, because a period without unrelated crashes does not prove that there are none.
    let crashes_per_upstream = f64::from(unrelated + 1) / f64::from(last.upstreams.max(1));
    total_in_flight.as_secs_f64() / span.as_secs_f64().max(f64::EPSILON) * crashes_per_upstream
}
