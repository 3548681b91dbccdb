//! Adoption: applies configurations, membership tables and the VM list, and recomputes owners and
//! allotments after a change.
//!
//! Configurations and tables are never replaced by older ones.

use std::sync;
use std::time::Instant;

use model::epoch;
use model::member;
use model::snapshot;
use model::table;

use super::Core;
use crate::ownership::members;
use crate::ownership::vms;

impl Core {
    /// Adopts a configuration if it is newer than the current one.
    pub(super) fn configure(&mut self, snapshot: sync::Arc<snapshot::Snapshot>) {
        if snapshot.revision <= self.snapshot.revision {
            return;
        }
        self.owner.configure(&snapshot, &self.me.region);
        self.me.revision = snapshot.revision;
        self.snapshot = snapshot;
        self.owner.update_drains(&self.snapshot, &self.vms, self.wall);
        self.is_stale = true;
    }

    /// Adopts a region's table if it is newer than the known one.
    pub(super) fn adopt(&mut self, table: sync::Arc<table::Table>, is_stored: bool) {
        let is_own = table.region == self.me.region;
        self.has_stored_table |= is_own && is_stored;
        let known = self.tables.get(&table.region).map_or(epoch::Epoch(0), |t| t.epoch);
        if table.epoch <= known {
            return;
        }
        if is_own {
            self.me.epoch = table.epoch;
        }
        self.members.apply_table(&table);
        self.tables.insert(table.region.clone(), table);
        self.is_stale = true;
    }

    pub(super) fn apply_vms(&mut self, list: vms::List) {
        self.vms = list;
        self.owner.update_drains(&self.snapshot, &self.vms, self.wall);
    }

    /// Recomputes the allotments, and the owners if a table, the configuration or the set of live nodes
    /// changed.
    pub(super) fn refresh(&mut self, now: Instant) {
        let alive: Vec<member::Key> =
            self.members.alive(now).map(|k| k.member.key.clone()).collect();
        let is_changed = self.is_stale || alive != self.alive;
        self.alive = alive;
        self.is_stale = false;
        if is_changed {
            let me = &self.me.key;
            let members = &self.members;
            let is_alive = |key: &member::Key| {
                key == me || members.incarnation(key).is_some_and(|k| k.is_alive(now))
            };
            self.router.update_owners(&self.snapshot, &self.tables, &is_alive);
        }
        self.update_allotments();
    }

    fn update_allotments(&mut self) {
        let Some(table) = self.tables.get(&self.me.region) else { return };
        let members = &self.members;
        let settled = |key: &member::Key| settled(table, members, key);
        self.owner.update_allotments(table, &self.me.key, &settled);
    }
}

/// Returns the lowest epoch that a node may still act on, according to the table and to the node's own
/// description.
fn settled(table: &table::Table, members: &members::Members, key: &member::Key) -> epoch::Epoch {
    let listed = table.find(key).map(|s| s.settled);
    let departed = table.departed.iter().find(|d| d.key == *key).map(|d| d.settled);
    let in_table = listed.or(departed).unwrap_or_default();
    let described = members.incarnation(key).map(|k| k.member.settled).unwrap_or_default();
    in_table.max(described)
}
