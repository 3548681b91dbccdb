//! Representatives: the few nodes of a region that exchange reports with other regions.
//!
//! So what a node sends and receives grows with its region and not with the fleet. A region's
//! representatives are the first of its living nodes by name; the first of them forwards the sums for the
//! rest. With no more nodes in a region than representatives, all exchange reports with all.

use std::collections;

use model::id;

/// Representatives of a region.
///
/// Measured: docs/measurements/platform.md, row "speakers tell between regions", and the sweep to 300 nodes
/// in docs/CAPACITY.md; other counts were not measured.
pub const PER_REGION: usize = 6;

/// Returns whether `me` is a representative.
///
/// `others` are the living nodes of its region, but `me`, that do not leave.
pub fn contains<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> bool {
    others.filter(|node| *node < me).count() < PER_REGION
}

/// Returns whether `me` is the first representative, which forwards the sums for the rest.
pub fn is_first<'a>(me: &id::Node, mut others: impl Iterator<Item = &'a id::Node>) -> bool {
    !others.any(|node| node < me)
}

/// Returns the nodes that are no representatives, of the `others` that the first one sees by name.
pub fn rest<T>(others: impl Iterator<Item = T>) -> Vec<T> {
    others.skip(PER_REGION - 1).collect()
}

/// Returns the representatives of each region, of living `members` by name.
pub fn of_regions<'a, T>(members: impl Iterator<Item = (&'a id::Region, T)>) -> Vec<T> {
    let mut by_region: collections::BTreeMap<&id::Region, Vec<T>> = collections::BTreeMap::new();
    for (region, member) in members {
        let of_region = by_region.entry(region).or_default();
        if of_region.len() < PER_REGION {
            of_region.push(member);
        }
    }
    by_region.into_values().flatten().collect()
}

/// Returns the listed nodes of another region to contact at the `turn`-th heartbeat, to find it.
///
/// As many as the region's `alive` nodes fall short of its representatives; `silent` are its listed nodes
/// that are not alive, and each turn continues after the one before.
#[must_use]
pub fn contacts<T: Copy>(alive: usize, silent: &[T], turn: u64) -> Vec<T> {
    let missing = PER_REGION.saturating_sub(alive);
    let start = usize::try_from(turn).unwrap_or(0).wrapping_mul(missing);
    let turned = (0..missing.min(silent.len())).map(|index| start.wrapping_add(index));
    turned.map(|index| silent[index % silent.len()]).collect()
}
