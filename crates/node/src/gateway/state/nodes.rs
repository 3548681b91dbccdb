//! Duties of this node in the fleet, derived from the known members.
//!
//! [`steer::dispatch::fleet`] makes each decision; this module provides the members as its inputs.

use std::sync;
use std::time::{Duration, Instant};

use model::id;
use rand::RngExt as _;
use steer::dispatch::fleet::{announcement, store_call, watchers};
use steer::dispatch::slow_start_owner;

use crate::gateway::member;
use crate::gateway::members;
use crate::gateway::replica;
use crate::gateway::state::State;
use crate::gateway::state::update;

impl State {
    /// Replaces the nodes registered in the store.
    pub(super) fn list_nodes(&self, replica: &replica::Replica) {
        // A malformed entry was logged when it was merged; heartbeats still make its node known.
        let listed = replica.nodes().filter_map(|listed| {
            let member::Member { node, region, callers, peers, .. } = listed.member.clone()?;
            Some((node, members::Listed { region, callers, peers }))
        });
        let own = self.settings.borrow().node.clone();
        let listed = listed.filter(|(node, _)| *node != own).collect();
        self.members.borrow_mut().set_listed(listed);
    }

    /// Returns whether this node announces a change from `source` immediately.
    pub(super) fn announces(&self, source: update::Source) -> bool {
        let near = self.members.borrow().near_count();
        let draw = |nodes| rand::rng().random_range(0..nodes);
        announcement::is_immediate(source == update::Source::NearPeer, near, draw)
    }

    /// Returns whether the settings contain a seed other than this node.
    #[must_use]
    pub fn has_seeds(&self) -> bool {
        let settings = self.settings.borrow();
        settings.seeds.iter().any(|seed| *seed != settings.listen.peers)
    }

    /// Returns the place of this node among the watchers of the store; `None` if it should not watch.
    #[must_use]
    pub fn watcher_place(&self) -> Option<watchers::Place> {
        watchers::place(&self.me.borrow().node, self.reaching().iter())
    }

    /// Returns this node's turn to call the store while no node reaches the store.
    #[must_use]
    pub fn turn(&self) -> store_call::Turn {
        let members = self.members.borrow();
        let others = members.staying(Instant::now()).map(|m| &m.node);
        watchers::turn(&self.me.borrow().node, others)
    }

    /// Returns the delay before this node reads the whole store in a new era.
    #[must_use]
    pub fn read_turn(&self) -> Duration {
        let members = self.members.borrow();
        let others = members.staying(Instant::now()).map(|m| &m.node);
        watchers::read_delay(&self.me.borrow().node, others)
    }

    /// Returns whether the copy of the store lists this node among the first watchers of its region.
    ///
    /// Such a node restarts in a fleet whose names it knows, and need not wait for heartbeats before it watches.
    #[must_use]
    pub fn is_first_listed(&self) -> bool {
        let (members, me) = (self.members.borrow(), self.me.borrow());
        let listed = members.listed_names().get(&me.region).into_iter().flatten();
        let is_listed = self.replica.borrow().nodes().any(|listed| listed.name == me.node);
        is_listed && watchers::place(&me.node, listed).is_some()
    }

    /// Returns the delay before this node asks the store for the changes since it read its copy.
    #[must_use]
    pub fn confirmation_turn(&self) -> Duration {
        let members = self.members.borrow();
        let me = self.me.borrow();
        let listed = members.listed_names().get(&me.region).into_iter().flatten();
        watchers::confirmation_delay(&me.node, listed)
    }

    /// Returns the other live nodes of the region that report that they reach the store.
    pub(super) fn reaching(&self) -> Vec<id::Node> {
        let members = self.members.borrow();
        let reaching = members.staying(Instant::now()).filter(|m| m.is_store_reached);
        reaching.map(|m| m.node.clone()).collect()
    }

    /// Passes the known nodes to the dispatcher, for slow start and the retry budget, and to the quotas.
    ///
    /// Only nodes of the active set own cold upstreams, since the others receive few requests; a node
    /// that cannot connect to some service owns none while there are others.
    pub fn update_nodes(&self) {
        let now = Instant::now();
        let members = self.members.borrow();
        let me = self.me.borrow();
        let active = members.active(&me, now);
        let reaching = active.iter().filter(|m| m.connectivity.reaches_all());
        let reaching: Vec<id::Node> = reaching.map(|m| m.node.clone()).collect();
        let mut near = match reaching.is_empty() {
            true => active.iter().map(|m| m.node.clone()).collect(),
            false => reaching,
        };
        // Otherwise each of several nodes that start together considers itself the only owner.
        if self.is_starting(now) {
            near.extend(members.unheard().cloned());
        }
        let owners =
            slow_start_owner::Owners { near, listed: sync::Arc::clone(members.listed_names()) };
        let others = members.count();
        self.slots.forget_owners(|node| members.is_known(node));
        self.dispatcher.borrow_mut().set_nodes(owners, others + 1, now);
        drop(members);
        let is_store_known = self.is_store_known();
        let mut quotas = self.quotas.borrow_mut();
        quotas.set_others(others);
        quotas.set_store_known(is_store_known);
        self.dispatcher.borrow_mut().set_contact(others, is_store_known);
    }
}
