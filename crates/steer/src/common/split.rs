//! Split: which share of the requests for a service goes to which region.
//!
//! Owns shares in millionths, which add up to one whole. Relies on nothing; [`ramp`] moves splits.
//!
//! [`ramp`]: crate::common::ramp

use std::collections;

use model::fraction;
use model::id;

/// Shares by region; they add up to one whole, or the split is empty.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Split {
    parts: collections::BTreeMap<id::Region, u32>,
}

impl Split {
    /// Makes a split in proportion to `weights`; empty when all are zero.
    #[must_use]
    pub fn new(weights: &[(id::Region, f64)]) -> Self {
        let total: f64 = weights.iter().map(|(_, w)| w.max(0.0)).sum();
        if total <= 0.0 {
            return Self::default();
        }
        let mut parts = collections::BTreeMap::new();
        for (region, weight) in weights {
            *parts.entry(region.clone()).or_insert(0) += scale(weight.max(0.0) / total);
        }
        Self::balanced(parts)
    }

    /// Makes a split of parts in millionths, as messages carry them.
    #[must_use]
    pub fn from_parts(parts: collections::BTreeMap<id::Region, u32>) -> Self {
        match parts.values().any(|p| *p > 0) {
            true => Self::balanced(parts),
            false => Self::default(),
        }
    }

    /// Returns whether it sends requests nowhere.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns the share of a region, in millionths.
    #[must_use]
    pub fn share(&self, region: &id::Region) -> u32 {
        self.parts.get(region).copied().unwrap_or(0)
    }

    /// Returns the shares that are not zero.
    pub fn parts(&self) -> impl Iterator<Item = (&id::Region, u32)> {
        self.parts.iter().map(|(region, part)| (region, *part))
    }

    /// Returns how far two splits lie apart: the share of requests that change region.
    #[must_use]
    pub fn distance(&self, other: &Self) -> fraction::Fraction {
        let lost = self.parts().map(|(r, p)| p.saturating_sub(other.share(r))).sum();
        let won = other.parts().map(|(r, p)| p.saturating_sub(self.share(r))).sum();
        fraction::Fraction(u32::max(lost, won))
    }

    /// Returns the split that lies `step` from this one, on the straight way to `target`.
    ///
    /// Rounding never makes the step longer.
    #[must_use]
    pub fn toward(&self, target: &Self, step: fraction::Fraction) -> Self {
        let whole = self.distance(target);
        if whole <= step {
            return target.clone();
        }
        let mut parts = self.parts.clone();
        let mut freed = 0;
        for (region, part) in &mut parts {
            let surplus = part.saturating_sub(target.share(region));
            let cut = scale_down(surplus, step, whole);
            *part -= cut;
            freed += cut;
        }
        let wanting: Vec<(id::Region, u32)> = target
            .parts()
            .map(|(r, p)| (r.clone(), p.saturating_sub(self.share(r))))
            .filter(|(_, p)| *p > 0)
            .collect();
        let mut left = freed;
        for (region, want) in &wanting {
            let gain = scale_down(*want, fraction::Fraction(freed), whole).min(left);
            *parts.entry(region.clone()).or_insert(0) += gain;
            left -= gain;
        }
        if let Some((region, _)) = wanting.first() {
            *parts.entry(region.clone()).or_insert(0) += left;
        }
        parts.retain(|_, part| *part > 0);
        Self { parts }
    }

    /// Adds what rounding left over to the largest part.
    fn balanced(mut parts: collections::BTreeMap<id::Region, u32>) -> Self {
        parts.retain(|_, part| *part > 0);
        let total: u32 = parts.values().sum();
        let greatest = parts.iter().max_by_key(|(_, part)| **part).map(|(r, _)| r.clone());
        if let Some(part) = greatest.and_then(|region| parts.get_mut(&region)) {
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
fn scale(proportion: f64) -> u32 {
    (proportion * f64::from(fraction::PARTS_PER_WHOLE)).floor() as u32
}

fn scale_down(part: u32, step: fraction::Fraction, whole: fraction::Fraction) -> u32 {
    let exact = u64::from(part) * u64::from(step.0) / u64::from(whole.0.max(1));
    u32::try_from(exact).unwrap_or(part)
}
