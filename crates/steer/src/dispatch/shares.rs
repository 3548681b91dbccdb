//! Shares: which part of a region's requests for a service each region should run.
//!
//! Regions are taken to have equal demand. A region keeps what its part of all slots can carry, and
//! sends the rest to regions with more than their own demand needs, in proportion to what they have
//! to spare.

use model::id;

use crate::common::split;

/// Usable slots of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// The region.
    pub region: id::Region,
    /// Slots of its upstreams that take work.
    pub slots: f64,
}

/// Returns the split of requests that enter in `from`; empty when no region has slots.
///
/// `capacities` holds the regions that may serve them.
#[must_use]
pub fn target(from: &id::Region, capacities: &[Capacity]) -> split::Split {
    let total: f64 = capacities.iter().map(|c| c.slots).sum();
    if total <= 0.0 {
        return split::Split::default();
    }
    #[expect(clippy::cast_precision_loss, reason = "a handful of regions")]
    let demand = 1.0 / capacities.len() as f64;
    let spare = |c: &Capacity| (c.slots / total - demand).max(0.0);
    let own = capacities.iter().find(|c| c.region == *from).map_or(0.0, |c| c.slots / total);
    let kept = (own / demand).min(1.0);
    let all_spare: f64 = capacities.iter().filter(|c| c.region != *from).map(spare).sum();
    let weight = |c: &Capacity| match c.region == *from {
        true => kept,
        false if all_spare > 0.0 => (1.0 - kept) * spare(c) / all_spare,
        false => (1.0 - kept) * c.slots / total,
    };
    let weights: Vec<_> = capacities.iter().map(|c| (c.region.clone(), weight(c))).collect();
    split::Split::new(&weights)
}
