//! Retry budget: this node's share of the retries that the fleet may send to a service.
//!
//! Counts the attempts at one service over a sliding window. `Bounds` defines the ratio, the window
//! and the slack, which the dispatcher divides by the number of nodes in the fleet. [`retry`] takes
//! from the budget for every repeated send of a request that an upstream may have received.
//!
//! A restarted node does not know which retries its former process sent. Its share of the slack
//! therefore grows from one retry, so that the fleet stays within the slack while its nodes are
//! restarted.
//!
//! [`retry`]: crate::dispatch::retry

use std::collections;
use std::time::{Duration, Instant};

/// Share of the allowance that is used.
///
/// The limit applies to arriving requests, so the margin allows for the delay between sending and
/// arrival.
const USED_SHARE: f64 = 0.75;

/// Number of windows in which the slack of a new budget grows to its full value.
///
/// The former and the new process together must not use more than the full slack in one window.
const SLACK_GROWTH_WINDOWS: u32 = 4;

/// Slack of a new budget: one retry, so that the first request whose response is lost can be
/// retried.
const INITIAL_SLACK: f64 = 1.0 / USED_SHARE;

/// Buckets in a window; a request leaves the window late by at most one bucket, a twentieth of it.
const BUCKETS: u32 = 20;

/// First attempts and retries at one service, over a sliding window.
#[derive(Clone, Debug, Default)]
pub struct Budget {
    buckets: collections::VecDeque<Bucket>,
    created: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    start: Instant,
    first_attempts: u32,
    retries: u32,
}

/// Parameters of a budget.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// Length of the sliding window in which attempts are counted.
    pub window: Duration,
    /// Retries allowed per first attempt.
    pub ratio: f64,
    /// Additional retries allowed for this node in one window.
    pub slack: f64,
}

impl Budget {
    /// Records a first attempt.
    pub fn record_first_attempt(&mut self, allowance: Allowance, now: Instant) {
        self.created.get_or_insert(now);
        self.current_bucket(allowance, now).first_attempts += 1;
    }

    /// Takes one retry; returns `false` if none is left.
    pub fn take_retry(&mut self, allowance: Allowance, now: Instant) -> bool {
        let first_attempts: u32 =
            self.recent_buckets(allowance, now).map(|b| b.first_attempts).sum();
        let retries: u32 = self.recent_buckets(allowance, now).map(|b| b.retries).sum();
        let allowed = f64::from(first_attempts) * allowance.ratio + self.slack(allowance, now);
        let is_allowed = f64::from(retries) + 1.0 <= allowed * USED_SHARE;
        if is_allowed {
            self.current_bucket(allowance, now).retries += 1;
        }
        is_allowed
    }

    /// Returns how much of the slack a budget of this age may use.
    fn slack(&mut self, allowance: Allowance, now: Instant) -> f64 {
        let age = now.saturating_duration_since(*self.created.get_or_insert(now));
        let growth = age.as_secs_f64() / (allowance.window * SLACK_GROWTH_WINDOWS).as_secs_f64();
        allowance.slack.min(INITIAL_SLACK + allowance.slack * growth)
    }

    fn recent_buckets(&self, allowance: Allowance, now: Instant) -> impl Iterator<Item = &Bucket> {
        let is_recent =
            move |b: &&Bucket| now.saturating_duration_since(b.start) <= allowance.window;
        self.buckets.iter().filter(is_recent)
    }

    fn current_bucket(&mut self, allowance: Allowance, now: Instant) -> &mut Bucket {
        let length = allowance.window / BUCKETS;
        let is_old = |b: &Bucket| now.saturating_duration_since(b.start) > allowance.window;
        while self.buckets.front().is_some_and(is_old) {
            self.buckets.pop_front();
        }
        let is_current = |b: &Bucket| now.saturating_duration_since(b.start) < length;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket { start: now, first_attempts: 0, retries: 0 });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
