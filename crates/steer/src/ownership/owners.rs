//! Owner look-up: finds the nodes of a region that can run a service's requests.
//!
//! The nodes are ranked by [`rendezvous`] hashing. The caller supplies which of them are alive.

use std::collections;
use std::net;

use model::id;
use model::member;
use model::service;
use model::table;

use crate::ownership::rendezvous;
use crate::ownership::share;
use model::upstream;

/// A node that owns upstreams of one service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Owner {
    /// The node.
    pub key: member::Key,
    /// The address it listens on for peers.
    pub peers: net::SocketAddr,
    /// Number of slots it is expected to have.
    pub weight: u32,
}

/// Returns the owners of `service` in the region of `table` that are alive.
///
/// While an owner is silent, the next ranked node that is alive replaces it, with the slots of its own
/// share only.
#[must_use]
pub fn find(
    table: &table::Table,
    service: &service::Service,
    is_alive: &dyn Fn(&member::Key) -> bool,
) -> Vec<Owner> {
    let mut weights: collections::BTreeMap<&member::Key, u32> = collections::BTreeMap::new();
    for upstream in service.upstreams.iter().filter(|u| u.region == table.region) {
        let key = upstream::Key { service: service.name.clone(), upstream: upstream.name.clone() };
        let ranked = rendezvous::rank(&key, table.listed.iter().map(|s| &s.key));
        let ranks = ranked.len();
        let first_alive = ranked.into_iter().enumerate().find(|(_, key)| is_alive(key));
        match first_alive {
            Some((0, key)) => *weights.entry(key).or_insert(0) += upstream.slots,
            Some((rank, key)) => {
                *weights.entry(key).or_insert(0) += share::of_rank(upstream.slots, rank, ranks);
            }
            None => {}
        }
    }
    let owner = |(key, weight): (&member::Key, u32)| {
        let listed = table.find(key)?;
        Some(Owner { key: key.clone(), peers: listed.peers, weight })
    };
    weights.into_iter().filter_map(owner).filter(|owner| owner.weight > 0).collect()
}

/// Returns whether the service has an upstream in `region`.
#[must_use]
pub fn serves(service: &service::Service, region: &id::Region) -> bool {
    service.upstreams.iter().any(|u| u.region == *region)
}
