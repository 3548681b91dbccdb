//! Distance: whether answers of other regions come too late, so that the own region keeps more.
//!
//! Owns, for one service, the mean time of answers by region and the mean target latency of its requests. Relies on
//! [`share`] for the split that loads all regions alike; where all other regions answer late, the own region is
//! filled further than that before requests leave.
//!
//! [`share`]: crate::dispatch::region::share

use std::collections;
use std::time::Duration;

use model::fraction;
use model::id;

use crate::common::split;
use crate::dispatch::seconds;

/// Weight of one answer in the means. Not measured alone; twenty answers make up most of a mean.
const ANSWER_WEIGHT: f64 = 0.05;

/// Requests a slot to which the own region is filled where all others answer late.
///
/// Measured: 34.3 % to 60 % of a small region's requests in time with regions 90 ms apart (`steer/tests/load`), and
/// docs/measurements/worst-load.md, row "a far region keeps more" (0.85 and 1.1 compared).
const FILLED: f64 = 1.1;

/// Largest factor by which the kept share is to grow or shrink from where it stands.
///
/// Not measured; bounds what one reading of the loads does. The limit on shifts bounds the speed.
const MAX_FACTOR: f64 = 1.25;

/// Mean time of answers by region, and mean target latency, of one service.
#[derive(Clone, Debug, Default)]
pub struct Distance {
    answers: collections::BTreeMap<id::Region, f64>,
    target: Option<f64>,
}

impl Distance {
    /// Records an answer of an upstream in `region` that did not wait and probably knew the object.
    pub fn record_answer(&mut self, region: &id::Region, time: seconds::Seconds) {
        match self.answers.get_mut(region) {
            Some(mean) => *mean += (time.0 - *mean) * ANSWER_WEIGHT,
            None => {
                self.answers.insert(region.clone(), time.0);
            }
        }
    }

    /// Records a request with this target latency.
    pub fn record_request(&mut self, target: Duration) {
        let target = target.as_secs_f64();
        let mean = self.target.get_or_insert(target);
        *mean += (target - *mean) * ANSWER_WEIGHT;
    }

    /// Returns how much longer answers of `region` take than those of `own`; zero where one is not known.
    #[must_use]
    pub fn way(&self, own: &id::Region, region: &id::Region) -> seconds::Seconds {
        match (self.answers.get(own), self.answers.get(region)) {
            (Some(own), Some(there)) => seconds::Seconds((there - own).max(0.0)),
            _ => seconds::Seconds(0.0),
        }
    }

    /// Returns whether the own region answers in time and all others, as far as known, do not.
    #[must_use]
    pub fn is_far(&self, own: &id::Region) -> bool {
        let Some(target) = self.target else { return false };
        let is_late = |region: &id::Region| self.answers.get(region).is_some_and(|t| *t > target);
        let mut others = self.answers.keys().filter(|region| *region != own).peekable();
        !is_late(own) && others.peek().is_some() && others.all(is_late)
    }
}

/// Returns `target` with a greater share for `own`, as long as that region has room.
///
/// `kept` is the share that it keeps now, and `used` its requests a slot.
#[must_use]
pub fn keep(own: &id::Region, target: &split::Split, kept: f64, used: f64) -> split::Split {
    let whole = f64::from(fraction::PARTS_PER_WHOLE);
    let balanced = f64::from(target.share(own)) / whole;
    let factor = (FILLED / used.max(f64::EPSILON)).clamp(1.0 / MAX_FACTOR, MAX_FACTOR);
    let wanted = (kept * factor).clamp(balanced, 1.0);
    let others = (1.0 - wanted) / (1.0 - balanced).max(f64::EPSILON);
    let weights: Vec<_> = target
        .parts()
        .map(|(region, part)| {
            let part = f64::from(part) / whole;
            (region.clone(), if region == own { wanted } else { part * others })
        })
        .collect();
    split::Split::new(&weights)
}
