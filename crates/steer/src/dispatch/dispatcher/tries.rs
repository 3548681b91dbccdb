//! Attempts: state updates when a request is sent to an upstream and when it ends, and the retry
//! budget.

use std::time::{Duration, Instant};

use model::discovery;
use model::id;
use model::load;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::expected_processing_time;
use crate::dispatch::outcome;
use crate::dispatch::pace;
use crate::dispatch::region::distance;
use crate::dispatch::retry_budget;
use crate::dispatch::seconds;
use crate::dispatch::seen_objects;
use crate::dispatch::slow_start_limit;
use crate::dispatch::upstream;

impl Dispatcher {
    /// Takes one retry from the budget of `service`; returns false if none is left.
    pub fn may_retry(&mut self, service: &id::Service, now: Instant) -> bool {
        let allowance = self.allowance();
        self.budgets.entry(service.clone()).or_default().take_retry(allowance, now)
    }

    /// Records the start of an attempt; `is_first` is false for retries.
    ///
    /// Returns the upstream's crowding, to be passed in the attempt's outcome; 1 if the upstream is
    /// unknown.
    pub fn sent(&mut self, upstream: &id::Upstream, is_first: bool, now: Instant) -> f64 {
        let allowance = self.allowance();
        let Some(upstream) = self.upstreams.get_mut(upstream) else { return 1.0 };
        let crowding = upstream.crowding_when_sent(now);
        upstream.health.record_sent(upstream.load.in_flight(), now);
        upstream.load.record_sent(now);
        self.busy.insert(upstream.entry.id.clone());
        self.rollouts.record_sent(&upstream.entry, is_first);
        let service = &upstream.entry.service;
        let (routing, bounds, copy_status) = (&*self.routing, &self.bounds, self.copy_status);
        let rules = slow_start_limit::Rules { routing, bounds, copy_status };
        if let slow_start_limit::Limit::Rate(allowance) = rules.limit(upstream, now) {
            upstream.slow_start.take(allowance, now);
        }
        if is_first {
            self.budgets.entry(service.clone()).or_default().record_first_attempt(allowance, now);
        }
        crowding
    }

    /// Returns how long a request that is sent to an upstream now is estimated to queue there.
    #[must_use]
    pub fn expected_wait(&self, upstream: &discovery::Entry, now: Instant) -> Duration {
        let Some(known) = self.upstreams.get(&upstream.id) else { return Duration::ZERO };
        let mean = self.work.get(&upstream.service).copied().unwrap_or_default().mean();
        Duration::try_from_secs_f64(known.wait_when_sent(mean, now).0).unwrap_or_default()
    }

    /// Records the outcome of an attempt whose start was recorded by [`Dispatcher::sent`] `waited` ago.
    ///
    /// Ignored if the upstream has been removed or restarted since.
    pub fn ended(
        &mut self,
        upstream: &discovery::Entry,
        outcome: outcome::Outcome,
        waited: Duration,
        now: Instant,
    ) {
        let entry = upstream;
        let Some(known) = self.upstreams.get_mut(&entry.id) else { return };
        if known.entry.born != entry.born {
            return;
        }
        let upstream = known;
        if let outcome::Outcome::Answered { .. }
        | outcome::Outcome::Refused { .. }
        | outcome::Outcome::Curtailed { .. } = outcome
        {
            self.connectivity.record_response(upstream, now);
        }
        upstream.load.record_end();
        let in_flight = upstream.load.in_flight();
        if let outcome::Outcome::Answered { load: Some(load), .. }
        | outcome::Outcome::Refused { load: Some(load) }
        | outcome::Outcome::Curtailed { load: Some(load) } = outcome
        {
            self.paces.record(upstream.key, load.pace, now);
        }
        let work = self.work.entry(upstream.entry.service.clone()).or_default();
        let has_silent_timeout =
            outcome == outcome::Outcome::TimedOut && upstream.health.is_silent(work.mean(), now);
        match outcome {
            outcome::Outcome::Answered { latency, crowding, object, load } => {
                let time = seconds::Seconds(latency.as_secs_f64() / crowding.max(1.0));
                let time = pace::usual_time(time, load.and_then(|load| load.pace));
                let familiarity = object
                    .map_or(seen_objects::Familiarity::Preferred, |object| object.familiarity);
                upstream.health.record_answer(time, work.mean_for(familiarity), in_flight, now);
                // A version that is judged is compared with the others, so it does not set what is usual.
                if !self.rollouts.is_judged(&upstream.entry) {
                    let service = upstream.entry.service.clone();
                    let distance = self.distances.entry(service).or_default();
                    record_time(work, distance, &upstream.region, familiarity, time);
                }
                if let Some(object) = object {
                    upstream.objects.record(object.key);
                }
                apply_report(upstream, load, now);
            }
            outcome::Outcome::Refused { load } => {
                upstream.health.record_refusal(in_flight, now);
                apply_report(upstream, load, now);
                upstream.load.record_full(upstream.entry.slots, now);
            }
            // Shows that the upstream is alive, but neither that it fails nor that it is full.
            outcome::Outcome::Curtailed { load } => {
                upstream.health.record_refusal(in_flight, now);
                apply_report(upstream, load, now);
            }
            outcome::Outcome::Replaced => upstream.is_replaced = true,
            outcome::Outcome::NotSent => upstream.health.record_unreachable(now),
            // A resting upstream refused the request without proof that it was not executed.
            outcome::Outcome::Broken if upstream.is_resting(now) => {}
            outcome::Outcome::Broken => upstream.health.record_broken(now),
            outcome::Outcome::TimedOut => upstream.health.record_timeout(waited, work.mean(), now),
            outcome::Outcome::Abandoned => {}
        }
        upstream.health.record_end(in_flight);
        if has_silent_timeout {
            // The next tick starts the check, if one is due.
            self.record_connection_failure(entry, now);
        }
    }

    /// Records that an upstream sent more than the responses to its requests, which counts as a failure.
    pub fn record_surplus(&mut self, upstream: &discovery::Entry, now: Instant) {
        let Some(known) = self.upstreams.get_mut(&upstream.id) else { return };
        if known.entry.born == upstream.born {
            known.health.record_broken(now);
        }
    }

    fn allowance(&self) -> retry_budget::Allowance {
        #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
        let nodes = self.max_nodes as f64;
        retry_budget::Allowance {
            window: self.bounds.retry_window,
            ratio: self.bounds.retry_ratio,
            slack: self.bounds.retry_slack / nodes,
        }
    }
}

fn apply_report(upstream: &mut upstream::Upstream, report: Option<load::Report>, now: Instant) {
    if let Some(report) = report {
        upstream.load.record_report(report, now);
        upstream.pace.record(report.pace, now);
    }
}

/// Records the processing time of a request, without queueing, for the given `familiarity`.
fn record_time(
    work: &mut expected_processing_time::ProcessingTimes,
    distance: &mut distance::Distance,
    region: &id::Region,
    familiarity: seen_objects::Familiarity,
    time: seconds::Seconds,
) {
    work.record(time, familiarity);
    if familiarity <= seen_objects::Familiarity::Preferred {
        distance.record_response(region, time);
    }
}
