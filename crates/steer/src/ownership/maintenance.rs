//! Table maintenance: updates a region's membership table in the store.
//!
//! Every node of the region runs it. The first by name proposes a new table at once, and each further node
//! a little later, so that usually one proposal is made. Concurrent proposals are resolved by
//! compare-and-swap.

use std::collections;
use std::time::{Duration, Instant};

use model::member;
use model::table;

use crate::ownership::heartbeat;
use crate::ownership::members;
use crate::ownership::vms;

/// Additional delay of each node over the previous one by name.
const TURN: Duration = Duration::from_millis(1_000);

/// Minimum time between two proposals of one node.
const PAUSE: Duration = Duration::from_millis(1_000);

/// Number of past epochs in a table from which it is rewritten only to remove epochs.
const LONG_PAST: usize = 4;

/// Maintains the table of this node's region.
#[derive(Debug, Default)]
pub struct Maintainer {
    wanted_since: Option<Instant>,
    proposed: Option<Instant>,
    stopped_since: collections::BTreeMap<member::Key, Instant>,
}

/// The state that decisions on the table read.
#[derive(Debug)]
pub struct View<'a> {
    /// The newest known table of the region.
    pub table: &'a table::Table,
    /// This node.
    pub me: &'a heartbeat::Member,
    /// The known nodes.
    pub members: &'a members::Members,
    /// The VM list.
    pub vms: &'a vms::List,
    /// When this node started. Listed nodes that it does not know are not removed until
    /// [`members::DEAD_AFTER`] later.
    pub started: Instant,
    /// Time after which no request that a stopped node sent can still be running.
    pub tail: Duration,
    /// The current time.
    pub now: Instant,
}

impl Maintainer {
    /// Returns a new table to propose, if one is needed and it is this node's turn.
    pub fn decide(&mut self, view: &View<'_>) -> Option<table::Table> {
        let joins = joins(view);
        let leaves = leaves(view);
        let ended = self.ended(view);
        let is_long = view.table.past.len() >= LONG_PAST && can_forget(view);
        if joins.is_empty() && leaves.is_empty() && ended.is_empty() && !is_long {
            self.wanted_since = None;
            return None;
        }
        let since = *self.wanted_since.get_or_insert(view.now);
        let is_turn = view.now.saturating_duration_since(since) >= TURN * turn(view);
        let paused = self.proposed.is_some_and(|at| view.now.saturating_duration_since(at) < PAUSE);
        if !is_turn || paused {
            return None;
        }
        self.proposed = Some(view.now);
        let known = with_settled(view);
        let joins = match known.past.len() < table::MAX_PAST_EPOCHS {
            true => joins,
            false => Vec::new(),
        };
        Some(known.next(&joins, &leaves, &ended))
    }

    /// Returns the departed nodes that have settled on a later epoch, or that have been known to be stopped
    /// for `tail`.
    fn ended(&mut self, view: &View<'_>) -> Vec<member::Key> {
        let mut ended = Vec::new();
        for departed in &view.table.departed {
            let acknowledged = view
                .members
                .incarnation(&departed.key)
                .is_some_and(|known| known.member.settled > departed.last);
            if acknowledged {
                ended.push(departed.key.clone());
                continue;
            }
            let gone = view.vms.is_gone(departed.peers.ip());
            let replaced = view.members.get(&departed.key.node).is_some_and(|known| {
                known.member.key != departed.key && known.member.peers == departed.peers
            });
            if !gone && !replaced {
                self.stopped_since.remove(&departed.key);
                continue;
            }
            let since = *self.stopped_since.entry(departed.key.clone()).or_insert(view.now);
            if view.now.saturating_duration_since(since) >= view.tail {
                ended.push(departed.key.clone());
            }
        }
        let listed = |key: &member::Key| view.table.departed.iter().any(|d| d.key == *key);
        self.stopped_since.retain(|key, _| listed(key));
        ended
    }
}

/// Returns the live nodes of the region that are not in the table.
fn joins(view: &View<'_>) -> Vec<member::Listed> {
    let in_region = view.members.alive(view.now).map(|k| &k.member);
    in_region
        .filter(|m| m.region == view.me.region && !m.is_leaving)
        .filter(|m| view.table.find(&m.key).is_none())
        .map(|m| member::Listed {
            key: m.key.clone(),
            hall: m.hall.clone(),
            peers: m.peers,
            callers: m.callers,
            settled: view.table.epoch.next(),
        })
        .collect()
}

/// Returns the listed nodes that are leaving, replaced, unknown or dead.
fn leaves(view: &View<'_>) -> Vec<member::Key> {
    let running_for = view.now.saturating_duration_since(view.started);
    let leaves = |listed: &&member::Listed| match view.members.get(&listed.key.node) {
        Some(known) if known.member.key != listed.key => true,
        Some(known) if known.member.is_leaving => true,
        Some(known) => known.is_dead(view.now),
        None => running_for >= members::DEAD_AFTER,
    };
    view.table.listed.iter().filter(leaves).map(|s| s.key.clone()).collect()
}

/// Returns the table with the latest epochs that its nodes have settled on.
fn with_settled(view: &View<'_>) -> table::Table {
    let mut table = view.table.clone();
    let known = |key: &member::Key| view.members.incarnation(key).map(|k| k.member.settled);
    for listed in &mut table.listed {
        listed.settled = known(&listed.key).map_or(listed.settled, |s| s.max(listed.settled));
    }
    for departed in &mut table.departed {
        let settled = departed.settled;
        departed.settled = known(&departed.key).map_or(settled, |s| s.max(settled));
    }
    table
}

fn can_forget(view: &View<'_>) -> bool {
    with_settled(view).lowest_epoch_in_use() > view.table.lowest_epoch_in_use()
}

/// Returns the number of live nodes of the region that precede this one by name.
fn turn(view: &View<'_>) -> u32 {
    let alive = view.members.alive(view.now).map(|k| &k.member);
    let before = alive.filter(|m| m.region == view.me.region && m.key < view.me.key);
    u32::try_from(before.count()).unwrap_or(u32::MAX)
}
