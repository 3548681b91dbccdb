//! Preference: an object's order of preference among the upstreams of one service in one region.
//!
//! Owns the members of one such group and caches the most preferred members per object, so that only
//! the first request for an object visits all members. [`affinity`] provides the scores, which are
//! the same on every node.
//!
//! [`affinity`]: crate::dispatch::affinity

use std::cmp;
use std::collections;

use model::id;

use crate::dispatch::affinity;

/// Number of most preferred members that are cached for an object.
///
/// Four times `selection::MAX_CANDIDATES`, since some members may not be eligible.
const MAX_CACHED_MEMBERS: usize = 32;

/// Number of objects whose order is cached per group; the cache is cleared when it is full.
///
/// Exceeds the 672 objects of a known deployment and takes about 200 KB per group.
const MAX_CACHED_OBJECTS: usize = 1_024;

/// The upstreams of one service in one region, as positions in the index's vector of upstreams.
#[derive(Clone, Debug, Default)]
pub struct Group {
    members: Vec<(id::Upstream, usize)>,
    orders: collections::HashMap<u64, Box<[usize]>>,
}

impl Group {
    /// Adds the upstream at `position` of the index.
    pub fn add(&mut self, name: id::Upstream, position: usize) {
        self.members.push((name, position));
        self.orders.clear();
    }

    /// Iterates over the positions of all members, in no particular order.
    pub fn members(&self) -> impl Iterator<Item = usize> {
        self.members.iter().map(|(_, position)| *position)
    }

    /// Computes the order of preference of the object `key`, unless it is cached.
    pub fn prepare(&mut self, key: u64) {
        if self.orders.contains_key(&key) {
            return;
        }
        if self.orders.len() >= MAX_CACHED_OBJECTS {
            self.orders.clear();
        }
        let order = self.most_preferred(key);
        self.orders.insert(key, order);
    }

    /// Iterates over the positions of all members in the order of preference of the object `key`.
    ///
    /// Members beyond the cached ones come last, in no particular order. So do all members if the
    /// order was not [prepared](Self::prepare).
    pub fn order(&self, key: u64) -> impl Iterator<Item = usize> {
        let first = self.orders.get(&key).map_or(&[][..], |order| order);
        let others = self.members().filter(move |position| !first.contains(position));
        first.iter().copied().chain(others)
    }

    fn most_preferred(&self, key: u64) -> Box<[usize]> {
        let rank = |(name, position): &(id::Upstream, usize)| {
            (cmp::Reverse(affinity::upstream_score(key, name)), *position)
        };
        let mut ranked: Vec<_> = self.members.iter().map(rank).collect();
        if ranked.len() > MAX_CACHED_MEMBERS {
            ranked.select_nth_unstable(MAX_CACHED_MEMBERS);
            ranked.truncate(MAX_CACHED_MEMBERS);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, position)| position).collect()
    }
}
