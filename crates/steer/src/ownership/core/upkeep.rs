//! Upkeep: the periodic work of each tick and each heartbeat.

use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::id;
use model::table;

use super::Core;
use crate::ownership::action;
use crate::ownership::maintenance;
use crate::ownership::owner;

/// Time between two heartbeats of a node; its cost is given in docs/measurements/scale.md.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Heartbeats per summary of an owner. Every answer reports the owner's usage as well.
const SUMMARY_EVERY: u64 = 2;

impl Core {
    pub(super) fn tick(&mut self, wall: SystemTime, now: Instant, out: &mut Vec<action::Action>) {
        self.wall = wall;
        self.owner.tick(now, out);
        let age = |at: Instant| now.saturating_duration_since(at);
        if self.last_heartbeat.is_none_or(|at| age(at) >= HEARTBEAT_PERIOD) {
            self.last_heartbeat = Some(now);
            self.heartbeat(now, out);
        }
    }

    /// Updates this node's state and plans, and sends the heartbeats that are due.
    fn heartbeat(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        self.me.sequence += 1;
        self.owner.update_drains(&self.snapshot, &self.vms, self.wall);
        self.owner.update_rates(now);
        self.refresh(now);
        self.settle(now);
        self.members.record(&self.me, now);
        self.members.expire(now);
        let sequence = self.me.sequence;
        if sequence.is_multiple_of(SUMMARY_EVERY) {
            for summary in self.owner.summaries(&self.me.key, &self.me.region, sequence, now) {
                self.router.record_summary(&summary, now);
            }
        }
        self.router.summaries.sum_up(&self.me, now);
        if self.is_ready(now) {
            self.with_router(now, |router, view| router.plan(view));
        }
        self.propose(now, out);
        self.send_heartbeats(now, out);
    }

    /// Marks the current epoch as settled once no slots beyond its shares are in use.
    fn settle(&mut self, now: Instant) {
        if self.owner.is_settled(now) {
            self.me.settled = self.me.epoch;
        }
    }

    /// Proposes a new table of the region if one is needed and it is this node's turn.
    fn propose(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        // A proposal not based on the stored table would fail its compare-and-swap.
        if !self.has_stored_table || !self.has_discovered(now) {
            return;
        }
        let empty = table::Table::empty(&self.me.region);
        let view = maintenance::View {
            table: self.tables.get(&self.me.region).map_or(&empty, |t| t),
            me: &self.me,
            members: &self.members,
            vms: &self.vms,
            started: self.started,
            tail: self.tail(),
            now,
        };
        if let Some(table) = self.maintainer.decide(&view) {
            out.push(action::Action::Propose { table: sync::Arc::new(table) });
        }
    }

    /// Returns the time after which no request started before can still be running.
    fn tail(&self) -> Duration {
        let services = self.snapshot.services.values();
        let longest = services.map(|s| s.spec.deadline).max().unwrap_or_default();
        longest + owner::CANCEL_GRACE
    }

    fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        let grantors = self.owner.grantors(&self.me.key);
        let grantors: Vec<id::Node> = grantors.into_iter().map(|key| key.node.clone()).collect();
        for target in self.peering.targets(&self.me, &self.members, &grantors, now) {
            let heartbeat = Box::new(self.make_heartbeat(target.node.as_ref(), now));
            let (to, node) = (target.address, target.node);
            out.push(action::Action::Heartbeat { to, node, heartbeat });
        }
    }
}
