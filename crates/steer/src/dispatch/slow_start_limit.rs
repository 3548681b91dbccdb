//! Slow start limit: what this node may send to an upstream that is or may be cold.
//!
//! While an upstream is cold, for the remaining cold time that service discovery lists, only the node that
//! [`slow_start_owner`] determines may send to it. While the node's copy of the store may be outdated, the
//! node cannot tell which upstreams are cold, and an upstream gets only this node's [`slow_start_share`]
//! unless its health check reports that it is warm ([`cold_check`]).
//!
//! [`slow_start_owner`]: crate::dispatch::slow_start_owner

use std::time::Instant;

use model::bounds;
use model::routing;

use crate::dispatch::cold_check;
use crate::dispatch::fleet::freshness;
use crate::dispatch::slow_start;
use crate::dispatch::slow_start_share;
use crate::dispatch::upstream;

/// What a node may send to an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Limit {
    /// Any number of requests.
    None,
    /// Requests at a limited rate.
    Rate(slow_start::Allowance),
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
    /// Whether the node's copy of the store is up to date.
    pub copy_status: freshness::Status,
}

impl Rules<'_> {
    /// Returns what this node may send to an upstream.
    #[must_use]
    pub fn limit(&self, upstream: &upstream::Upstream, now: Instant) -> Limit {
        let Some(cold_rate) = slow_start::rate(self.routing, &upstream.entry.service) else {
            return Limit::None;
        };
        match self.copy_status {
            freshness::Status::Current if !upstream.slow_start.is_cold(now) => Limit::None,
            freshness::Status::Current if upstream.is_slow_start_owner => {
                Limit::Rate(slow_start::Allowance::of_owner(cold_rate))
            }
            freshness::Status::Current => Limit::Excluded,
            freshness::Status::Unconfirmed | freshness::Status::Isolated => {
                self.limit_if_unconfirmed(upstream, cold_rate, now)
            }
        }
    }

    /// Returns what this node may send to an upstream that it cannot know to be warm.
    ///
    /// An upstream without a recent check has no limit, because it is checked before a request is sent to it.
    fn limit_if_unconfirmed(
        &self,
        upstream: &upstream::Upstream,
        cold_rate: f64,
        now: Instant,
    ) -> Limit {
        let service = self.routing.services.get(&upstream.entry.service);
        let has_health_check = service.is_some_and(|rules| rules.health_check_path.is_some());
        match upstream.cold_checks.standing(now) {
            cold_check::Standing::Checked(cold_check::Verdict::Warm) => Limit::None,
            cold_check::Standing::InProgress | cold_check::Standing::Unknown
                if has_health_check =>
            {
                Limit::None
            }
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
