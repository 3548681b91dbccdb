//! Status in the copy of the store, and the upstreams that may be cold without this node's knowledge.

use std::collections;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::dispatch::cold_check;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::fleet::freshness;
use crate::dispatch::slow_start_limit;
use crate::dispatch::slow_start_share;

impl Dispatcher {
    /// Sets whether this node's copy of the store is up to date.
    pub fn set_copy_status(&mut self, status: freshness::Status) {
        self.copy_status = status;
    }

    /// Returns whether this node's copy of the store is up to date.
    #[must_use]
    pub fn copy_status(&self) -> freshness::Status {
        self.copy_status
    }

    /// Returns the step before a request is sent to the chosen upstream, and records the start of a check.
    pub fn begin_cold_check(
        &mut self,
        chosen: &discovery::Entry,
        now: Instant,
    ) -> cold_check::Step {
        if self.copy_status == freshness::Status::Current {
            return cold_check::Step::Send;
        }
        let rules = self.routing.services.get(&chosen.service);
        let limited = rules.filter(|rules| rules.cold_rate.is_some());
        let path = limited.and_then(|rules| rules.health_check_path.clone());
        let known = self.upstreams.get_mut(&chosen.id);
        let (Some(path), Some(known)) = (path, known) else { return cold_check::Step::Send };
        let upstream = chosen.id.clone();
        let target = cold_check::Target { upstream, address: chosen.address, path };
        known.cold_checks.record_use(now);
        let is_due = known.cold_checks.is_due(now);
        let step = match known.cold_checks.standing(now) {
            cold_check::Standing::Checked(_) if is_due => cold_check::Step::SendAndCheck(target),
            cold_check::Standing::Checked(_) => return cold_check::Step::Send,
            cold_check::Standing::InProgress => return cold_check::Step::Await,
            cold_check::Standing::Unknown => cold_check::Step::Check(target),
        };
        known.cold_checks.begin(now);
        step
    }

    /// Records the result of a check that was sent at `asked_at`; returns when it is repeated.
    pub fn end_cold_check(
        &mut self,
        upstream: &id::Upstream,
        verdict: cold_check::Verdict,
        asked_at: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let checks = &mut self.upstreams.get_mut(upstream)?.cold_checks;
        checks.end(verdict, now);
        let repeat_at = checks.repeat_at(verdict, asked_at, now);
        repeat_at.filter(|_| self.copy_status != freshness::Status::Current)
    }

    /// Records that a check is repeated; returns false if it is no longer needed.
    pub fn repeat_cold_check(&mut self, upstream: &id::Upstream, now: Instant) -> bool {
        let is_unconfirmed = self.copy_status != freshness::Status::Current;
        let known = self.upstreams.get_mut(upstream);
        let Some(known) = known.filter(|u| is_unconfirmed && u.cold_checks.is_due(now)) else {
            return false;
        };
        known.cold_checks.begin(now);
        true
    }

    /// Returns what the checks of an upstream show.
    #[must_use]
    pub fn cold_standing(&self, upstream: &id::Upstream, now: Instant) -> cold_check::Standing {
        let known = self.upstreams.get(upstream);
        known.map_or(cold_check::Standing::Unknown, |known| known.cold_checks.standing(now))
    }

    /// Determines this node's slow start shares of all upstreams, if they are needed and not up to date.
    pub(super) fn assign_slow_start_shares(&mut self) {
        if self.copy_status == freshness::Status::Current || self.has_shares {
            return;
        }
        let nodes = slow_start_share::Nodes { own: &self.position, listed: &self.owners.listed };
        let mut counts: collections::HashMap<id::Service, usize> = collections::HashMap::new();
        for upstream in self.upstreams.iter() {
            *counts.entry(upstream.entry.service.clone()).or_default() += 1;
        }
        for upstream in self.upstreams.iter_mut() {
            let count = counts.get(&upstream.entry.service).copied().unwrap_or_default();
            let (name, region) = (&upstream.entry.id, &upstream.region);
            upstream.slow_start_share = slow_start_share::Share::new(name, region, &nodes, count);
        }
        self.has_shares = true;
    }

    /// Returns the inputs that decide what this node may send to upstreams that are or may be cold.
    pub(super) fn slow_start_rules(&self) -> slow_start_limit::Rules<'_> {
        slow_start_limit::Rules {
            routing: &self.routing,
            bounds: &self.bounds,
            copy_status: self.copy_status,
        }
    }
}
