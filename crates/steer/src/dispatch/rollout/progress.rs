//! Progress: which stage of a roll-out comes next, and when.
//!
//! Stages are recorded in the store with a condition, so that nodes cannot record different ones. Their durations are
//! fractions of the operator's period. Over half of it is spent at a limited exposure, where a bad version costs little,
//! and a quarter remains at the end for delays.

use std::time::Duration;

use model::rollout;

/// Parts of the period, counted from the order, after which each stage may end, in hundredths.
const EXPOSED_END: u32 = 35;
const RAMPING_END: u32 = 45;
const HALF_END: u32 = 56;

/// Shortest part of the period for which a stage is in force, in hundredths, also where earlier ones took
/// longer than planned.
const MIN_STAGE: u32 = 8;

/// Part of the period after which a version with too few answers enters the next stage, in hundredths.
const UNJUDGED_END: u32 = 55;

/// Answers of the new version without which its exposure goes on for longer.
const MIN_ANSWERS: u32 = 20;

/// Time for which all requests have gone to the new version before the old upstreams may stop.
///
/// Covers the propagation of the stage to the last node, which sends requests to the old upstreams until then.
const SETTLE_TIME: Duration = Duration::from_millis(2_500);

/// What a node knows of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The stage in force.
    pub stage: rollout::Stage,
    /// Whether the stage is recorded.
    pub is_recorded: bool,
    /// Whether this node found the new version bad.
    pub is_bad: bool,
    /// Time since this node learned of the order.
    pub since_order: Duration,
    /// Time since this node learned of the stage.
    pub since_stage: Duration,
    /// The operator's period.
    pub period: Duration,
    /// Known answers of the new version in this stage.
    pub new_answers: u32,
}

/// The upstreams of a service during a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstreams {
    /// Upstreams of the new version that take work.
    pub new: usize,
    /// Upstreams of other versions that take work.
    pub old: usize,
    /// Requests in flight at upstreams of other versions, from all nodes.
    pub old_in_flight: u32,
}

/// Returns the stage to record, or `None` while the current one goes on.
#[must_use]
pub fn next(standing: Standing, upstreams: Upstreams) -> Option<rollout::Stage> {
    let Standing { stage, since_order, since_stage, period, .. } = standing;
    let part = |hundredths: u32| period * hundredths / 100;
    let is_over = |end: u32| since_order >= part(end) && since_stage >= part(MIN_STAGE);
    let is_judged = standing.new_answers >= MIN_ANSWERS || since_order >= part(UNJUDGED_END);
    match stage {
        rollout::Stage::Completed | rollout::Stage::RolledBack => None,
        _ if standing.is_bad => Some(rollout::Stage::RolledBack),
        rollout::Stage::Exposed if !standing.is_recorded => Some(rollout::Stage::Exposed),
        _ if upstreams.new == 0 => None,
        _ if upstreams.old == 0 && upstreams.old_in_flight == 0 => Some(rollout::Stage::Completed),
        rollout::Stage::Exposed => {
            (is_over(EXPOSED_END) && is_judged).then_some(rollout::Stage::Ramping)
        }
        rollout::Stage::Ramping => is_over(RAMPING_END).then_some(rollout::Stage::Half),
        rollout::Stage::Half => is_over(HALF_END).then_some(rollout::Stage::Whole),
        rollout::Stage::Whole => {
            let is_settled = since_stage >= SETTLE_TIME && upstreams.old_in_flight == 0;
            is_settled.then_some(rollout::Stage::Completed)
        }
    }
}
