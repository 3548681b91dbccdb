//! Load of other nodes: what they report, and what this node reports to them.

use std::time::Instant;

use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::peer_load;

impl Dispatcher {
    /// Returns what this node has in flight, by upstream.
    #[must_use]
    pub fn in_flight(&self) -> Vec<(peer_load::Key, u32)> {
        let busy = self.upstreams.values().filter(|u| u.load.in_flight() > 0);
        busy.map(|u| (peer_load::Key::of(&u.entry.id), u.load.in_flight())).collect()
    }

    /// Returns what the `wanted` ones of other nodes have in flight together, by upstream.
    #[must_use]
    pub fn peer_load(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Vec<(peer_load::Key, u32)> {
        self.peers.sum(wanted, now)
    }

    /// Replaces the report of another node's requests in flight.
    pub fn set_peer_load(
        &mut self,
        node: id::Node,
        requests: Vec<(peer_load::Key, u32)>,
        now: Instant,
    ) {
        self.peers.report(node, requests, now);
        self.apply_peer_load(now);
    }

    pub(super) fn apply_peer_load(&mut self, now: Instant) {
        let totals = self.peers.totals(now);
        for upstream in self.upstreams.values_mut() {
            let key = peer_load::Key::of(&upstream.entry.id);
            upstream.load.set_peers(totals.get(&key).copied().unwrap_or(0));
        }
    }
}
