//! Verdicts and retries: what a caller is told covers every try.

use model::service::RetryPolicy;
use model::verdict::{Failure, Reason, Verdict};
use steer::ownership::budget::Budget;
use steer::ownership::retry;

#[test]
fn a_refusal_after_a_try_that_may_have_run_is_not_called_not_run() {
    let refused = Failure::not_run(Reason::Full);
    assert_eq!(refused.with_earlier_verdict(Verdict::MayHaveRun).verdict, Verdict::MayHaveRun);
    assert_eq!(refused.with_earlier_verdict(Verdict::NotRun).verdict, Verdict::NotRun);
}

#[test]
fn only_what_is_proved_or_declared_is_sent_again() {
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

/// With every upstream failing, second tries stay within a tenth of first tries and a few more.
#[test]
fn no_storm_of_retries() {
    let mut budget = Budget::new();
    let first = 10_000_u32;
    let mut second = 0_u32;
    for _ in 0..first {
        budget.earn();
        let failure = Failure::not_run(Reason::Unreachable);
        let mut tries = 1;
        while retry::may_retry(failure, RetryPolicy::Idempotent, tries, &mut budget) {
            tries += 1;
            second += 1;
        }
    }
    assert!(second <= first / 10 + 10, "{second} second tries of {first}");
}
