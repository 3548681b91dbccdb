//! The planner: where each place's requests for one service should go.
//!
//! A pure function of configuration and measurements, so that nodes which know the same plan the
//! same. Regions are filled nearest first up to a margin of their usable slots; what does not fit
//! goes on to the next nearest. When nothing has room the rest follows the capacities, and the
//! owners refuse what they cannot hold. Owns the margin. Relies on [`split`] for the result.

use std::collections;

use model::id;

use crate::common::split;

/// Part of a region's usable slots that the planner fills, so that a surge finds headroom. Not
/// measured.
pub const MARGIN: f64 = 0.85;

/// Demand of a place that sent nothing lately, in slots: too little to move the split of another.
const LEAST_DEMAND: f64 = 1e-6;

/// What one place asks of one service.
#[derive(Clone, Debug)]
pub struct Demand {
    /// The place.
    pub place: id::Place,
    /// Slots its requests would hold.
    pub slots: f64,
    /// The regions it reaches, nearest first, each with the slots its link carries.
    pub links: Vec<(id::Region, f64)>,
}

/// Returns the target split of each place.
#[must_use]
pub fn plan(
    capacities: &collections::BTreeMap<id::Region, f64>,
    demands: &[Demand],
) -> collections::BTreeMap<id::Place, split::Split> {
    let mut room: collections::BTreeMap<&id::Region, f64> =
        capacities.iter().map(|(region, slots)| (region, slots * MARGIN)).collect();
    let mut placements: Vec<Placement<'_>> = demands.iter().map(Placement::new).collect();
    let levels = demands.iter().map(|d| d.links.len()).max().unwrap_or(0);
    for level in 0..levels {
        fill_level(level, &mut room, &mut placements);
    }
    placements
        .into_iter()
        .map(|placement| (placement.demand.place.clone(), placement.finish(capacities)))
        .collect()
}

/// One place's demand while it is being placed.
struct Placement<'a> {
    demand: &'a Demand,
    left: f64,
    placed: Vec<(id::Region, f64)>,
}

impl<'a> Placement<'a> {
    fn new(demand: &'a Demand) -> Self {
        Self { demand, left: demand.slots.max(LEAST_DEMAND), placed: Vec::new() }
    }

    /// Returns the region at `level` and what this place would send there.
    fn request(&self, level: usize) -> Option<(&'a id::Region, f64)> {
        let (region, limit) = self.demand.links.get(level)?;
        Some((region, self.left.min(*limit)))
    }

    fn place(&mut self, region: &id::Region, slots: f64) {
        if slots > 0.0 {
            self.left = (self.left - slots).max(0.0);
            self.placed.push((region.clone(), slots));
        }
    }

    /// Spreads what found no room by capacity, and returns the split.
    fn finish(mut self, capacities: &collections::BTreeMap<id::Region, f64>) -> split::Split {
        let reached = self.demand.links.iter().map(|(region, _)| region);
        let reached: Vec<(&id::Region, f64)> = reached
            .filter_map(|region| capacities.get(region).map(|slots| (region, *slots)))
            .collect();
        let total: f64 = reached.iter().map(|(_, slots)| slots).sum();
        if self.left > LEAST_DEMAND / 2.0 && total > 0.0 {
            let left = self.left;
            for (region, slots) in reached {
                self.place(region, left * slots / total);
            }
        }
        split::Split::new(&self.placed)
    }
}

/// Gives each region at `level` what its places ask for, scaled down where it has too little room.
fn fill_level(
    level: usize,
    room: &mut collections::BTreeMap<&id::Region, f64>,
    placements: &mut [Placement<'_>],
) {
    let mut requested: collections::BTreeMap<&id::Region, f64> = collections::BTreeMap::new();
    for (region, slots) in placements.iter().filter_map(|placement| placement.request(level)) {
        *requested.entry(region).or_insert(0.0) += slots;
    }
    for placement in placements.iter_mut() {
        let Some((region, slots)) = placement.request(level) else { continue };
        let free = room.get(region).copied().unwrap_or(0.0);
        let total = requested.get(region).copied().unwrap_or(0.0);
        let part = if total > free { free / total } else { 1.0 };
        placement.place(region, slots * part);
    }
    for (region, slots) in requested {
        if let Some(free) = room.get_mut(region) {
            *free = (*free - slots).max(0.0);
        }
    }
}
