//! Retries: whether a request that failed may be sent again.

use model::service;
use model::verdict;

use crate::budget;

/// Most times one request is sent to a home.
pub const MOST_TRIES: u32 = 3;

/// Decides on one more try of a request that was tried `tries` times.
///
/// A request that only met the wrong node costs no upstream anything and is free; one that an
/// upstream was asked for costs budget.
pub fn may_retry(
    failure: verdict::Failure,
    repetition: service::Repetition,
    tries: u32,
    budget: &mut budget::Budget,
) -> bool {
    use verdict::{Reason, Verdict};
    if tries >= MOST_TRIES {
        return false;
    }
    match (failure.verdict, failure.reason) {
        (Verdict::NotRun, Reason::NotHome | Reason::NotReady) => true,
        (Verdict::NotRun, Reason::Shed | Reason::Unreachable) => budget.spend(),
        (Verdict::MayHaveRun, Reason::Broken) if repetition == service::Repetition::Free => {
            budget.spend()
        }
        _ => false,
    }
}
