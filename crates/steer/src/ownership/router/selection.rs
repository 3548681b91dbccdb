//! Selection: the owner that a request goes to, in the region that its split gave it.
//!
//! Owns the number of owners that are asked before a request waits, and the cost of an owner. Relies
//! on the counts and reports that [`Router`] keeps.

use std::time::Instant;

use model::id;

use super::{Routed, Router, View};
use crate::ownership::owners;
use crate::ownership::summaries;

/// Owners of its own region that an entry asks for a slot that is free at once.
///
/// Measured against one: docs/DECISIONS.md, "Several homes are asked before a request waits" (at 90 %
/// load 6.4 % and 15.5 % refused became 0 % and 0 to 0.07 %). Other numbers were not measured.
const ASKED_BEFORE_WAITING: usize = 3;

/// Least slots that an owner's load is divided by, so that one without slots sorts last.
const LEAST_SLOTS: f64 = 0.1;

/// Where a request goes.
pub(super) struct Choice {
    pub(super) region: id::Region,
    pub(super) owner: owners::Owner,
    /// Whether the request may wait there for a slot.
    pub(super) may_wait: bool,
}

impl Router {
    /// Returns the owner in the request's region that has the least work for its slots, and whether
    /// the request may wait there.
    ///
    /// Owners that were not tried come first. In its own region an entry asks up to
    /// [`ASKED_BEFORE_WAITING`] owners for a slot that is free at once before it lets the request wait
    /// at the least loaded. Another region is too far for that; there the node it is sent to does so.
    pub(super) fn choose(&self, routed: &Routed, view: &View<'_>) -> Option<Choice> {
        let region = routed.region.clone()?;
        let owners = self.owners.get(&(routed.service.clone(), region.clone()))?;
        let asked = ASKED_BEFORE_WAITING.min(owners.len() - 1);
        let may_wait = region != *view.region || routed.busy >= asked;
        let was_tried = |owner: &owners::Owner| {
            let is_waiting = may_wait && routed.busy > 0;
            !is_waiting && routed.tried.contains(&owner.key.node)
        };
        let cost = |owner: &owners::Owner| self.cost(&routed.service, owner, view.now);
        let best = owners.iter().min_by(|a, b| {
            was_tried(a).cmp(&was_tried(b)).then_with(|| cost(a).total_cmp(&cost(b)))
        })?;
        Some(Choice { region, owner: best.clone(), may_wait })
    }

    /// Returns the share of its slots that an owner would use with one more request.
    ///
    /// What this entry sent is counted exactly; what others sent is known from the last report.
    fn cost(&self, service: &id::Service, owner: &owners::Owner, now: Instant) -> f64 {
        let key = (service.clone(), owner.key.node.clone());
        let own = self.outstanding(service, &owner.key.node);
        let is_fresh = |at: Instant| now.saturating_duration_since(at) < summaries::OWNER_LIFE;
        let report = self.reported.get(&key).filter(|report| is_fresh(report.at));
        let (others, usable) = report.map_or((0, owner.weight), |r| (r.others, r.usable));
        f64::from(own + others + 1) / f64::from(usable).max(LEAST_SLOTS)
    }
}
