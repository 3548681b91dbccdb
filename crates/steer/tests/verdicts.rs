//! Verdicts and retries: the verdict that a caller gets covers every try.

use model::service::RetryPolicy;
use model::verdict::{Failure, Reason, Verdict};
use steer::ownership::budget::Budget;
use steer::ownership::retry;

#[test]
fn a_refusal_keeps_the_verdict_of_an_earlier_try_that_may_have_run() {
    let refused = Failure::not_run(Reason::Full);
    assert_eq!(refused.with_earlier_verdict(Verdict::MayHaveRun).verdict, Verdict::MayHaveRun);
    assert_eq!(refused.with_earlier_verdict(Verdict::NotRun).verdict, Verdict::NotRun);
}

#[test]
fn only_requests_proved_not_run_or_declared_idempotent_are_retried() {
    let may = |failure, repetition| retry::may_retry(failure, repetition, 1, &mut Budget::new());
    let broken = Failure::may_have_run(Reason::Broken);
    assert!(may(broken, RetryPolicy::Idempotent));
    assert!(!may(broken, RetryPolicy::NonIdempotent));
    assert!(!may(broken, RetryPolicy::Ticketed));
    let shed = Failure::not_run(Reason::Shed);
    assert!(may(shed, RetryPolicy::Ticketed));
    assert!(!may(Failure::not_run(Reason::Full), RetryPolicy::Idempotent));
    assert!(!may(Failure::may_have_run(Reason::Deadline), RetryPolicy::Idempotent));
}

/// Guards against a retry storm: while every upstream fails, retries stay within a tenth of the requests,
/// plus the ten that the budget can save up.
#[test]
fn retries_stay_within_the_budget() {
    let mut budget = Budget::new();
    let requests = 10_000_u32;
    let mut retries = 0_u32;
    for _ in 0..requests {
        budget.earn();
        let failure = Failure::not_run(Reason::Unreachable);
        let mut tries = 1;
        while retry::may_retry(failure, RetryPolicy::Idempotent, tries, &mut budget) {
            tries += 1;
            retries += 1;
        }
    }
    assert!(retries <= requests / 10 + 10, "{retries} retries of {requests}");
}
