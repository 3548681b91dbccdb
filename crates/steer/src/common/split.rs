//! Split: distribution of the requests for a service over regions.
//!
//! Shares are in millionths and add up to one whole; [`ramp`] moves splits gradually.
//!
//! [`ramp`]: crate::common::ramp

use std::collections;

use model::fraction;
use model::id;

/// Shares by region, which add up to one whole; may be empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    parts: collections::BTreeMap<id::Region, u32>,
}

impl Split {
    /// Creates a split in proportion to `weights`; empty if none is above zero.
    #[must_use]
    pub fn new(weights: &[(id::Region, f64)]) -> Self {
        let total: f64 = weights.iter().map(|(_, w)| w.max(0.0)).sum();
        if total <= 0.0 {
            return Self::default();
        }
        let mut parts = collections::BTreeMap::new();
        for (region, weight) in weights {
            *parts.entry(region.clone()).or_insert(0) += to_millionths(weight.max(0.0) / total);
        }
        Self::with_exact_total(parts)
    }

    /// Creates a split from parts in millionths, as in messages between nodes.
    #[must_use]
    pub fn from_parts(parts: collections::BTreeMap<id::Region, u32>) -> Self {
        match parts.values().any(|p| *p > 0) {
            true => Self::with_exact_total(parts),
            false => Self::default(),
        }
    }

    /// Returns whether no region receives requests.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the share of a region, in millionths.
    #[must_use]
    pub fn share(&self, region: &id::Region) -> u32 {
        self.parts.get(region).copied().unwrap_or(0)
    }

    /// Returns the nonzero shares, in millionths.
    pub fn parts(&self) -> impl Iterator<Item = (&id::Region, u32)> {
        self.parts.iter().map(|(region, part)| (region, *part))
    }

    /// Returns the distance between two splits: the share of requests that change region.
    #[must_use]
    pub fn distance(&self, other: &Self) -> fraction::Fraction {
        let lost = self.parts().map(|(r, p)| p.saturating_sub(other.share(r))).sum();
        let gained = other.parts().map(|(r, p)| p.saturating_sub(self.share(r))).sum();
        fraction::Fraction(u32::max(lost, gained))
    }

    /// Returns the split at distance `step` from this one, by linear interpolation to `target`.
    ///
    /// Rounding never makes the distance greater than `step`.
    #[must_use]
    pub fn toward(&self, target: &Self, step: fraction::Fraction) -> Self {
        let distance = self.distance(target);
        if distance <= step {
            return target.clone();
        }
        let mut parts = self.parts.clone();
        let mut freed = 0;
        for (region, part) in &mut parts {
            let surplus = part.saturating_sub(target.share(region));
            let reduction = interpolate(surplus, step, distance);
            *part -= reduction;
            freed += reduction;
        }
        let deficits: Vec<(id::Region, u32)> = target
            .parts()
            .map(|(r, p)| (r.clone(), p.saturating_sub(self.share(r))))
            .filter(|(_, p)| *p > 0)
            .collect();
        let mut remaining = freed;
        for (region, deficit) in &deficits {
            let gain = interpolate(*deficit, fraction::Fraction(freed), distance).min(remaining);
            *parts.entry(region.clone()).or_insert(0) += gain;
            remaining -= gain;
        }
        if let Some((region, _)) = deficits.first() {
            *parts.entry(region.clone()).or_insert(0) += remaining;
        }
        parts.retain(|_, part| *part > 0);
        Self { parts }
    }

    /// Adds the rounding remainder to the largest part.
    fn with_exact_total(mut parts: collections::BTreeMap<id::Region, u32>) -> Self {
        parts.retain(|_, part| *part > 0);
        let total: u32 = parts.values().sum();
        let largest = parts.iter().max_by_key(|(_, part)| **part).map(|(r, _)| r.clone());
        if let Some(part) = largest.and_then(|region| parts.get_mut(&region)) {
            *part = (*part + fraction::PARTS_PER_WHOLE).saturating_sub(total);
        }
        Self { parts }
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a proportion from 0 to 1 times a million"
)]
fn to_millionths(proportion: f64) -> u32 {
    (proportion * f64::from(fraction::PARTS_PER_WHOLE)).floor() as u32
}

/// Returns the portion `step / distance` of `part`, rounded down.
fn interpolate(part: u32, step: fraction::Fraction, distance: fraction::Fraction) -> u32 {
    let exact = u64::from(part) * u64::from(step.0) / u64::from(distance.0.max(1));
    u32::try_from(exact).unwrap_or(part)
}
