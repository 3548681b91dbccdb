//! Exposure: how many requests a new version gets before it is known to be good.
//!
//! Each node enforces its part of the fleet-wide limit by its own counts. The limit therefore holds without messages,
//! also while nodes are partitioned, paused or restarted.

use model::rollout;

use crate::dispatch::rollout::progress;

/// Share of the fleet's limit that the first stage uses; the rest is for the stages after it.
const EXPOSED_PART: f64 = 0.5;

/// Share of requests while ramping, as a multiple of the limit on the whole period.
const RAMPING_FACTOR: f64 = 2.0;

/// Share of requests at the last stage before all of them move, as a multiple of that limit.
const HALF_FACTOR: f64 = 4.5;

/// Part of the limit that is used, since callers may send less in the rest of the period.
const USED_PART: f64 = 0.9;

/// Greatest factor by which the requests so far are extrapolated to the whole period.
const MAX_EXTRAPOLATION: f64 = 4.0;

/// One node's part of the fleet's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Share of the requests in the whole period that a bad version may get.
    pub share: f64,
    /// Requests that it may get beyond that share.
    pub slack: f64,
}

/// Requests that this node has sent since the order.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Sent {
    requests: u64,
    new: u64,
    /// The same since the stage began.
    stage_requests: u64,
    stage_new: u64,
}

impl Sent {
    /// Counts a request that is sent; retries count for the version but not as requests.
    pub fn record(&mut self, is_new: bool, is_first: bool) {
        self.requests += u64::from(is_first);
        self.new += u64::from(is_new);
        self.stage_requests += u64::from(is_first);
        self.stage_new += u64::from(is_new);
    }

    /// Begins to count for another stage.
    pub fn begin_stage(&mut self) {
        (self.stage_requests, self.stage_new) = (0, 0);
    }

    /// Returns whether the next request goes to the new version, given its `share` of requests.
    ///
    /// Independent of the request's route and object, so that both reach the new version in their usual proportions
    /// and its caches are warm before all requests move.
    #[must_use]
    pub fn is_due(&self, share: f64) -> bool {
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 requests")]
        let (requests, new) = (self.stage_requests as f64, self.stage_new as f64);
        new + 1.0 <= share * (requests + 1.0)
    }

    /// Returns whether one more request may go to the new version.
    ///
    /// The requests of the whole period are expected to come at the rate of those so far.
    #[must_use]
    pub fn permits(&self, limits: &Limits, standing: progress::Standing) -> bool {
        let elapsed = standing.since_order.as_secs_f64().max(f64::EPSILON);
        let factor = (standing.period.as_secs_f64() / elapsed).clamp(1.0, MAX_EXTRAPOLATION);
        #[expect(clippy::cast_precision_loss, reason = "far fewer than 2^52 requests")]
        let (requests, new) = (self.requests as f64, self.new as f64);
        new + 1.0 <= limits.share * USED_PART * requests * factor + limits.slack
    }
}

/// Returns the share of requests that the new version gets at a stage.
#[must_use]
pub fn share(stage: rollout::Stage, limits: &Limits) -> f64 {
    match stage {
        rollout::Stage::Exposed => limits.share * EXPOSED_PART,
        rollout::Stage::Ramping => (limits.share * RAMPING_FACTOR).min(1.0),
        rollout::Stage::Half => (limits.share * HALF_FACTOR).min(1.0),
        rollout::Stage::Whole | rollout::Stage::Completed => 1.0,
        rollout::Stage::RolledBack => 0.0,
    }
}
