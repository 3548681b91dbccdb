//! Slots: which requests need one, and what the dispatcher knows of owners, rooms and queues.
//!
//! [`slots`] implements the rules.
//!
//! [`slots`]: crate::dispatch::slots

use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::admission;
use crate::dispatch::candidate;
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::peer_load;
use crate::dispatch::refusal;
use crate::dispatch::request;
use crate::dispatch::seconds;
use crate::dispatch::slots;
use crate::dispatch::slots::ledger;
use crate::dispatch::slow_start_owner;
use crate::dispatch::upstream;
use crate::dispatch::urgency;

impl Dispatcher {
    /// Sets whether this node uses slots; it uses none until this is called.
    pub fn set_slots(&mut self, mode: slots::Mode) {
        self.slots = mode;
    }

    /// Returns the slot that a request needs before it is sent to its candidate, or `None` if it is
    /// sent immediately.
    pub(super) fn slot_need(
        &self,
        chosen: &candidate::Candidate,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Option<slots::Need> {
        if !self.uses_slots(request.service) {
            return None;
        }
        let upstream = self.upstreams.get(&chosen.entry.id)?;
        // The estimate for an upstream of another region is old and the round trip long, so only a reported
        // queue or a refusal counts there.
        let is_near = upstream.region == self.position.region;
        let has_queue = is_near && chosen.wait.0 > 0.0;
        if !has_queue && !upstream.load.is_contended(now) {
            return None;
        }
        self.owner_of(upstream)?;
        let rank = self.priorities.rank(request);
        let times = self.work.get(request.service).copied().unwrap_or_default();
        let work = chosen.object.map_or(times.mean(), |o| times.mean_for(o.familiarity));
        let work = upstream.health.processing_time(work, now).0.max(0.0);
        let is_refused = self.priorities.is_urgency_refused(request);
        let max_wait = admission::max_slot_wait(times.mean(), rank, is_refused, request).0;
        let max_wait = max_wait.clamp(0.0, request.time_left.as_secs_f64());
        Some(slots::Need {
            upstream: upstream.key,
            region: upstream.region.clone(),
            max_wait: Duration::from_secs_f64(max_wait),
            work: Duration::from_secs_f64(work),
        })
    }

    fn uses_slots(&self, service: &id::Service) -> bool {
        match self.slots {
            slots::Mode::Off => false,
            slots::Mode::On => true,
            slots::Mode::Auto => self.priorities.has_several_urgencies(service),
        }
    }

    /// Decides on a request that is sent without the slot that its candidate needs, since the owner
    /// does not answer or declined.
    ///
    /// Queued asks do not count: the request is sent past them, and those of an owner that died are
    /// still reported for a second, in which all requests would be refused otherwise.
    ///
    /// # Errors
    ///
    /// Fails if the candidate is expected to respond too late.
    pub fn admit_without_slot(
        &self,
        chosen: &candidate::Candidate,
        request: &request::Request<'_>,
        now: Instant,
    ) -> Result<(), refusal::Refusal> {
        let upstream = self.upstreams.get(&chosen.entry.id);
        let wait = upstream.map_or(chosen.wait, |u| u.wait_when_sent(chosen.work, now));
        let cautious_latency = chosen.cautious_latency.0 - chosen.wait.0 + wait.0;
        let cautious_latency = seconds::Seconds(cautious_latency);
        let chosen = candidate::Candidate { wait, cautious_latency, ..chosen.clone() };
        self.check_admission(&chosen, request, now)
    }

    /// Returns the owner of an upstream's slots, or `None` if the upstream is unknown or its region has
    /// no gateways.
    #[must_use]
    pub fn slot_owner(&self, upstream: peer_load::Key) -> Option<slots::Owner> {
        self.owner_of(self.upstreams.get_by_key(upstream)?)
    }

    fn owner_of(&self, upstream: &upstream::Upstream) -> Option<slots::Owner> {
        if upstream.region == self.position.region {
            let owner = slow_start_owner::owner(&upstream.entry.id, self.owners.near.iter())?;
            return Some(match *owner == self.position.node {
                true => slots::Owner::This,
                false => slots::Owner::Node(owner.clone()),
            });
        }
        let nodes = self.owners.listed.get(&upstream.region)?;
        (!nodes.is_empty()).then(|| slots::Owner::Region(upstream.region.clone()))
    }

    /// Returns what an upstream can take, for the owner of its slots; `None` if it takes no requests.
    #[must_use]
    pub fn room(&self, upstream: peer_load::Key, now: Instant) -> Option<ledger::Room> {
        let known = self.upstreams.get_by_key(upstream)?;
        let takes_work = eligibility::takes_work(known, &self.evacuated, now);
        if !takes_work || known.health.is_ejected(now) {
            return None;
        }
        let in_flight = known.load.in_flight() + known.load.peer_requests();
        let held = self.held_at(known) + self.peers_held.total(upstream);
        Some(ledger::Room { slots: known.entry.slots, others: in_flight.saturating_sub(held) })
    }

    /// Records that an attempt, whose start [`Dispatcher::sent`] recorded, holds a slot that `owner`
    /// granted; `owner` is the node that sent the answer.
    ///
    /// Ignored if the upstream has been removed or restarted since.
    pub fn record_held(&mut self, upstream: &discovery::Entry, owner: &id::Node) {
        let known = self.upstreams.get_mut(&upstream.id);
        if let Some(known) = known.filter(|known| known.entry.born == upstream.born) {
            known.held.record_held(owner);
        }
    }

    /// Records that an attempt no longer holds the slot that `owner` granted; call it with
    /// [`Dispatcher::ended`].
    ///
    /// Ignored if the upstream has been removed or restarted since.
    pub fn record_released(&mut self, upstream: &discovery::Entry, owner: &id::Node) {
        let known = self.upstreams.get_mut(&upstream.id);
        if let Some(known) = known.filter(|known| known.entry.born == upstream.born) {
            known.held.record_released(owner);
        }
    }

    /// Records the outcome of the ask of a first attempt whose candidate needed a slot: true if it was
    /// granted or sent without a slot, false if it was refused.
    pub fn record_slot_outcome(
        &mut self,
        service: &id::Service,
        urgency: urgency::Urgency,
        is_admitted: bool,
    ) {
        self.priorities.record(service, urgency, is_admitted);
    }

    /// Returns how many of this node's requests in flight hold a slot of the present owner, by
    /// upstream; belongs to the same report as [`Dispatcher::in_flight`].
    ///
    /// A request whose slot was granted by a node that is no longer the owner counts as not held, so
    /// that the present owner sees it among the others.
    #[must_use]
    pub fn held(&mut self) -> Vec<(peer_load::Key, u32)> {
        let busy = self.busy.iter().filter_map(|name| self.upstreams.get(name));
        busy.map(|u| (u.key, self.held_at(u))).filter(|(_, held)| *held > 0).collect()
    }

    fn held_at(&self, upstream: &upstream::Upstream) -> u32 {
        if upstream.held.is_empty() {
            return 0;
        }
        let held = match self.owner_of(upstream) {
            Some(slots::Owner::This) => upstream.held.of(&self.position.node),
            Some(slots::Owner::Node(owner)) => upstream.held.of(&owner),
            Some(slots::Owner::Region(_)) => upstream.held.of_latest(),
            None => 0,
        };
        held.min(upstream.load.in_flight())
    }

    /// Replaces another node's report of its requests that hold a slot.
    pub fn set_peer_held(
        &mut self,
        node: id::Node,
        requests: Vec<(peer_load::Key, u32)>,
        now: Instant,
    ) {
        self.peers_held.report(node, requests, now);
    }

    /// Replaces another node's report of the asks that are queued at the upstreams it owns.
    pub fn set_queued(&mut self, node: id::Node, queued: Vec<(peer_load::Key, u32)>, now: Instant) {
        let changed = self.queues.report(node, queued, now);
        self.apply_queued(&changed, now);
    }

    /// Replaces the asks that are queued in this node's own ledger.
    pub fn set_own_queued(&mut self, queued: Vec<(peer_load::Key, u32)>) {
        for key in std::mem::take(&mut self.own_queued) {
            self.upstreams.update_by_key(key, |upstream| upstream.load.set_own_queued(0));
        }
        for (key, asks) in queued {
            self.upstreams.update_by_key(key, |upstream| upstream.load.set_own_queued(asks));
            self.own_queued.push(key);
        }
    }

    /// Drops expired reports of held slots and queues.
    pub(super) fn expire_slot_reports(&mut self, now: Instant) {
        self.peers_held.expire(now);
        let changed = self.queues.expire(now);
        self.apply_queued(&changed, now);
    }

    /// Updates the upstreams whose queues at all other nodes `changed`.
    fn apply_queued(&mut self, changed: &[peer_load::Key], now: Instant) {
        if self.slots == slots::Mode::Off {
            return;
        }
        for key in changed {
            let asks = self.queues.total(*key);
            self.upstreams.update_by_key(*key, |u| u.load.set_peer_queued(asks, now));
        }
    }

    /// Returns the total of the requests that hold a slot over the nodes selected by `wanted`, by
    /// upstream, for forwarding by representatives.
    #[must_use]
    pub fn peer_held(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Vec<(peer_load::Key, u32)> {
        self.peers_held.sum(wanted, now)
    }

    /// Returns the total of the queued asks over the nodes selected by `wanted`, by upstream, for
    /// forwarding by representatives.
    #[must_use]
    pub fn queued(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Vec<(peer_load::Key, u32)> {
        self.queues.sum(wanted, now)
    }
}
