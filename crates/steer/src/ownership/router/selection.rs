//! Selection: the owner that a request is sent to, in the region selected by its split.

use std::time::Instant;

use model::id;

use super::{Routed, Router, View};
use crate::ownership::owners;
use crate::ownership::summaries;

/// Number of owners in this node's region that are tried for a free slot before a request may wait.
///
/// At 90 % load, three in place of one reduced the refused requests from 6.4 % and 15.5 % to 0 % and 0 to
/// 0.07 % (docs/DECISIONS.md, "Several homes are asked before a request waits").
const ASKED_BEFORE_WAITING: usize = 3;

/// Minimum divisor in the cost of an owner, so that an owner without slots has a very high cost.
const LEAST_SLOTS: f64 = 0.1;

/// The selected region and owner of a request.
pub(super) struct Choice {
    pub(super) region: id::Region,
    pub(super) owner: owners::Owner,
    /// Whether the owner may queue the request for a slot.
    pub(super) may_wait: bool,
}

impl Router {
    /// Returns the owner of least cost in the request's region, and whether the request may wait there.
    ///
    /// Owners that were not tried yet are preferred. In this node's region, up to
    /// [`ASKED_BEFORE_WAITING`] owners are tried for a free slot before the request may wait, at the owner
    /// of least cost. Other regions are too far away for that, so the node that the request is sent to
    /// tries the owners there.
    pub(super) fn select_owner(&self, routed: &Routed, view: &View<'_>) -> Option<Choice> {
        let region = routed.region.clone()?;
        let owners = self.owners.get(&(routed.service.clone(), region.clone()))?;
        let asked = ASKED_BEFORE_WAITING.min(owners.len() - 1);
        let may_wait = region != *view.region || routed.busy_tries >= asked;
        let was_tried = |owner: &owners::Owner| {
            let is_waiting = may_wait && routed.busy_tries > 0;
            !is_waiting && routed.tried.contains(&owner.key.node)
        };
        let cost = |owner: &owners::Owner| self.cost(&routed.service, owner, view.now);
        let best = owners.iter().min_by(|a, b| {
            was_tried(a).cmp(&was_tried(b)).then_with(|| cost(a).total_cmp(&cost(b)))
        })?;
        Some(Choice { region, owner: best.clone(), may_wait })
    }

    /// Returns the utilization of an owner's slots with one more request.
    ///
    /// This node's outstanding requests are counted exactly; those of other nodes are taken from the
    /// owner's last report.
    fn cost(&self, service: &id::Service, owner: &owners::Owner, now: Instant) -> f64 {
        let key = (service.clone(), owner.key.node.clone());
        let own = self.outstanding(service, &owner.key.node);
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < summaries::OWNER_LIFE;
        let report = self.reported.get(&key).filter(|report| is_fresh(report.at));
        let (others, usable) = report.map_or((0, owner.weight), |r| (r.others, r.usable));
        f64::from(own + others + 1) / f64::from(usable).max(LEAST_SLOTS)
    }
}
