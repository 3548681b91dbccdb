//! Target share of each region in the requests for a service that arrive in one region.
//!
//! Stateless. A region serves what its share of all slots can handle of its own [`demand`] and sends
//! the rest to regions with spare slots, in proportion to these. Demand is assumed to be equal in all
//! regions where it is not known. The dispatcher provides the slots of upstreams that accept requests;
//! [`shift`] moves splits toward the target.
//!
//! [`demand`]: crate::dispatch::region::demand
//! [`shift`]: crate::dispatch::region::shift

use model::fraction;
use model::id;

use crate::common::split;
use crate::dispatch::region::demand;

/// Fraction of a cold upstream's slots that counts as capacity.
///
/// Less than one, since a cold upstream is slower and limited by slow start.
const COLD_SLOTS_FRACTION: f64 = 0.3;

/// Returns the slots that an upstream contributes to its region's capacity.
#[must_use]
pub fn effective_slots(slots: u32, is_cold: bool) -> f64 {
    f64::from(slots) * if is_cold { COLD_SLOTS_FRACTION } else { 1.0 }
}

/// Returns the slots that a limit of `rate` requests per second can occupy if each request takes
/// `work` seconds.
#[must_use]
pub fn limited_slots(slots: f64, rate: f64, work: f64) -> f64 {
    slots.min(rate * work)
}

/// Capacity of one region.
#[derive(Clone, Debug, PartialEq)]
pub struct Capacity {
    /// The region.
    pub region: id::Region,
    /// Slots of its upstreams that accept requests.
    pub slots: f64,
}

/// Returns the target split of the requests that arrive in `from`; empty if no region has slots.
///
/// `capacities` holds the regions that may serve them, and `demand` the share of each region in all
/// requests; it is equal in all regions if `None`.
#[must_use]
pub fn target(
    from: &id::Region,
    capacities: &[Capacity],
    demand: Option<&demand::Shares>,
) -> split::Split {
    let total: f64 = capacities.iter().map(|c| c.slots).sum();
    if total <= 0.0 {
        return split::Split::default();
    }
    #[expect(clippy::cast_precision_loss, reason = "a handful of regions")]
    let equal = 1.0 / capacities.len() as f64;
    let demand_of = |region: &id::Region| match demand {
        Some(shares) => shares.get(region).copied().unwrap_or(0.0),
        None => equal,
    };
    let spare = |c: &Capacity| (c.slots / total - demand_of(&c.region)).max(0.0);
    let own = capacities.iter().find(|c| c.region == *from).map_or(0.0, |c| c.slots / total);
    let own_demand = demand_of(from);
    let kept = if own_demand > 0.0 { (own / own_demand).min(1.0) } else { 1.0 };
    let total_spare: f64 = capacities.iter().filter(|c| c.region != *from).map(spare).sum();
    let weight = |c: &Capacity| match c.region == *from {
        true => kept,
        false if total_spare > 0.0 => (1.0 - kept) * spare(c) / total_spare,
        false => (1.0 - kept) * c.slots / total,
    };
    let weights: Vec<_> = capacities.iter().map(|c| (c.region.clone(), weight(c))).collect();
    split::Split::new(&weights)
}

/// Returns the greatest load of a region, as a multiple of the mean over all slots, where requests
/// arrive as in `demand` and all regions split them for `assumed`.
#[must_use]
pub fn peak_load(
    capacities: &[Capacity],
    assumed: Option<&demand::Shares>,
    demand: &demand::Shares,
) -> f64 {
    let total: f64 = capacities.iter().map(|c| c.slots).sum();
    let targets: Vec<(f64, split::Split)> =
        demand.iter().map(|(from, share)| (*share, target(from, capacities, assumed))).collect();
    let load = |capacity: &Capacity| {
        let arrives = |(share, target): &(f64, split::Split)| {
            share * f64::from(target.share(&capacity.region)) / f64::from(fraction::PARTS_PER_WHOLE)
        };
        targets.iter().map(arrives).sum::<f64>() * total / capacity.slots
    };
    capacities.iter().filter(|c| c.slots > 0.0).map(load).fold(0.0, f64::max)
}
