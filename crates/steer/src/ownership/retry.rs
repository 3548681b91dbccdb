//! Retries: whether a request that failed may be sent again.
//!
//! Owns the rule and the greatest number of tries. Relies on [`budget`] for second tries that reach an
//! upstream, so that retries cannot multiply the load of a fleet that is failing.

use model::service;
use model::verdict;

use crate::ownership::budget;

/// Most times one request is sent to an owner, beside owners that had no slot free at once. Not
/// measured.
pub const MOST_TRIES: u32 = 3;

/// Decides on one more try of a request that was tried `tries` times.
///
/// A request that only met the wrong node costs no upstream anything and is free; one that an
/// upstream was asked for costs budget.
pub fn may_retry(
    failure: verdict::Failure,
    repetition: service::RetryPolicy,
    tries: u32,
    budget: &mut budget::Budget,
) -> bool {
    use verdict::{Reason, Verdict};
    match (failure.verdict, failure.reason) {
        // Another owner is asked, and the last one lets it wait.
        (Verdict::NotRun, Reason::Busy) => true,
        _ if tries >= MOST_TRIES => false,
        (Verdict::NotRun, Reason::NotHome | Reason::NotReady) => true,
        (Verdict::NotRun, Reason::Shed | Reason::Unreachable) => budget.spend(),
        (Verdict::MayHaveRun, Reason::Broken) if repetition == service::RetryPolicy::Idempotent => {
            budget.spend()
        }
        _ => false,
    }
}
