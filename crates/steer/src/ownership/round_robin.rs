//! Smooth weighted round robin over regions.
//!
//! Each call adds to every region's credit its share, and subtracts one whole from the region with the
//! highest credit, which is returned. After any number of calls each region was returned in proportion
//! to its share, within one request, without random numbers. This is the algorithm of nginx.
//!
//! Credits are integers, in millionths, because the caps hold only if the distribution is exact within
//! one request. Gateways use another round robin, which counts in floating point and can prefer a choice.

use std::collections;

use model::fraction;
use model::id;

use crate::common::split;

/// The credits of the regions, for one place's requests for one service.
#[derive(Clone, Debug, Default)]
pub struct RoundRobin {
    credits: collections::BTreeMap<id::Region, i64>,
}

impl RoundRobin {
    /// Returns the region of the next request under `split`, or `None` if the split is empty.
    pub fn next(&mut self, split: &split::Split) -> Option<id::Region> {
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
