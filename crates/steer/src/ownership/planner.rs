//! The planner: computes the target split of each place's requests for one service.
//!
//! A pure function of configuration and measurements, so that nodes with the same inputs compute the same
//! targets. Each place's demand fills its nearest region up to [`MARGIN`] of the usable slots, then the
//! next nearest, and so on. Demand that fits nowhere is distributed in proportion to the capacities, and
//! the owners refuse what exceeds their slots.

use std::collections;

use model::id;

use crate::common::split;

/// Fraction of a region's usable slots that the planner fills; the rest is headroom for surges.
pub const MARGIN: f64 = 0.85;

/// Minimum demand of a place, in slots, so that an idle place has a split too. Too small to affect the
/// splits of other places.
const LEAST_DEMAND: f64 = 1e-6;

/// The demand of one place for one service.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The place.
    pub place: id::Place,
    /// Slots that its requests occupy on average.
    pub slots: f64,
    /// The reachable regions, nearest first, each with the limit of its link in slots.
    pub links: Vec<(id::Region, f64)>,
}

/// Returns the target split of each place.
#[must_use]
pub fn plan(
    capacities: &collections::BTreeMap<id::Region, f64>,
    demands: &[Demand],
) -> collections::BTreeMap<id::Place, split::Split> {
    let mut free_slots: collections::BTreeMap<&id::Region, f64> =
        capacities.iter().map(|(region, slots)| (region, slots * MARGIN)).collect();
    let mut placements: Vec<Placement<'_>> = demands.iter().map(Placement::new).collect();
    let levels = demands.iter().map(|d| d.links.len()).max().unwrap_or(0);
    for level in 0..levels {
        fill_level(level, &mut free_slots, &mut placements);
    }
    placements
        .into_iter()
        .map(|placement| (placement.demand.place.clone(), placement.finish(capacities)))
        .collect()
}

/// The assignment of one place's demand to regions.
struct Placement<'a> {
    demand: &'a Demand,
    remaining: f64,
    placed: Vec<(id::Region, f64)>,
}

impl<'a> Placement<'a> {
    fn new(demand: &'a Demand) -> Self {
        Self { demand, remaining: demand.slots.max(LEAST_DEMAND), placed: Vec::new() }
    }

    /// Returns the region at `level` of the links, and the slots requested there.
    fn request(&self, level: usize) -> Option<(&'a id::Region, f64)> {
        let (region, limit) = self.demand.links.get(level)?;
        Some((region, self.remaining.min(*limit)))
    }

    fn place(&mut self, region: &id::Region, slots: f64) {
        if slots > 0.0 {
            self.remaining = (self.remaining - slots).max(0.0);
            self.placed.push((region.clone(), slots));
        }
    }

    /// Distributes the remaining demand in proportion to the capacities, and returns the split.
    fn finish(mut self, capacities: &collections::BTreeMap<id::Region, f64>) -> split::Split {
        let reached = self.demand.links.iter().map(|(region, _)| region);
        let reached: Vec<(&id::Region, f64)> = reached
            .filter_map(|region| capacities.get(region).map(|slots| (region, *slots)))
            .collect();
        let total: f64 = reached.iter().map(|(_, slots)| slots).sum();
        if self.remaining > LEAST_DEMAND / 2.0 && total > 0.0 {
            let remaining = self.remaining;
            for (region, slots) in reached {
                self.place(region, remaining * slots / total);
            }
        }
        split::Split::new(&self.placed)
    }
}

/// Assigns the slots that places request at `level`, scaled down in regions with too few free slots.
fn fill_level(
    level: usize,
    free_slots: &mut collections::BTreeMap<&id::Region, f64>,
    placements: &mut [Placement<'_>],
) {
    let mut requested: collections::BTreeMap<&id::Region, f64> = collections::BTreeMap::new();
    for (region, slots) in placements.iter().filter_map(|placement| placement.request(level)) {
        *requested.entry(region).or_insert(0.0) += slots;
    }
    for placement in placements.iter_mut() {
        let Some((region, slots)) = placement.request(level) else { continue };
        let free = free_slots.get(region).copied().unwrap_or(0.0);
        let total = requested.get(region).copied().unwrap_or(0.0);
        let part = if total > free { free / total } else { 1.0 };
        placement.place(region, slots * part);
    }
    for (region, slots) in requested {
        if let Some(free) = free_slots.get_mut(region) {
            *free = (*free - slots).max(0.0);
        }
    }
}
