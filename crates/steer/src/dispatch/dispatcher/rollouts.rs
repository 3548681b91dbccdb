//! Roll-outs: passes what they depend on to the rules of [`rollout`].
//!
//! [`rollout`]: crate::dispatch::rollout

use std::time::{Duration, Instant};

use model::discovery;
use model::id;
use model::rollout as orders;

use crate::dispatch::connectivity::group;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::pace;
use crate::dispatch::request;
use crate::dispatch::rollout::{self, Rollouts, evidence, progress};
use crate::dispatch::seconds;
use crate::dispatch::seen_objects;

/// Result of an attempt that counts for the evaluation of a version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Answer {
    /// The upstream answered that it failed, or not at all.
    Failure,
    /// The upstream answered.
    Success {
        /// Time from sending the request to the response.
        latency: Duration,
        /// Estimated ratio of this time to the processing time without queueing.
        crowding: f64,
        /// How the upstream knew the request's object.
        familiarity: seen_objects::Familiarity,
        /// How long work took on the upstream's machine, in percent of the usual time, if it reports it.
        pace: Option<u32>,
    },
}

impl Dispatcher {
    /// Replaces the orders in force and the recorded stages; returns the services whose stage changed.
    pub fn set_rollouts(
        &mut self,
        orders: Vec<orders::Order>,
        records: &[orders::Record],
        now: Instant,
    ) -> Vec<id::Service> {
        self.rollouts.configure(orders, records, now)
    }

    /// Returns the roll-outs.
    #[must_use]
    pub fn rollouts(&self) -> &Rollouts {
        &self.rollouts
    }

    /// Returns the roll-outs for judging them and for reports of other nodes.
    pub fn rollouts_mut(&mut self) -> &mut Rollouts {
        &mut self.rollouts
    }

    /// Counts the end of an attempt on `route` for the roll-out of the upstream's service, if there is one.
    ///
    /// A cold upstream is slow whatever its version, so only its failures count.
    pub fn judge(
        &mut self,
        upstream: &discovery::Entry,
        route: &id::Route,
        answer: Answer,
        now: Instant,
    ) {
        if self.rollouts.get(&upstream.service).is_none() {
            return;
        }
        // A failure at a node that is cut off says nothing of the version.
        if answer == Answer::Failure && self.access(upstream, now) != group::Access::Full {
            return;
        }
        let Some(known) = self.upstreams.get(&upstream.id) else { return };
        let work = self.work.get(&upstream.service).copied().unwrap_or_default();
        let quality = match answer {
            Answer::Failure => evidence::Quality::Failed,
            Answer::Success { .. } if known.slow_start.is_cold(now) => evidence::Quality::Good,
            Answer::Success { latency, crowding, familiarity, pace } => {
                let time = seconds::Seconds(latency.as_secs_f64() / crowding.max(1.0));
                let time = pace::usual_time(time, pace);
                let is_slow = time.0 > work.mean_for(familiarity).0 * evidence::SLOW_FACTOR;
                if is_slow { evidence::Quality::Slow } else { evidence::Quality::Good }
            }
        };
        self.rollouts.record_answer(known, route, quality);
    }

    /// Returns the upstreams of a service by their version, for the decision on the next stage of its
    /// roll-out.
    #[must_use]
    pub fn rollout_upstreams(&self, order: &orders::Order, now: Instant) -> progress::Upstreams {
        let mut counts = progress::Upstreams { new: 0, old: 0, old_in_flight: 0 };
        for upstream in self.upstreams.of_service(&order.service) {
            let is_usable = usize::from(upstream.is_usable(now));
            if upstream.entry.version.as_ref() == Some(&order.target) {
                counts.new += is_usable;
                continue;
            }
            counts.old += is_usable;
            let in_flight = upstream.load.in_flight() + self.peers.total(upstream.key);
            counts.old_in_flight += in_flight;
        }
        counts
    }

    pub(super) fn versions(
        &self,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Vec<rollout::Versions> {
        let limits = rollout::limits(&self.bounds, self.max_nodes);
        let is_first_try = request.is_first_try();
        self.rollouts.versions(request.service, is_first_try, &limits, now)
    }
}
