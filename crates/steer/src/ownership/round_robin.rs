//! Smooth weighted round robin over regions.
//!
//! Each turn adds its share to every region's credit and takes a whole from the richest. After any
//! number of turns each region has had its share of them, within one request; no random number is
//! drawn. The method is the well-known one of nginx.
//!
//! Owns the credits, in millionths. Gateways have a round robin of their own, which counts in floating
//! point and can prefer a choice; this one must be exact within one request for the caps to hold.

use std::collections;

use model::fraction;
use model::id;

use crate::common::split;

/// The credits of the regions of one place's requests for one service.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: collections::BTreeMap<id::Region, i64>,
}

impl RoundRobin {
    /// Returns the region of the next request under `split`; none when the split is empty.
    pub fn turn(&mut self, split: &split::Split) -> Option<id::Region> {
        for (region, share) in split.parts() {
            *self.credits.entry(region.clone()).or_insert(0) += i64::from(share);
        }
        let allowed = self.credits.iter().filter(|(region, _)| split.share(region) > 0);
        let (region, _) = allowed.max_by(|a, b| a.1.cmp(b.1).then_with(|| b.0.cmp(a.0)))?;
        let region = region.clone();
        if let Some(credit) = self.credits.get_mut(&region) {
            *credit -= i64::from(fraction::PARTS_PER_WHOLE);
        }
        self.credits.retain(|region, _| split.share(region) > 0);
        Some(region)
    }
}
