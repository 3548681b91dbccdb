//! Exchange: creates, answers and applies heartbeats.
//!
//! A heartbeat carries only what changed since the peer was last updated, which
//! [`Peering`](crate::ownership::peering::Peering) records.

use std::collections;
use std::sync;
use std::time::Instant;

use model::epoch;
use model::id;
use model::table;

use super::Core;
use crate::ownership::action;
use crate::ownership::heartbeat;
use crate::ownership::lease;
use crate::ownership::owner;

/// Maximum members in one message, the latest first: enough to describe a fleet of the target size to a
/// node that starts.
const MOST_MEMBERS: usize = 512;

/// Maximum summaries of owners in one message, the latest first. docs/CAPACITY.md describes what happens
/// beyond it.
const MOST_SUMMARIES: usize = 256;

impl Core {
    /// Creates the heartbeat to `node`, or to a seed whose node is not known yet if `None`.
    pub(super) fn make_heartbeat(
        &mut self,
        node: Option<&id::Node>,
        now: Instant,
    ) -> heartbeat::Request {
        let member = node.and_then(|n| self.members.get(n)).map(|k| &k.member);
        let region = member.map(|m| m.region.clone());
        let key = member.map(|m| m.key.clone());
        let held = key.map_or(Vec::new(), |key| self.owner.leases_still_in_use(&self.me.key, &key));
        let since = node.and_then(|n| self.peering.mark_updated(n, now));
        heartbeat::Request {
            sender: self.me.clone(),
            update: self.update(region.as_ref(), since, None),
            epochs: self.tables.iter().map(|(r, t)| (r.clone(), t.epoch)).collect(),
            wants_leases: true,
            held,
            wants_positions: !self.has_positions && !self.has_discovered(now),
        }
    }

    /// Applies a peer's heartbeat and returns the reply.
    pub(super) fn answer(
        &mut self,
        request: &heartbeat::Request,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) -> heartbeat::Reply {
        let sender = &request.sender;
        self.apply(sender, &request.update, now, out);
        // With different tables the two nodes could disagree about the owner.
        let has_same_epoch = sender.region == self.me.region && sender.epoch == self.me.epoch;
        let leases = match has_same_epoch {
            true => {
                self.owner.reclaim(&sender.key, &request.held);
                self.owner.grant(&sender.key, now)
            }
            false => Vec::new(),
        };
        let since = self.peering.mark_updated(&sender.key.node, now);
        let positions = match request.wants_positions && self.is_ready(now) {
            true => self.router.positions().collect(),
            false => Vec::new(),
        };
        heartbeat::Reply {
            sender: self.me.clone(),
            update: self.update(Some(&sender.region), since, Some(&request.epochs)),
            leases,
            term: owner::LEASE_TERM,
            positions,
        }
    }

    /// Applies the reply to a heartbeat that was sent at `sent`.
    pub(super) fn replied(
        &mut self,
        reply: &heartbeat::Reply,
        sent: Instant,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let sender = &reply.sender;
        self.apply(sender, &reply.update, now, out);
        for position in &reply.positions {
            self.router.adopt_position(position);
        }
        self.has_positions |= !reply.positions.is_empty();
        // The lease was granted to the owner of the epoch at `sent`, which this node may no longer be.
        let has_same_epoch = self.peering.epoch_at(sent) == self.me.epoch;
        if sender.region == self.me.region && has_same_epoch {
            let (leases, term) = (&reply.leases, reply.term);
            let grant = lease::Grant { grantor: &sender.key, leases, term, asked: sent };
            self.owner.hold_leases(&self.me.key, &grant);
        }
    }

    /// Applies a peer's description of itself and its update about other nodes.
    fn apply(
        &mut self,
        sender: &heartbeat::Member,
        update: &heartbeat::Update,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        let me = self.me.key.node.clone();
        for member in update.members.iter().chain([sender]).filter(|m| m.key.node != me) {
            self.members.record(member, now);
        }
        for liveness in update.liveness.iter().filter(|l| l.key.node != me) {
            self.members.record_liveness(liveness, now);
        }
        for summary in &update.summaries {
            self.router.record_summary(summary, now);
        }
        for summary in &update.regions {
            if self.router.summaries.record_region(summary, now) {
                self.members.record_region(&summary.region, now);
            }
        }
        self.members.record_region(&sender.region, now);
        for table in &update.tables {
            self.adopt(sync::Arc::clone(table), false);
        }
        if self.is_stale {
            self.refresh(now);
        }
        if sender.revision > self.me.revision && self.peering.may_fetch(now) {
            out.push(action::Action::Fetch { from: sender.peers });
        }
    }

    /// Returns the changes after `since`, for a node of region `to` that knows the tables of the epochs
    /// `known`.
    fn update(
        &self,
        to: Option<&id::Region>,
        since: Option<Instant>,
        known: Option<&collections::BTreeMap<id::Region, epoch::Epoch>>,
    ) -> heartbeat::Update {
        let is_newer = |table: &&sync::Arc<table::Table>| {
            known.is_some_and(|known| {
                known.get(&table.region).copied().unwrap_or_default() < table.epoch
            })
        };
        let changes = self.members.changes(since, MOST_MEMBERS);
        // Liveness of single nodes and summaries of single owners are sent only within the region.
        let (liveness, summaries) = match to == Some(&self.me.region) {
            true => (changes.liveness, self.router.summaries.changes(since, MOST_SUMMARIES)),
            false => (Vec::new(), Vec::new()),
        };
        heartbeat::Update {
            members: changes.members,
            liveness,
            summaries,
            regions: self.router.summaries.region_changes(since),
            tables: self.tables.values().filter(is_newer).cloned().collect(),
        }
    }
}
