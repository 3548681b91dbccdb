//! Forecast of the shares of regions in the demand for one service.
//!
//! A split moves so slowly, within the operator's limit on shifts, that one that follows a wave of
//! half a minute arrives when the wave is past. The shares expected after a horizon are therefore
//! learned from the recent past by linear regression, over all regions together: on the deviation from
//! the mean now and the one of `LAG` ago. Where the deviation recurs, the two tell where it goes;
//! where it does not, the forecast stays at what is measured or falls back to the mean.

use std::collections;
use std::time::{Duration, Instant};

use model::id;

/// Share of each region in the demand for a service; they add up to 1.
pub type Shares = collections::BTreeMap<id::Region, f64>;

/// Time between the two deviations that the forecast uses.
const LAG: Duration = Duration::from_secs(5);

/// Time over which the mean and the regression forget; a few periods of the waves that a split can
/// follow.
const MEMORY: Duration = Duration::from_secs(60);

/// Shortest time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(450);

/// Greatest error of a sample's age: a few sample intervals, for ticks that are late.
const MAX_AGE_ERROR: Duration = Duration::from_millis(1_500);

/// Weight of the assumption that the deviation lasts, as a sum of squared deviations times seconds; it
/// decides until some seconds of clear deviations have been sampled.
const PRIOR_WEIGHT: f64 = 0.2;

/// Time over which the errors of the forecast are averaged.
const ERROR_MEMORY: Duration = Duration::from_secs(15);

/// Measured shares at one time, and those that were expected then for the end of the horizon.
#[derive(Clone, Debug)]
struct Sample {
    at: Instant,
    shares: Shares,
    expected: Shares,
}

/// Sums of a linear regression with two inputs, without an intercept.
#[derive(Clone, Copy, Debug)]
struct Regression {
    now_now: f64,
    now_before: f64,
    before_before: f64,
    now_result: f64,
    before_result: f64,
}

impl Default for Regression {
    /// Returns a regression that expects the deviation to last.
    fn default() -> Self {
        Self {
            now_now: PRIOR_WEIGHT,
            now_before: 0.0,
            before_before: PRIOR_WEIGHT,
            now_result: PRIOR_WEIGHT,
            before_result: 0.0,
        }
    }
}

impl Regression {
    /// Forgets a part of the sums in favour of the prior; `kept` is the part that is kept.
    fn forget(&mut self, kept: f64) {
        let prior = Self::default();
        let mix = |sum: &mut f64, prior: f64| *sum = *sum * kept + prior * (1.0 - kept);
        mix(&mut self.now_now, prior.now_now);
        mix(&mut self.now_before, prior.now_before);
        mix(&mut self.before_before, prior.before_before);
        mix(&mut self.now_result, prior.now_result);
        mix(&mut self.before_result, prior.before_result);
    }

    fn record(&mut self, now: f64, before: f64, result: f64, weight: f64) {
        self.now_now += now * now * weight;
        self.now_before += now * before * weight;
        self.before_before += before * before * weight;
        self.now_result += now * result * weight;
        self.before_result += before * result * weight;
    }

    /// Returns the factors of the two inputs.
    fn factors(&self) -> (f64, f64) {
        let determinant = self.now_now * self.before_before - self.now_before.powi(2);
        if determinant <= f64::EPSILON {
            return (1.0, 0.0);
        }
        let now = self.now_result * self.before_before - self.before_result * self.now_before;
        let before = self.before_result * self.now_now - self.now_result * self.now_before;
        (now / determinant, before / determinant)
    }
}

/// Forecast of the shares of all regions in the demand for one service.
#[derive(Clone, Debug)]
pub struct Forecast {
    began: Instant,
    mean: Shares,
    samples: collections::VecDeque<Sample>,
    regression: Regression,
    /// Mean squared errors of this forecast and of equal shares; `None` until a forecast was due.
    errors: Option<(f64, f64)>,
}

impl Forecast {
    /// Creates a forecast of constant `shares`.
    #[must_use]
    pub fn new(shares: Shares, now: Instant) -> Self {
        Self {
            began: now,
            mean: shares.clone(),
            samples: collections::VecDeque::from([Sample {
                at: now,
                expected: shares.clone(),
                shares,
            }]),
            regression: Regression::default(),
            errors: None,
        }
    }

    /// Returns whether the forecast is for the regions of `shares`.
    #[must_use]
    pub fn is_of(&self, shares: &Shares) -> bool {
        self.mean.keys().eq(shares.keys())
    }

    /// Forgets the measured shares, but not what was learned from them.
    pub fn interrupt(&mut self) {
        self.samples.clear();
    }

    /// Returns by how much the squared error of the forecast is below that of equal shares, as a
    /// fraction of the latter; zero until a forecast was due.
    #[must_use]
    pub fn skill(&self) -> f64 {
        match self.errors {
            Some((error, equal)) if equal > 0.0 => 1.0 - error / equal,
            _ => 0.0,
        }
    }

