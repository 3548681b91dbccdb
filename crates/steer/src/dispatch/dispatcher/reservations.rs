//! Room that is reserved for callers whom admission control refused.

use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::admission;
use crate::dispatch::candidate;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::quota::rate;
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::reservation;
use crate::dispatch::seconds;

/// Time constant of the rates of requests.
const TIME_CONSTANT: Duration = Duration::from_secs(1);

/// Requests of a service per second at this node.
#[derive(Clone, Copy, Debug)]
pub struct Admissions {
    asked: rate::Rate,
    admitted: rate::Rate,
}

impl Dispatcher {
    /// Sets whether callers that admission control refuses are promised room, at times in multiples
    /// of `resolution`; `None` if they are not.
    pub fn set_reservations(&mut self, resolution: Option<Duration>) {
        self.reservations = resolution.map(reservation::Schedule::new);
    }

    /// Returns whether callers that admission control refuses are promised room.
    #[must_use]
    pub fn has_reservations(&self) -> bool {
        self.reservations.is_some()
    }

    /// Returns the counts of promises since the last call.
    pub fn take_reservation_counts(&mut self) -> reservation::Counts {
        self.reservations.as_mut().map(reservation::Schedule::take_counts).unwrap_or_default()
    }

    /// Returns whether a request for `service` is a return, and whether it comes as told.
    #[must_use]
    pub fn returned(
        &self,
        service: &id::Service,
        caller: &reservation::Caller,
        now: Instant,
    ) -> reservation::Return {
        let schedule = self.reservations.as_ref();
        schedule.map_or_else(|| caller.returned(), |s| s.returned(service, caller, now))
    }

    /// Refuses a request that would be too late, or that would take room promised to others.
    pub(super) fn check_admission(
        &self,
        chosen: &candidate::Candidate,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<(), refusal::Refusal> {
        admission::check(chosen, request, self.reserved_wait(request, now))
    }

    /// Returns the wait that is reserved for others.
    fn reserved_wait(&self, request: &request::Request<'_>, now: Instant) -> seconds::Seconds {
        let none = seconds::Seconds(0.0);
        let (Some(schedule), Some(caller)) = (&self.reservations, &request.caller) else {
            return none;
        };
        if !request.is_first_try() || schedule.is_redeemable(request.service, caller, now) {
            return none;
        }
        let admitted = self.admissions.get(request.service).map_or(0.0, |a| a.admitted.get(now));
        admission::reserved_wait(schedule.reserved(request.service, now), admitted)
    }

    /// Redeems the promise of an admitted request, or promises room to the caller of a refused one.
    pub(super) fn settle_reservation(
        &mut self,
        chosen: Result<candidate::Candidate, refusal::Refusal>,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<candidate::Candidate, refusal::Refusal> {
        let (Some(schedule), Some(caller)) = (&mut self.reservations, &request.caller) else {
            return chosen;
        };
        let new = || {
            let rate = rate::Rate::new(TIME_CONSTANT, now);
            Admissions { asked: rate, admitted: rate }
        };
        let admissions = self.admissions.entry(request.service.clone()).or_insert_with(new);
        admissions.asked.add(1.0, now);
        match chosen {
            Ok(chosen) => {
                admissions.admitted.add(1.0, now);
                schedule.redeem(request.service, caller, now);
                Ok(chosen)
            }
            Err(refusal::Refusal::Overloaded { retry_after, estimate }) => {
                // Processing takes what the response is expected to take without the queue.
                let work = estimate.expected.saturating_sub(estimate.wait);
                let has_time = caller.max_wait() + work <= caller.time_left;
                let admitted = admissions.admitted.get(now);
                let room = (admitted, (admitted / admissions.asked.get(now)).min(1.0));
                let promise =
                    has_time.then(|| schedule.promise(request.service, caller, room, now));
                let retry_after = match promise {
                    Some(promise) if promise.is_kept => promise.retry_after,
                    Some(promise) => {
                        retry_after.max(promise.retry_after).min(admission::MAX_RETRY_AFTER)
                    }
                    None => retry_after.max(caller.max_wait()).min(admission::MAX_RETRY_AFTER),
                };
                Err(refusal::Refusal::Overloaded { retry_after, estimate })
            }
            Err(refusal) => Err(refusal),
        }
    }

    /// Removes promises that have lapsed.
    pub(super) fn tick_reservations(&mut self, now: Instant) {
        if let Some(schedule) = &mut self.reservations {
            schedule.tick(now);
        }
    }
}
