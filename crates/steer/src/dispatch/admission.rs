//! Admission control: whether a request may queue at the best upstream or is refused immediately.
//!
//! Stateless; uses the time estimates in [`candidate::Candidate`]. A queue long enough to make every
//! response late helps no request, whereas a caller that is refused immediately can retry where the
//! queue is shorter.

use std::time::Duration;

use crate::dispatch::candidate;
use crate::dispatch::priority;
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::seconds;

/// Maximum queueing time as a fraction of the route's target latency, for responses that only
/// queueing would make late.
///
/// The reasons are in docs/DECISIONS.md, "How long a request may wait".
const MAX_WAIT_FRACTION: f64 = 0.6;

/// Like [`MAX_WAIT_FRACTION`], for the most urgent requests of a service.
///
/// A late response is better than none, and less urgent requests leave capacity free. With the lower
/// limit, urgent requests are refused when part of the service's capacity is missing.
const MAX_URGENT_WAIT_FRACTION: f64 = 1.2;

/// Longest `Retry-After` for an overloaded service, so that a wrong estimate does not keep callers
/// away for longer.
pub const MAX_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Shortest `Retry-After` for an overloaded service, so that refused callers do not retry
/// immediately.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Time for which promised room is kept free: a request that comes first waits as if the requests that
/// are promised room within this time were ahead of it. Well below the maximum wait of most routes, so
/// that promises never refuse all newcomers.
const RESERVED_TIME: Duration = Duration::from_millis(100);

/// Refuses a request whose response from `chosen` would be too late, after the time `reserved` for
/// returns.
///
/// A request that would not queue is always admitted, because its response corrects an estimate that
/// may be too high.
///
/// # Errors
///
/// Returns a refusal with the retry delay and the estimate it is based on.
pub fn check(
    chosen: &candidate::Candidate,
    request: &request::Request<'_>,
    reserved: seconds::Seconds,
) -> Result<(), refusal::Refusal> {
    let lateness = lateness(chosen, request) + reserved.0;
    let is_late = chosen.wait.0 > 0.0 && lateness > 0.0;
    if !is_late {
        return Ok(());
    }
    let retry_after = retry_after(lateness);
    Err(refusal::Refusal::Overloaded { retry_after, estimate: estimate(chosen, request) })
}

/// Refuses a request that needs a slot if it could not be answered before its deadline even without
/// queueing; the owner of the slots decides on the wait.
///
/// # Errors
///
/// Returns a refusal with the retry delay and the estimate it is based on.
pub fn check_work(
    chosen: &candidate::Candidate,
    request: &request::Request<'_>,
) -> Result<(), refusal::Refusal> {
    let work = chosen.cautious_latency.0 - chosen.wait.0;
    let lateness = work - request.time_left.as_secs_f64();
    if chosen.wait.0 <= 0.0 || lateness <= 0.0 {
        return Ok(());
    }
    let retry_after = retry_after(lateness);
    Err(refusal::Refusal::Overloaded { retry_after, estimate: estimate(chosen, request) })
}

/// Returns the time after which a caller may retry whose request would have been `lateness` seconds
/// late.
#[must_use]
pub fn retry_after(lateness: f64) -> Duration {
    let lateness = lateness.min(MAX_RETRY_AFTER.as_secs_f64());
    MIN_RETRY_AFTER.max(Duration::from_secs_f64(lateness.max(0.0)))
}

/// Returns how long a request may wait for a slot, given the mean processing time `work`;
/// `is_refused` is true while requests of its urgency are being refused.
///
/// As [`max_wait`], without the bound for less urgent requests: the queue at the owner serves urgent
/// requests first. The most urgent ones wait no longer than others while some of them are refused: they
/// then exceed the capacity by themselves, and longer waits make most of them late and serve no more.
#[must_use]
pub fn max_slot_wait(
    work: seconds::Seconds,
    rank: priority::Rank,
    is_refused: bool,
    request: &request::Request<'_>,
) -> seconds::Seconds {
    let rank = match rank {
        priority::Rank::MostUrgent if !is_refused => rank,
        _ => priority::Rank::Uncontested,
    };
    max_wait(work, rank, request)
}

/// Returns the wait that is reserved for returns, if `reserved` requests per second are promised room
/// and `admitted` are admitted.
#[must_use]
pub fn reserved_wait(reserved: f64, admitted: f64) -> seconds::Seconds {
    match admitted > 0.0 {
        true => seconds::Seconds(RESERVED_TIME.as_secs_f64() * (reserved / admitted).min(1.0)),
        false => seconds::Seconds(0.0),
    }
}

/// Returns how long a request may queue at an upstream, given the mean processing time `work`.
///
/// Unbounded if processing alone exceeds the target latency, since a refusal would not help.
/// A less urgent request is always bounded so that it leaves capacity for more urgent ones.
#[must_use]
pub fn max_wait(
    work: seconds::Seconds,
    rank: priority::Rank,
    request: &request::Request<'_>,
) -> seconds::Seconds {
    let target = request.route.target_latency.as_secs_f64();
    let fraction = match rank {
        priority::Rank::MostUrgent => MAX_URGENT_WAIT_FRACTION,
        priority::Rank::Uncontested | priority::Rank::LessUrgent { .. } => MAX_WAIT_FRACTION,
    };
    let limit = match work.0 <= target {
        true => target * fraction,
        false => f64::INFINITY,
    };
    match rank {
        priority::Rank::LessUrgent { max_wait } => seconds::Seconds(limit.min(max_wait.0)),
        priority::Rank::Uncontested | priority::Rank::MostUrgent => seconds::Seconds(limit),
    }
}

/// Returns by how many seconds a request would be late; negative if it would be in time.
///
/// The response must arrive before the deadline, and the wait must not exceed the candidate's
/// maximum.
fn lateness(chosen: &candidate::Candidate, request: &request::Request<'_>) -> f64 {
    let past_deadline = chosen.cautious_latency.0 - request.time_left.as_secs_f64();
    past_deadline.max(chosen.wait.0 - chosen.max_wait.0)
}

fn estimate(chosen: &candidate::Candidate, request: &request::Request<'_>) -> refusal::Estimate {
    refusal::Estimate {
        upstream: chosen.entry.id.clone(),
        wait: Duration::from_secs_f64(chosen.wait.0),
        expected: Duration::from_secs_f64(chosen.cautious_latency.0),
        time_left: request.time_left,
        load_age: chosen.load_age,
    }
}
