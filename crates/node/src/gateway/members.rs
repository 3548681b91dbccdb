//! Which nodes are alive, by their heartbeats.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use model::id;

use crate::gateway::member;

/// Silence after which a node counts as dead; three heartbeats.
pub const DEAD_AFTER: Duration = Duration::from_millis(1_600);

/// Silence after which a node that is in no list is forgotten.
const FORGOTTEN_AFTER: Duration = Duration::from_secs(20);

/// A node, and when it was last heard.
#[derive(Clone, Debug)]
struct Known {
    member: member::Member,
    heard: Instant,
}

/// The nodes of the fleet as this node knows them, itself left out.
#[derive(Clone, Debug, Default)]
pub struct Members {
    heard: collections::BTreeMap<id::Node, Known>,
    listed: collections::BTreeMap<id::Node, net::SocketAddr>,
}

impl Members {
    /// Notes a heartbeat; returns whether the node was not alive before.
    ///
    /// A heartbeat that is older than the last one heard is passed over.
    pub fn hear(&mut self, member: member::Member, now: Instant) -> bool {
        let before = self.heard.get(&member.node);
        let order = |m: &member::Member| (m.incarnation, m.sequence);
        if before.is_some_and(|known| order(&known.member) >= order(&member)) {
            return false;
        }
        let was_alive = before.is_some_and(|known| is_alive(known, now));
        self.heard.insert(member.node.clone(), Known { member, heard: now });
        !was_alive
    }

    /// Takes the nodes that the store lists, with their addresses for peers.
    pub fn set_listed(&mut self, listed: collections::BTreeMap<id::Node, net::SocketAddr>) {
        self.listed = listed;
    }

    /// Forgets nodes that have long been silent.
    pub fn forget(&mut self, now: Instant) {
        let is_recent =
            |known: &Known| now.saturating_duration_since(known.heard) < FORGOTTEN_AFTER;
        self.heard.retain(|_, known| is_recent(known));
    }

    /// Returns the living nodes.
    pub fn alive(&self, now: Instant) -> impl Iterator<Item = &member::Member> {
        self.heard.values().filter(move |known| is_alive(known, now)).map(|known| &known.member)
    }

    /// Returns the addresses to send heartbeats to.
    #[must_use]
    pub fn addresses(&self) -> collections::BTreeSet<net::SocketAddr> {
        let heard = self.heard.values().map(|known| known.member.peers);
        heard.chain(self.listed.values().copied()).collect()
    }

    /// Returns how many other nodes there are, living or listed.
    #[must_use]
    pub fn count(&self) -> usize {
        let names: collections::BTreeSet<&id::Node> =
            self.heard.keys().chain(self.listed.keys()).collect();
        names.len()
    }
}

fn is_alive(known: &Known, now: Instant) -> bool {
    now.saturating_duration_since(known.heard) < DEAD_AFTER
}
