//! Owners look-up: which nodes of a region can run a service's requests, as an entry sees them.
//!
//! Owns the rule for an owner that is silent. Relies on [`rendezvous`] for the ranks and on the caller
//! for who is alive.

use std::collections;
use std::net;

use model::id;
use model::member;
use model::service;
use model::table;

use crate::ownership::rendezvous;
use crate::ownership::share;
use model::upstream;

/// A node that is owner of upstreams of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The node.
    pub key: member::Key,
    /// Where it listens for peers.
    pub peers: net::SocketAddr,
    /// Slots it can be expected to use.
    pub weight: u32,
}

/// Returns the owners of `service` in the region of `table`, counting only nodes that are alive.
///
/// While an owner is silent, the next ranked node that is alive takes requests for its own share.
#[must_use]
pub fn find(
    table: &table::Table,
    service: &service::Service,
    is_alive: &dyn Fn(&member::Key) -> bool,
) -> Vec<Owner> {
    let mut weights: collections::BTreeMap<&member::Key, u32> = collections::BTreeMap::new();
    for upstream in service.upstreams.iter().filter(|u| u.region == table.region) {
        let key = upstream::Key { service: service.name.clone(), upstream: upstream.name.clone() };
        let ranked = rendezvous::top(&key, table.listed.iter().map(|s| &s.key));
        let ranks = ranked.len();
        let first_alive = ranked.into_iter().enumerate().find(|(_, key)| is_alive(key));
        match first_alive {
            Some((0, key)) => *weights.entry(key).or_insert(0) += upstream.slots,
            Some((rank, key)) => {
                *weights.entry(key).or_insert(0) += share::of(upstream.slots, rank, ranks);
            }
            None => {}
        }
    }
    let owner = |(key, weight): (&member::Key, u32)| {
        let listed = table.find(key)?;
        Some(Owner { key: key.clone(), peers: listed.peers, weight })
    };
    weights.into_iter().filter_map(owner).filter(|h| h.weight > 0).collect()
}

/// Returns whether `region` is named by any upstream of the service.
#[must_use]
pub fn serves(service: &service::Service, region: &id::Region) -> bool {
    service.upstreams.iter().any(|u| u.region == *region)
}
