//! Slow start: limits the request rate to an upstream that is cold, or that may be cold.
//!
//! Each upstream of a service with a `cold_rate` has a token bucket. While the upstream is cold, for
//! the remaining cold time that service discovery lists, only the node that [`slow_start_owner`]
//! determines may send to it. While the node cannot believe its copy of the store, it does not know
//! which upstreams are cold, and an upstream gets only this node's [`slow_start_share`] unless it says
//! itself that it is warm ([`warmth`]).
//!
//! [`slow_start_owner`]: crate::dispatch::slow_start_owner
//! [`slow_start_share`]: crate::dispatch::slow_start_share
//! [`warmth`]: crate::dispatch::warmth

use std::time::{Duration, Instant};

use model::bounds;
use model::id;
use model::routing;

use crate::dispatch::fleet::freshness;
use crate::dispatch::slow_start_share;
use crate::dispatch::upstream;
use crate::dispatch::warmth;

/// Share of the service's cold rate that is used.
///
/// The margin covers short periods in which two nodes both consider themselves the owner.
const USED_SHARE: f64 = 0.75;

/// Capacity of the token bucket, in requests.
pub const BURST_REQUESTS: f64 = 2.0;

/// Time for which an upstream is treated as cold beyond its listed cold time.
///
/// Covers the delay until the discovery entry reaches this node.
const COLD_TIME_MARGIN: Duration = Duration::from_millis(300);

/// What a token bucket lets through.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Allowance {
    /// Tokens per second.
    pub rate: f64,
    /// Capacity of the bucket.
    pub burst: f64,
}

impl Allowance {
    /// Returns what the owner of a cold upstream sends at its service's `cold_rate`, in requests per
    /// second.
    #[must_use]
    pub fn of_owner(cold_rate: f64) -> Self {
        Self { rate: cold_rate * USED_SHARE, burst: BURST_REQUESTS }
    }

    /// Returns the most requests that this lets through within one second.
    #[must_use]
    pub fn per_second(self) -> f64 {
        self.rate + self.burst
    }
}

/// What a node may send to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Any number of requests.
    None,
    /// Requests at a limited rate.
    Rate(Allowance),
    /// Nothing: other nodes send to the upstream.
    Excluded,
}

/// Inputs that decide the limits of all upstreams.
#[derive(Clone, Copy, Debug)]
pub struct Rules<'a> {
    /// Current configuration.
    pub routing: &'a routing::Routing,
    /// Limits of the deployment.
    pub bounds: &'a bounds::Bounds,
    /// What the node believes of its copy of the store.
    pub belief: freshness::Belief,
}

impl Rules<'_> {
    /// Returns what this node may send to an upstream.
    #[must_use]
    pub fn limit(&self, upstream: &upstream::Upstream, now: Instant) -> Limit {
        let Some(cold_rate) = rate(self.routing, &upstream.entry.service) else {
            return Limit::None;
        };
        match self.belief {
            freshness::Belief::Current if !upstream.slow_start.is_cold(now) => Limit::None,
            freshness::Belief::Current if upstream.is_slow_start_owner => {
                Limit::Rate(Allowance::of_owner(cold_rate))
            }
            freshness::Belief::Current => Limit::Excluded,
            freshness::Belief::Unconfirmed | freshness::Belief::CutOff => {
                self.limit_if_doubted(upstream, cold_rate, now)
            }
        }
    }

    /// Returns what this node may send to an upstream that it cannot know to be warm.
    ///
    /// An upstream that was not asked recently has no limit, because it is asked before a request is sent there.
    fn limit_if_doubted(
        &self,
        upstream: &upstream::Upstream,
        cold_rate: f64,
        now: Instant,
    ) -> Limit {
        let service = self.routing.services.get(&upstream.entry.service);
        let can_be_asked = service.is_some_and(|rules| rules.health_check_path.is_some());
        match upstream.warmth.standing(now) {
            warmth::Standing::Checked(warmth::Verdict::Warm) => Limit::None,
            warmth::Standing::InProgress | warmth::Standing::Unknown if can_be_asked => Limit::None,
            _ => {
                let room = slow_start_share::room(cold_rate, self.bounds);
                upstream.slow_start_share.allowance(room).map_or(Limit::Excluded, Limit::Rate)
            }
        }
    }

    /// Returns whether this node may send one more request to an upstream now.
    #[must_use]
    pub fn allows(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        match self.limit(upstream, now) {
            Limit::None => true,
            Limit::Rate(allowance) => upstream.slow_start.has_room(allowance, now),
            Limit::Excluded => false,
        }
    }
}

/// Returns the maximum requests per second of a cold upstream of `service`, or `None` if unlimited.
#[must_use]
pub fn rate(routing: &routing::Routing, service: &id::Service) -> Option<f64> {
    routing.services.get(service).and_then(|rules| rules.cold_rate)
}

/// Rate limiter for a cold upstream.
#[derive(Clone, Copy, Debug)]
pub struct Limiter {
    until: Option<Instant>,
    tokens: f64,
    updated: Instant,
}

impl Limiter {
    /// Creates the limiter of a warm upstream, with a full bucket.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { until: None, tokens: BURST_REQUESTS, updated: now }
    }

    /// Marks the upstream as cold for at least `time` from `now`; zero changes nothing.
    pub fn set_cold(&mut self, time: Duration, now: Instant) {
        if time.is_zero() {
            return;
        }
        let until = now + time + COLD_TIME_MARGIN;
        self.until = Some(self.until.map_or(until, |previous| previous.max(until)));
    }

    /// Returns whether the upstream is cold.
    #[must_use]
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|until| now < until)
    }

    /// Returns whether the bucket holds a token.
    #[must_use]
    pub fn has_room(&self, allowance: Allowance, now: Instant) -> bool {
        self.available_tokens(allowance, now) >= 1.0
    }

    /// Takes one token.
    pub fn take(&mut self, allowance: Allowance, now: Instant) {
        self.tokens = (self.available_tokens(allowance, now) - 1.0).max(0.0);
        self.updated = now;
    }

    fn available_tokens(&self, allowance: Allowance, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        (self.tokens + age * allowance.rate).min(allowance.burst)
    }
}
