//! Publication: the view that other threads read, and the log lines of what changed.
//!
//! Owns when a new view is made. Relies on the core for its content.

use std::collections;
use std::sync;
use std::time::Instant;

use model::id;
use steer::ownership::core;

use super::EventLoop;
use crate::owner::view;

/// Nodes of a region, first by name, that watch the store for it. Not measured; one may be missing.
const WATCHERS: usize = 2;

impl EventLoop {
    /// Publishes a new view and logs what changed since the last.
    pub(super) fn publish(&mut self, now: Instant) {
        let core = &self.core;
        if self.config.revision() < core.snapshot.revision {
            let snapshot = sync::Arc::clone(&core.snapshot);
            self.config = sync::Arc::new(view::Config::new(snapshot));
        }
        self.log_changes(now);
        let core = &self.core;
        let view = view::View {
            me: core.me.key.clone(),
            region: core.me.region.clone(),
            is_ready: core.is_ready(now),
            is_leaving: core.me.is_leaving,
            is_done: core.is_done(),
            config: sync::Arc::clone(&self.config),
            nodes: nodes(core, now),
            lagging: core.lagging(core.snapshot.revision, now),
            in_use: core.in_use(now),
            is_watcher: is_watcher(core, now),
        };
        self.outputs.view.send_replace(sync::Arc::new(view));
    }

    fn log_changes(&mut self, now: Instant) {
        let me = &self.core.me;
        let current = (me.revision, me.epoch, self.core.is_ready(now));
        if current.0 != self.logged.0 {
            log::info!(node = me.key.node.as_str(), revision = current.0.0; "config-adopted");
        }
        if current.1 != self.logged.1 {
            let region = me.region.as_str();
            let seats = self.core.tables.get(&me.region).map_or(0, |t| t.listed.len());
            log::info!(
                node = me.key.node.as_str(), region, epoch = current.1.0, seats;
                "table-adopted"
            );
        }
        if current.2 != self.logged.2 {
            log::info!(node = me.key.node.as_str(), ready = current.2; "ready-changed");
        }
        self.logged = current;
    }
}

/// Returns the nodes that are known, by region.
fn nodes(core: &core::Core, now: Instant) -> collections::BTreeMap<id::Region, Vec<view::Node>> {
    let mut nodes: collections::BTreeMap<_, Vec<view::Node>> = collections::BTreeMap::new();
    let others = core.members.iter().filter(|k| k.member.key.node != core.me.key.node);
    let others = others.map(|k| (&k.member, k.is_alive(now)));
    for (member, is_alive) in others.chain([(&core.me, true)]) {
        nodes.entry(member.region.clone()).or_default().push(view::Node {
            key: member.key.clone(),
            callers: member.callers,
            peers: member.peers,
            is_alive,
            is_leaving: member.is_leaving,
        });
    }
    for of_region in nodes.values_mut() {
        of_region.sort_by(|a, b| a.key.cmp(&b.key));
    }
    nodes
}

fn is_watcher(core: &core::Core, now: Instant) -> bool {
    let others = core.members.alive(now).map(|k| &k.member);
    let before = others.filter(|m| m.region == core.me.region && m.key < core.me.key);
    before.count() < WATCHERS
}
