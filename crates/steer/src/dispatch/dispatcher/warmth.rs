//! Belief in the copy of the store, and the upstreams that may be cold without this node's knowledge.

use std::collections;
use std::time::Instant;

use model::discovery;
use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::fleet::freshness;
use crate::dispatch::slow_start;
use crate::dispatch::slow_start_share;
use crate::dispatch::warmth;

impl Dispatcher {
    /// Sets what this node may believe of its copy of the store.
    pub fn set_belief(&mut self, belief: freshness::Belief) {
        self.belief = belief;
    }

    /// Returns what this node may believe of its copy of the store.
    #[must_use]
    pub fn belief(&self) -> freshness::Belief {
        self.belief
    }

    /// Returns what is done before a request is sent to the chosen upstream, and records a check that begins.
    pub fn begin_warmth_check(&mut self, chosen: &discovery::Entry, now: Instant) -> warmth::Step {
        if self.belief == freshness::Belief::Current {
            return warmth::Step::Send;
        }
        let rules = self.routing.services.get(&chosen.service);
        let limited = rules.filter(|rules| rules.cold_rate.is_some());
        let path = limited.and_then(|rules| rules.health_check_path.clone());
        let known = self.upstreams.get_mut(&chosen.id);
        let (Some(path), Some(known)) = (path, known) else { return warmth::Step::Send };
        let upstream = chosen.id.clone();
        let target = warmth::Target { upstream, address: chosen.address, path };
        known.warmth.record_use(now);
        let is_due = known.warmth.is_due(now);
        let step = match known.warmth.standing(now) {
            warmth::Standing::Checked(_) if is_due => warmth::Step::SendAndAsk(target),
            warmth::Standing::Checked(_) => return warmth::Step::Send,
            warmth::Standing::InProgress => return warmth::Step::Await,
            warmth::Standing::Unknown => warmth::Step::Ask(target),
        };
        known.warmth.begin(now);
        step
    }

    /// Records what an upstream says that was asked at `asked_at`; returns when it is asked again.
    pub fn end_warmth_check(
        &mut self,
        upstream: &id::Upstream,
        verdict: warmth::Verdict,
        asked_at: Instant,
        now: Instant,
    ) -> Option<Instant> {
        let warmth = &mut self.upstreams.get_mut(upstream)?.warmth;
        warmth.end(verdict, now);
        let repeat_at = warmth.repeat_at(verdict, asked_at, now);
        repeat_at.filter(|_| self.belief != freshness::Belief::Current)
    }

    /// Records that an upstream is asked again; returns false if no request needs it any more.
    pub fn repeat_warmth_check(&mut self, upstream: &id::Upstream, now: Instant) -> bool {
        let is_doubted = self.belief != freshness::Belief::Current;
        let known = self.upstreams.get_mut(upstream);
        let Some(known) = known.filter(|u| is_doubted && u.warmth.is_due(now)) else {
            return false;
        };
        known.warmth.begin(now);
        true
    }

    /// Returns what is known of an upstream's warmth.
    #[must_use]
    pub fn warmth(&self, upstream: &id::Upstream, now: Instant) -> warmth::Standing {
        let known = self.upstreams.get(upstream);
        known.map_or(warmth::Standing::Unknown, |known| known.warmth.standing(now))
    }

    /// Determines this node's slow start shares of all upstreams, if they are needed and not up to date.
    pub(super) fn assign_slow_start_shares(&mut self) {
        if self.belief == freshness::Belief::Current || self.has_shares {
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
    pub(super) fn slow_start_rules(&self) -> slow_start::Rules<'_> {
        slow_start::Rules { routing: &self.routing, bounds: &self.bounds, belief: self.belief }
    }
}
