//! Retries: decides whether a failed request may be sent again.
//!
//! Retries of requests that reached an upstream are limited by a [`budget`], so that they cannot multiply
//! the load of a failing fleet.

use model::service;
use model::verdict;

use crate::ownership::budget;

/// Maximum tries of a request, not counting owners that had no free slot.
pub const MOST_TRIES: u32 = 3;

/// Returns whether a request that was tried `tries` times may be tried again.
///
/// A retry takes a token of the budget if an upstream was tried, and none if the request only reached a
/// node that could not run it.
pub fn may_retry(
    failure: verdict::Failure,
    repetition: service::RetryPolicy,
    tries: u32,
    budget: &mut budget::Budget,
) -> bool {
    use verdict::{Reason, Verdict};
    match (failure.verdict, failure.reason) {
        // The router tries further owners; at the last one the request may wait.
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
