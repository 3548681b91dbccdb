//! Representatives: the few nodes of a region that exchange reports with other regions.
//!
//! The traffic of a node therefore grows with its region and not with the fleet. The
//! representatives of a region are its first live nodes, ordered by ID; the first of them forwards
//! the aggregated reports to the remaining nodes. In regions with at most [`PER_REGION`] nodes, all
//! nodes are representatives.

use std::collections;

use model::id;

/// Number of representatives per region.
pub const PER_REGION: usize = 6;

/// Returns whether `me` is a representative.
///
/// `others` are the other live nodes of its region that are not leaving.
pub fn contains<'a>(me: &id::Node, others: impl Iterator<Item = &'a id::Node>) -> bool {
    others.filter(|node| *node < me).count() < PER_REGION
}

/// Returns whether `me` is the first representative, which forwards the aggregated reports.
pub fn is_first<'a>(me: &id::Node, mut others: impl Iterator<Item = &'a id::Node>) -> bool {
    !others.any(|node| node < me)
}

/// Returns the nodes that are not representatives, given the `others` ordered by ID as the first
/// representative sees them.
pub fn rest<T>(others: impl Iterator<Item = T>) -> Vec<T> {
    others.skip(PER_REGION - 1).collect()
}

/// Returns the representatives of all regions, given the live `members` ordered by ID.
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

/// Returns the listed nodes of another region to contact at the `turn`-th heartbeat in order to
/// discover that region.
///
/// Fills up the `alive` nodes of the region to [`PER_REGION`] with its listed but not live nodes,
/// `silent`. Each turn continues where the previous one ended.
#[must_use]
pub fn contacts<T: Copy>(alive: usize, silent: &[T], turn: u64) -> Vec<T> {
    let missing = PER_REGION.saturating_sub(alive);
    let start = usize::try_from(turn).unwrap_or(0).wrapping_mul(missing);
    let indexes = (0..missing.min(silent.len())).map(|index| start.wrapping_add(index));
    indexes.map(|index| silent[index % silent.len()]).collect()
}
