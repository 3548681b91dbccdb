//! Distance: raises the local region's share if responses from all other regions are too late.
//!
//! Owns, for one service, the mean response time of each region and the mean target latency of its
//! requests. [`share`] computes the split that loads all regions equally; if all other regions respond
//! too late, the local region is loaded beyond that before requests leave it.
//!
//! [`share`]: crate::dispatch::region::share

use std::collections;
use std::time::Duration;

use model::fraction;
use model::id;

use crate::common::split;
use crate::dispatch::seconds;

/// Weight of one sample in the moving averages; about twenty samples determine most of the value.
const SAMPLE_WEIGHT: f64 = 0.05;

/// Target number of requests per slot in the local region if all others respond too late.
///
/// Above one, so that requests queue in the local region before they leave it for a region whose
/// responses are too late.
const TARGET_REQUESTS_PER_SLOT: f64 = 1.1;

/// Maximum factor between the local region's current share and its target.
///
/// Bounds the effect of a single load sample; `region::shift` bounds the speed of the change.
const MAX_SHARE_FACTOR: f64 = 1.25;

/// Mean response time by region and mean target latency of one service.
#[derive(Clone, Debug, Default)]
pub struct Distance {
    /// Mean response time of each region, in seconds.
    response_times: collections::BTreeMap<id::Region, f64>,
    /// Mean target latency, in seconds.
    target: Option<f64>,
}

impl Distance {
    /// Records the response time, without queueing, of an upstream in `region` that probably had the
    /// object cached.
    pub fn record_response(&mut self, region: &id::Region, time: seconds::Seconds) {
        match self.response_times.get_mut(region) {
            Some(mean) => *mean += (time.0 - *mean) * SAMPLE_WEIGHT,
            None => {
                self.response_times.insert(region.clone(), time.0);
            }
        }
    }

    /// Records the target latency of a request.
    pub fn record_request(&mut self, target: Duration) {
        let target = target.as_secs_f64();
        let mean = self.target.get_or_insert(target);
        *mean += (target - *mean) * SAMPLE_WEIGHT;
    }

    /// Returns how much longer responses from `region` take than those from `own`; zero if either is
    /// unknown.
    #[must_use]
    pub fn extra_latency(&self, own: &id::Region, region: &id::Region) -> seconds::Seconds {
        match (self.response_times.get(own), self.response_times.get(region)) {
            (Some(own), Some(other)) => seconds::Seconds((other - own).max(0.0)),
            _ => seconds::Seconds(0.0),
        }
    }

    /// Returns whether the local region responds in time but no other region known does.
    #[must_use]
    pub fn is_far(&self, own: &id::Region) -> bool {
        let Some(target) = self.target else { return false };
        let is_late =
            |region: &id::Region| self.response_times.get(region).is_some_and(|t| *t > target);
        let mut others = self.response_times.keys().filter(|region| *region != own).peekable();
        !is_late(own) && others.peek().is_some() && others.all(is_late)
    }
}

/// Returns `target` with a larger share for the region `own`, limited by that region's load.
///
/// `current` is the region's present share and `load` its requests per slot.
#[must_use]
pub fn raise_own_share(
    own: &id::Region,
    target: &split::Split,
    current: f64,
    load: f64,
) -> split::Split {
    let whole = f64::from(fraction::PARTS_PER_WHOLE);
    let balanced = f64::from(target.share(own)) / whole;
    let factor = (TARGET_REQUESTS_PER_SLOT / load.max(f64::EPSILON))
        .clamp(1.0 / MAX_SHARE_FACTOR, MAX_SHARE_FACTOR);
    let own_share = (current * factor).clamp(balanced, 1.0);
    let others_factor = (1.0 - own_share) / (1.0 - balanced).max(f64::EPSILON);
    let weights: Vec<_> = target
        .parts()
        .map(|(region, part)| {
            let part = f64::from(part) / whole;
            (region.clone(), if region == own { own_share } else { part * others_factor })
        })
        .collect();
    split::Split::new(&weights)
}
