//! The planner: where each place's requests for one service should go.
//!
//! A pure function of configuration and measurements, so that nodes which know the same plan the
//! same. Regions are filled nearest first up to a margin of their usable slots; what does not fit
//! goes on to the next nearest. When nothing has room the rest follows the capacities, and the
//! owners refuse what they cannot hold.

use std::collections;

use model::id;

use crate::common::split;

/// Part of a region's usable slots that the planner fills, so that a surge finds headroom.
pub const MARGIN: f64 = 0.85;

/// Demand of a place that sent nothing lately, in slots; it decides no one else's split.
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
    let mut asks: Vec<Ask<'_>> = demands.iter().map(Ask::new).collect();
    let levels = demands.iter().map(|d| d.links.len()).max().unwrap_or(0);
    for level in 0..levels {
        fill_level(level, &mut room, &mut asks);
    }
    asks.into_iter().map(|ask| (ask.demand.place.clone(), ask.finish(capacities))).collect()
}

/// One place's demand while it is being placed.
struct Ask<'a> {
    demand: &'a Demand,
    left: f64,
    placed: Vec<(id::Region, f64)>,
}

impl<'a> Ask<'a> {
    fn new(demand: &'a Demand) -> Self {
        Self { demand, left: demand.slots.max(LEAST_DEMAND), placed: Vec::new() }
    }

    /// Returns the region at `level` and what this place would send there.
    fn wish(&self, level: usize) -> Option<(&'a id::Region, f64)> {
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

/// Gives each region at `level` what its places wish, scaled down where it has too little room.
fn fill_level(
    level: usize,
    room: &mut collections::BTreeMap<&id::Region, f64>,
    asks: &mut [Ask<'_>],
) {
    let mut wished: collections::BTreeMap<&id::Region, f64> = collections::BTreeMap::new();
    for (region, slots) in asks.iter().filter_map(|ask| ask.wish(level)) {
        *wished.entry(region).or_insert(0.0) += slots;
    }
    for ask in asks.iter_mut() {
        let Some((region, slots)) = ask.wish(level) else { continue };
        let free = room.get(region).copied().unwrap_or(0.0);
        let total = wished.get(region).copied().unwrap_or(0.0);
        let part = if total > free { free / total } else { 1.0 };
        ask.place(region, slots * part);
    }
    for (region, slots) in wished {
        if let Some(free) = room.get_mut(region) {
            *free = (*free - slots).max(0.0);
        }
    }
}