    /// Records measured shares, and learns from what was known `horizon` ago.
    pub fn record(&mut self, shares: Shares, horizon: Duration, now: Instant) {
        let last = self.samples.back().map(|sample| sample.at);
        let elapsed = last.map_or(SAMPLE_INTERVAL, |last| now.saturating_duration_since(last));
        if elapsed < SAMPLE_INTERVAL {
            return;
        }
        let kept = (-elapsed.as_secs_f64() / MEMORY.as_secs_f64()).exp();
        // The first samples count equally, so that the mean does not depend on the very first one.
        let age = now.saturating_duration_since(self.began);
        let weight = (elapsed.as_secs_f64() / age.as_secs_f64().max(f64::EPSILON)).max(1.0 - kept);
        for (region, mean) in &mut self.mean {
            *mean += (shares.get(region).copied().unwrap_or(0.0) - *mean) * weight;
        }
        let expected = shares.clone();
        self.samples.push_back(Sample { at: now, shares, expected });
        while self.samples.front().is_some_and(|sample| {
            now.saturating_duration_since(sample.at) > horizon + LAG + MAX_AGE_ERROR
        }) {
            self.samples.pop_front();
        }
        let elapsed = elapsed.min(MAX_AGE_ERROR);
        self.learn(horizon, elapsed, kept, now);
        self.record_errors(horizon, elapsed, now);
        let expected = self.expected(now);
        if let Some(latest) = self.samples.back_mut() {
            latest.expected = expected;
        }
    }

    /// Compares the measured shares with those that were expected a horizon ago, and with equal ones.
    fn record_errors(&mut self, horizon: Duration, elapsed: Duration, now: Instant) {
        let (Some(then), Some(latest)) = (self.sample(horizon, now), self.samples.back()) else {
            return;
        };
        #[expect(clippy::cast_precision_loss, reason = "a handful of regions")]
        let equal = 1.0 / self.mean.len().max(1) as f64;
        let squared = |of: &dyn Fn(&id::Region) -> f64| -> f64 {
            latest.shares.iter().map(|(region, share)| (of(region) - share).powi(2)).sum()
        };
        let error = squared(&|region| then.expected.get(region).copied().unwrap_or(equal));
        let equal = squared(&|_| equal);
        let weight = 1.0 - (-elapsed.as_secs_f64() / ERROR_MEMORY.as_secs_f64()).exp();
        let (mean, mean_equal) = self.errors.unwrap_or((error, equal));
        self.errors =
            Some((mean + (error - mean) * weight, mean_equal + (equal - mean_equal) * weight));
    }

    fn learn(&mut self, horizon: Duration, elapsed: Duration, kept: f64, now: Instant) {
        let mut regression = self.regression;
        regression.forget(kept);
        let inputs = (self.sample(horizon, now), self.sample(horizon + LAG, now));
        if let ((Some(then), Some(before)), Some(result)) = (inputs, self.samples.back()) {
            for region in self.mean.keys() {
                let of = |sample| self.deviation(sample, region);
                regression.record(of(then), of(before), of(result), elapsed.as_secs_f64());
            }
        }
        self.regression = regression;
    }

    /// Returns the latest sample that is at least `age` old, if it is little older.
    fn sample(&self, age: Duration, now: Instant) -> Option<&Sample> {
        let age_of = |sample: &&Sample| now.saturating_duration_since(sample.at);
        let sample = self.samples.iter().rev().find(|sample| age_of(sample) >= age)?;
        (age_of(&sample) <= age + MAX_AGE_ERROR).then_some(sample)
    }

    fn deviation(&self, sample: &Sample, region: &id::Region) -> f64 {
        let share = sample.shares.get(region).copied().unwrap_or(0.0);
        share - self.mean.get(region).copied().unwrap_or(0.0)
    }

    /// Returns the shares expected after the horizon.
    #[must_use]
    pub fn expected(&self, now: Instant) -> Shares {
        let Some(latest) = self.samples.back() else { return self.mean.clone() };
        let Some(before) = self.sample(LAG, now) else { return latest.shares.clone() };
        let (of_latest, of_before) = self.regression.factors();
        let expected = |(region, mean): (&id::Region, &f64)| {
            let deviation = of_latest * self.deviation(latest, region)
                + of_before * self.deviation(before, region);
            (region.clone(), (mean + deviation).max(0.0))
        };
        normalized(self.mean.iter().map(expected).collect())
    }
}

/// Returns `shares` scaled so that they add up to 1.
#[must_use]
pub fn normalized(shares: Shares) -> Shares {
    let total: f64 = shares.values().sum();
    shares.into_iter().map(|(region, share)| (region, share / total.max(f64::EPSILON))).collect()
}
