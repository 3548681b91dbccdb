//! Which region a request goes to: its share of a rotation that moves within the bound on shifts.

use std::cmp;
use std::collections;
use std::time::{Duration, Instant};

use model::id;
use xxhash_rust::xxh3;

use super::{Dispatcher, Rotation, Scope};
use crate::common::ramp;
use crate::common::split;
use crate::dispatch::ask;
use crate::dispatch::shares;

/// Window in which the share that changes region is bounded.
const SHIFT_WINDOW: Duration = Duration::from_secs(2);

/// Part of the bound that planned moves use; the rest is for the grain of requests.
const SHIFT_USED: f64 = 0.5;

/// Requests that a region may be ahead of its share, so that those about one object go alike.
const MOST_LEAD: f64 = 5.0;

/// Part of its slots with which a cold upstream counts toward its region.
const COLD_SLOTS: f64 = 0.3;

impl Dispatcher {
    pub(super) fn shift_limit(&self) -> ramp::Limit {
        let share = self.bounds.greatest_shift * SHIFT_USED;
        let share = split::Split::new(&[
            (id::Region::new("moved"), share),
            (id::Region::new("kept"), (1.0 - share).max(0.0)),
        ])
        .share(&id::Region::new("moved"));
        ramp::Limit { share: model::fraction::Fraction(share), window: SHIFT_WINDOW }
    }

    /// Returns the regions for a request, the one whose turn it is first.
    pub(super) fn region_order(&mut self, ask: &ask::Ask<'_>, now: Instant) -> Vec<id::Region> {
        let scope: Scope = (ask.service.clone(), ask.route.home_regions.clone());
        if !self.rotations.contains_key(&scope) {
            let target = self.target(&scope, now);
            let rotation = Rotation { ramp: ramp::Limiter::new(target), ..Rotation::default() };
            self.rotations.insert(scope.clone(), rotation);
        }
        let limit = self.shift_limit();
        let is_empty = self.rotations.get(&scope).is_none_or(|r| r.ramp.position().is_empty());
        if is_empty {
            let target = self.target(&scope, now);
            if let Some(rotation) = self.rotations.get_mut(&scope) {
                advance(rotation, &target, limit, now);
            }
        }
        let Some(rotation) = self.rotations.get_mut(&scope) else { return Vec::new() };
        let mut weights: Vec<(id::Region, f64)> = rotation
            .ramp
            .position()
            .parts()
            .map(|(region, part)| (region.clone(), f64::from(part)))
            .collect();
        let first = match (ask.tried.is_empty(), ask.route.is_sticky) {
            (true, true) => {
                let wanted = by_affinity(ask.key, &weights);
                rotation.round_robin.prefer(&weights, &wanted, MOST_LEAD)
            }
            (true, false) => rotation.round_robin.next(&weights),
            (false, _) => None,
        };
        weights.sort_by(|a, b| b.1.partial_cmp(&a.1).unwrap_or(cmp::Ordering::Equal));
        let mut order: Vec<id::Region> = first.into_iter().collect();
        for region in weights.into_iter().map(|(r, _)| r).chain(self.allowed(&scope.1)) {
            if !order.contains(&region) {
                order.push(region);
            }
        }
        order
    }

    /// Returns the regions that may serve a route with these homes.
    fn allowed(&self, homes: &[id::Region]) -> Vec<id::Region> {
        let all: collections::BTreeSet<_> = self.position.halls.values().cloned().collect();
        match homes {
            [] => all.into_iter().collect(),
            homes => homes.to_vec(),
        }
    }

    pub(super) fn target(&self, (service, homes): &Scope, now: Instant) -> split::Split {
        let capacities: Vec<shares::Capacity> = self
            .allowed(homes)
            .into_iter()
            .map(|region| {
                let slots = self.slots(service, &region, now);
                shares::Capacity { region, slots }
            })
            .collect();
        shares::target(&self.position.region, &capacities)
    }

    /// Returns the slots of a region's upstreams that take work.
    fn slots(&self, service: &id::Service, region: &id::Region, now: Instant) -> f64 {
        let of_service = self.services.get(service).into_iter().flatten();
        of_service
            .filter_map(|id| self.upstreams.get(id))
            .filter(|b| b.region == *region && self.takes_work(b))
            .map(|b| f64::from(b.entry.slots) * if b.cold.is_cold(now) { COLD_SLOTS } else { 1.0 })
            .sum()
    }
}

/// Returns regions in the order in which an object prefers them, each first for its share of objects.
///
/// Weighted rendezvous hashing: a share that changes moves the least number of objects.
fn by_affinity(key: u64, weights: &[(id::Region, f64)]) -> Vec<id::Region> {
    let mut scored: Vec<(f64, &id::Region)> = weights
        .iter()
        .filter(|(_, weight)| *weight > 0.0)
        .map(|(region, weight)| (score(key, region, *weight), region))
        .collect();
    scored.sort_by(|a, b| b.0.partial_cmp(&a.0).unwrap_or(cmp::Ordering::Equal));
    scored.into_iter().map(|(_, region)| region.clone()).collect()
}

fn score(key: u64, region: &id::Region, weight: f64) -> f64 {
    let hash = xxh3::xxh3_64_with_seed(region.as_str().as_bytes(), key);
    #[expect(clippy::cast_precision_loss, reason = "a uniform number is all that is wanted")]
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -weight / uniform.ln()
}

/// Moves a rotation toward its target; one that goes nowhere yet takes the target at once.
pub(super) fn advance(
    rotation: &mut Rotation,
    target: &split::Split,
    limit: ramp::Limit,
    now: Instant,
) {
    if target.is_empty() {
        return;
    }
    match rotation.ramp.position().is_empty() {
        true => rotation.ramp = ramp::Limiter::new(target.clone()),
        false => {
            rotation.ramp.advance(target, Some(limit), now);
        }
    }
}
