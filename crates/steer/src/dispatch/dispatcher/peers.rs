//! Peer load: the requests in flight that other nodes report, and this node's own report.

use std::time::Instant;

use model::id;

use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::pace;
use crate::dispatch::peer_load;

impl Dispatcher {
    /// Returns this node's requests in flight, by upstream.
    #[must_use]
    pub fn in_flight(&mut self) -> Vec<(peer_load::Key, u32)> {
        let upstreams = &self.upstreams;
        let in_flight = |name: &id::Upstream| upstreams.get(name).map_or(0, |u| u.load.in_flight());
        self.busy.retain(|name| in_flight(name) > 0);
        let busy = self.busy.iter().filter_map(|name| upstreams.get(name));
        busy.map(|u| (u.key, u.load.in_flight())).collect()
    }

    /// Returns the total requests in flight of the other nodes selected by `wanted`, by upstream.
    #[must_use]
    pub fn peer_load(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Vec<(peer_load::Key, u32)> {
        self.peers.sum(wanted, now)
    }

    /// Replaces another node's report of its requests in flight.
    pub fn set_peer_load(
        &mut self,
        node: id::Node,
        requests: Vec<(peer_load::Key, u32)>,
        now: Instant,
    ) {
        let changed = self.peers.report(node, requests, now);
        self.apply_peer_load(&changed, now);
    }

    /// Returns the upstreams on which work takes long, as seen in this node's answers since its last report.
    pub fn slow_upstreams(&mut self, now: Instant) -> Vec<pace::Slow> {
        self.paces.report(now)
    }

    /// Records the upstreams on which work takes long, as another node saw.
    pub fn set_peer_slow_upstreams(&mut self, slow: &[pace::Slow], now: Instant) {
        for observed in slow {
            self.upstreams.update_by_key(observed.upstream, |upstream| {
                upstream.pace.record_peer(observed.percent, now);
            });
        }
    }

    /// Drops expired reports.
    pub(super) fn expire_peer_load(&mut self, now: Instant) {
        let changed = self.peers.expire(now);
        self.apply_peer_load(&changed, now);
    }

    /// Updates the upstreams whose total over all other nodes `changed`.
    fn apply_peer_load(&mut self, changed: &[peer_load::Key], now: Instant) {
        for key in changed {
            let requests = self.peers.total(*key);
            self.upstreams.update_by_key(*key, |upstream| upstream.load.set_peers(requests, now));
        }
    }
}
