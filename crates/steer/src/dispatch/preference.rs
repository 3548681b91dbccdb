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
    /// Adds the upstream at `position` of the index; `name_of` returns the names of the other members.
    ///
    /// Cached orders stay and take it in, so that a change costs no visit of all members.
    pub fn add<'a>(
        &mut self,
        name: id::Upstream,
        position: usize,
        name_of: impl Fn(usize) -> Option<&'a id::Upstream>,
    ) {
        for (key, order) in &mut self.orders {
            let added = rank(*key, &name, position);
            let of = |position: usize| name_of(position).map(|name| rank(*key, name, position));
            let place = order.partition_point(|known| of(*known).is_some_and(|rank| rank < added));
            if place < MAX_CACHED_MEMBERS {
                let mut changed = order.to_vec();
                changed.insert(place, position);
                changed.truncate(MAX_CACHED_MEMBERS);
                *order = changed.into();
            }
        }
        self.members.push((name, position));
    }

    /// Removes the upstream at `position` of the index.
    pub fn remove(&mut self, position: usize) {
        if let Some(index) = self.members.iter().position(|(_, known)| *known == position) {
            self.members.swap_remove(index);
        }
        self.orders.retain(|_, order| !order.contains(&position));
    }

    /// Returns whether the group has no members.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
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
        let mut ranked: Vec<Rank> =
            self.members.iter().map(|(name, position)| rank(key, name, *position)).collect();
        if ranked.len() > MAX_CACHED_MEMBERS {
            ranked.select_nth_unstable(MAX_CACHED_MEMBERS);
            ranked.truncate(MAX_CACHED_MEMBERS);
        }
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, position)| position).collect()
    }
}

/// Place of a member in an order: by its score, and by its position where scores are equal.
type Rank = (cmp::Reverse<u64>, usize);

fn rank(key: u64, name: &id::Upstream, position: usize) -> Rank {
    (cmp::Reverse(affinity::upstream_score(key, name)), position)
}
