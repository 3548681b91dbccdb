//! Sample: the upstreams that a check of a service connects to.
//!
//! Upstreams of all regions are taken, so that a node that only lost one region does not count as
//! cut off, and upstreams that are not ejected first, so that a crash of many upstreams does not
//! either.

use std::collections;
use std::time::Instant;

use model::id;

use crate::dispatch::upstream;

/// Minimum number of upstreams in a sample, where there are as many.
const MIN_UPSTREAMS: usize = 4;

/// Draws a number below its argument.
pub type Draw<'d> = &'d mut dyn FnMut(usize) -> usize;

/// Returns a sample of `upstreams`, with at least one of each region.
pub fn take<'a>(
    upstreams: impl Iterator<Item = &'a upstream::Upstream>,
    draw: Draw<'_>,
    now: Instant,
) -> Vec<&'a upstream::Upstream> {
    let mut regions: collections::BTreeMap<&id::Region, Vec<&upstream::Upstream>> =
        collections::BTreeMap::new();
    for upstream in upstreams {
        regions.entry(&upstream.region).or_default().push(upstream);
    }
    let per_region = MIN_UPSTREAMS.div_ceil(regions.len().max(1));
    let of_regions = regions.into_values();
    of_regions.flat_map(|of_region| take_few(of_region, per_region, draw, now)).collect()
}

/// Takes at most `count` of a region's upstreams, those that are not ejected first.
fn take_few<'a>(
    upstreams: Vec<&'a upstream::Upstream>,
    count: usize,
    draw: Draw<'_>,
    now: Instant,
) -> Vec<&'a upstream::Upstream> {
    let (ejected, mut others): (Vec<_>, Vec<_>) =
        upstreams.into_iter().partition(|upstream| upstream.health.is_ejected(now));
    let mut taken = Vec::with_capacity(count);
    for mut group in [std::mem::take(&mut others), ejected] {
        while taken.len() < count && !group.is_empty() {
            taken.push(group.swap_remove(draw(group.len())));
        }
    }
    taken
}
