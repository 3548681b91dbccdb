//! Demand: how many requests arrive in each region for each service.
//!
//! Each gateway measures the rate of first attempts that arrive at it, whichever region serves them,
//! and reports it to others ([`report`]). From the reports, each gateway [`forecast`]s the demand of
//! each region. Where regions differ by more than a threshold, [`share`] takes the forecast shares in
//! place of equal ones.
//!
//! [`share`]: crate::dispatch::region::share

pub mod forecast;
pub mod report;

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::common::ramp;
use crate::dispatch::quota::rate;
use crate::dispatch::region::share;
use crate::dispatch::seconds;

pub use forecast::Shares;

use forecast::{Forecast, normalized};
use report::{Key, Rate, Reports, Timer};

/// Time constant of the measured rate of this gateway.
const MEASURE_TIME: Duration = Duration::from_secs(1);

/// Lowest rate that is reported, in requests per second.
const MIN_RATE: f64 = 0.05;

/// Mean age of the measured demand: the average itself, reports and forwarded sums.
const MEASURED_AGE: Duration = Duration::from_millis(2_200);

/// Share of a region's requests whose move the forecast looks ahead.
///
/// A longer horizon makes the forecast worse, a shorter one leaves no time to move.
const MOVED_SHARE: f64 = 0.1;

/// Longest time by which the forecast looks ahead, beside the age of the measured demand.
const MAX_LEAD: Duration = Duration::from_secs(8);

/// Deviation of a region's demand from the mean of all regions, as a fraction of the mean, from which
/// regions count as uneven.
const UNEVEN_DEVIATION: f64 = 0.25;

/// Deviation below which regions count as even again.
const EVEN_DEVIATION: f64 = 0.15;

/// Time for which a deviation must last before it counts.
///
/// Longer than reports are retained, so that a gateway whose callers already use others, and which
/// counts twice until its report expires, does not move a split.
const UNEVEN_AFTER: Duration = Duration::from_secs(5);

/// Time for which regions must be even before equal shares are assumed again.
///
/// Waves pass through equal demand twice in each period.
const EVEN_AFTER: Duration = Duration::from_secs(10);

/// Skill of the forecast from which splits follow it.
///
/// Moves by a forecast that has yet to learn a wave come too late, and cost cold runs besides.
const MIN_SKILL: f64 = 0.6;

/// Skill below which splits no longer follow the forecast.
const LOST_SKILL: f64 = 0.2;

/// Load of a region, in requests that run at once per slot, above which splits move.
///
/// Each move makes objects run at their full work until the new region knows them, so none is made
/// for an imbalance that the slots bear. Close to 1, queues form before a move has begun.
const MAX_LOAD: f64 = 0.8;

/// Number of steps between the present shares and the expected ones that are compared.
const MOVE_STEPS: u32 = 8;

/// Time constant of the smoothed rates that are compared with the thresholds.
const LEVEL_TIME: Duration = Duration::from_millis(1_500);

/// Number of standard deviations of the measured rates that a deviation must exceed in addition.
const NOISE_DEVIATIONS: f64 = 3.0;

/// Time over which the smoothed rates effectively count requests, in seconds.
const COUNTED_SECONDS: f64 = 4.0;

/// Change of a region's share, as a fraction of the mean share, that is ignored.
const IGNORED_CHANGE: f64 = 0.1;

/// Whether the demand of regions is used.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mode {
    /// Where regions differ by more than the threshold and the forecast is better than equal shares.
    Auto,
    /// Wherever it is known.
    On,
    /// Never; it is not reported either.
    #[default]
    Off,
}

/// Capacity for one service.
#[derive(Clone, Debug)]
pub struct Capacity {
    /// Slots of each region.
    pub regions: Vec<share::Capacity>,
    /// Mean processing time of a request.
    pub work: seconds::Seconds,
}

/// Demand for one service.
#[derive(Clone, Debug, Default)]
struct Service {
    /// Smoothed requests per second of the regions whose demand is known.
    levels: collections::BTreeMap<id::Region, f64>,
    updated_at: Option<Instant>,
    /// Forecast while the demand of all regions is known.
    forecast: Option<Forecast>,
    /// Shares that splits follow; `None` while equal ones are assumed.
    shares: Option<Shares>,
    /// Start of the deviation, or of its absence, that will switch to or from equal shares.
    since: Option<Instant>,
}

/// Demand of each region for each service, as known to one gateway.
#[derive(Clone, Debug, Default)]
pub struct Demand {
    mode: Mode,
    own: collections::BTreeMap<id::Service, Measure>,
    reports: Reports,
    timer: Timer,
    services: collections::BTreeMap<id::Service, Service>,
}

/// Measured rate of first attempts at this gateway.
#[derive(Clone, Copy, Debug)]
struct Measure {
    rate: rate::Rate,
    began: Instant,
}

impl Measure {
    fn new(now: Instant) -> Self {
        Self { rate: rate::Rate::new(MEASURE_TIME, now), began: now }
    }

    /// Returns the requests per second; `None` until they have been measured for long enough.
    fn get(&self, now: Instant) -> Option<f64> {
        let age = now.saturating_duration_since(self.began);
        // The average starts at zero, so it is too low at first.
        let counted = 1.0 - (-age.as_secs_f64() / MEASURE_TIME.as_secs_f64()).exp();
        let rate = self.rate.get(now) / counted.max(f64::EPSILON);
        (age >= MEASURE_TIME && rate >= MIN_RATE).then_some(rate)
    }
}

impl Demand {
    /// Sets whether the demand of regions is used.
    pub fn set_mode(&mut self, mode: Mode) {
        self.mode = mode;
        if mode == Mode::Off {
            *self = Self { mode, ..Self::default() };
        }
    }

    /// Records a first attempt that arrived at this gateway.
    pub fn record(&mut self, service: &id::Service, now: Instant) {
        if self.mode == Mode::Off {
            return;
        }
        match self.own.get_mut(service) {
            Some(measure) => measure.rate.add(1.0, now),
            None => {
                let mut measure = Measure::new(now);
                measure.rate.add(1.0, now);
                self.own.insert(service.clone(), measure);
            }
        }
    }

    /// Returns this gateway's rates in `region` for the services that `is_split` selects, if a report
    /// is due.
    pub fn report(
        &mut self,
        region: &id::Region,
        is_split: impl Fn(&id::Service) -> bool,
        now: Instant,
    ) -> Vec<Rate> {
        let rates = self.own.iter().filter(|(service, _)| is_split(service));
        let rates = rates.filter_map(|(service, measure)| {
            Some(Rate { key: Key::of(region, service), per_second: measure.get(now)? })
        });
        let rates: Vec<Rate> = rates.collect();
        match !rates.is_empty() && self.timer.is_report_due(now) {
            true => rates,
            false => Vec::new(),
        }
    }

    /// Returns the sum of the rates of the nodes that `wanted` selects, if `timer` is due.
    #[must_use]
    pub fn report_sum(
        &self,
        wanted: impl Fn(&id::Node) -> bool,
        timer: &mut Timer,
        now: Instant,
    ) -> Vec<Rate> {
        let sums = self.reports.sum(wanted, now);
        if sums.is_empty() || !timer.is_sum_due(now) {
            return Vec::new();
        }
        sums.into_iter().map(|(key, per_second)| Rate { key, per_second }).collect()
    }

    /// Replaces the rates that another node, or a sum of several, reported.
    pub fn receive(&mut self, node: id::Node, rates: Vec<Rate>, now: Instant) {
        if self.mode != Mode::Off {
            self.reports.receive(node, rates, now);
        }
    }

    /// Updates the forecasts and the shares of `regions` for `services`; `own` is this node's region.
    pub fn tick<'a>(
        &mut self,
        own: &id::Region,
        regions: &[id::Region],
        services: impl Iterator<Item = &'a id::Service>,
        limit: ramp::Limit,
        capacity: impl Fn(&id::Service) -> Capacity,
        now: Instant,
    ) {
        if self.mode == Mode::Off {
            return;
        }
        self.reports.expire(now);
        let horizon = horizon(limit);
        let reported = self.reports.sum(|_| true, now);
        let services: collections::BTreeSet<&id::Service> = services.collect();
        self.own.retain(|service, _| services.contains(service));
        self.services.retain(|service, _| services.contains(service));
        for service in services {
            let rate = |region: &id::Region| {
                let others = reported.get(&Key::of(region, service)).copied();
                let measured = self.own.get(service).and_then(|measure| measure.get(now));
                match (others, measured.filter(|_| region == own)) {
                    (None, None) => None,
                    (others, measured) => Some(others.unwrap_or(0.0) + measured.unwrap_or(0.0)),
                }
            };
            let rates: Vec<_> = regions.iter().map(|region| (region, rate(region))).collect();
            self.services.entry(service.clone()).or_default().tick(
                &rates,
                self.mode,
                horizon,
                || capacity(service),
                now,
            );
        }
    }

    /// Returns the shares of the regions in the demand for a service; `None` if equal ones are
    /// assumed.
    #[must_use]
    pub fn shares(&self, service: &id::Service) -> Option<&Shares> {
        self.services.get(service)?.shares.as_ref()
    }

    /// Iterates over the smoothed rates of all services and regions, for the state dump.
    pub fn rates(&self) -> impl Iterator<Item = (&id::Service, &id::Region, f64)> {
        self.services.iter().flat_map(|(service, known)| {
            known.levels.iter().map(move |(region, level)| (service, region, *level))
        })
    }
}

impl Service {
    /// Updates the forecast with the known `rates` of all regions, and the shares.
    fn tick(
        &mut self,
        rates: &[(&id::Region, Option<f64>)],
        mode: Mode,
        horizon: Duration,
        capacity: impl FnOnce() -> Capacity,
        now: Instant,
    ) {
        self.record(rates, now);
        let total: f64 = self.levels.values().sum();
        if rates.len() < 2 || self.levels.len() < rates.len() || total <= 0.0 {
            if let Some(forecast) = &mut self.forecast {
                forecast.interrupt();
            }
            self.shares = None;
            self.since = None;
            return;
        }
        let measured: Shares =
            rates.iter().map(|(region, rate)| ((*region).clone(), rate.unwrap_or(0.0))).collect();
        let measured = normalized(measured);
        match self.forecast.as_mut().filter(|forecast| forecast.is_of(&measured)) {
            Some(forecast) => forecast.record(measured, horizon, now),
            None => self.forecast = Some(Forecast::new(measured, now)),
        }
        let expected = match self.is_uneven(mode, now) {
            true => self.forecast.as_ref().map(|forecast| forecast.expected(now)),
            false => None,
        };
        self.shares = expected.map(|expected| {
            let shares = self.shares.take().unwrap_or_else(|| equal(&expected));
            move_as_needed(&shares, &expected, total, &capacity())
        });
    }

    /// Smooths the known rates; forgets the regions whose demand is not known.
    fn record(&mut self, rates: &[(&id::Region, Option<f64>)], now: Instant) {
        let elapsed =
            self.updated_at.map_or(Duration::ZERO, |at| now.saturating_duration_since(at));
        let weight = 1.0 - (-elapsed.as_secs_f64() / LEVEL_TIME.as_secs_f64()).exp();
        self.updated_at = Some(now);
        let known = rates.iter().filter_map(|(region, rate)| Some(((*region).clone(), (*rate)?)));
        let smoothed = |(region, rate): (id::Region, f64)| {
            let level = self.levels.get(&region).map_or(rate, |l| l + (rate - l) * weight);
            (region, level)
        };
        self.levels = known.map(smoothed).collect();
    }

    /// Returns whether the demand is used from now on.
    fn is_uneven(&mut self, mode: Mode, now: Instant) -> bool {
        let is_uneven = self.shares.is_some();
        if mode == Mode::On {
            return true;
        }
        let deviation = self.deviation();
        let skill = self.forecast.as_ref().map_or(0.0, Forecast::skill);
        let (changes, delay) = match is_uneven {
            true => (deviation < EVEN_DEVIATION || skill < LOST_SKILL, EVEN_AFTER),
            false => (deviation > UNEVEN_DEVIATION && skill > MIN_SKILL, UNEVEN_AFTER),
        };
        if !changes {
            self.since = None;
            return is_uneven;
        }
        let since = *self.since.get_or_insert(now);
        if now.saturating_duration_since(since) < delay {
            return is_uneven;
        }
        self.since = None;
        !is_uneven
    }

    /// Returns the greatest deviation of a region from the mean, as a fraction of the mean, less what
    /// chance explains.
    fn deviation(&self) -> f64 {
        let levels = || self.levels.values();
        #[expect(clippy::cast_precision_loss, reason = "a handful of regions")]
        let mean = levels().sum::<f64>() / self.levels.len() as f64;
        if mean <= 0.0 {
            return 0.0;
        }
        let noise = NOISE_DEVIATIONS / (mean * COUNTED_SECONDS).sqrt();
        levels().map(|level| (level / mean - 1.0).abs() - noise).fold(0.0, f64::max)
    }
}

/// Returns the time by which the forecast looks ahead where splits move within `limit`.
fn horizon(limit: ramp::Limit) -> Duration {
    let lead =
        limit.window.mul_f64((MOVED_SHARE / limit.share.as_f64().max(f64::EPSILON)).min(1e3));
    MEASURED_AGE + lead.min(MAX_LEAD)
}

/// Returns equal shares of the same regions.
fn equal(shares: &Shares) -> Shares {
    #[expect(clippy::cast_precision_loss, reason = "a handful of regions")]
    let share = 1.0 / shares.len().max(1) as f64;
    shares.keys().map(|region| (region.clone(), share)).collect()
}

/// Returns `shares` moved toward `expected` by the smallest step with which no region is expected to
/// be loaded above [`MAX_LOAD`], or else by the step with the lowest load.
///
/// `rate` is the demand of all regions together, in requests per second.
fn move_as_needed(shares: &Shares, expected: &Shares, rate: f64, capacity: &Capacity) -> Shares {
    let slots: f64 = capacity.regions.iter().map(|c| c.slots).sum();
    let mean_load = rate * capacity.work.0 / slots.max(f64::EPSILON);
    let followed = follow(shares, expected);
    let mut best: Option<(f64, Shares)> = None;
    for step in 0..=MOVE_STEPS {
        let moved = interpolate(shares, &followed, f64::from(step) / f64::from(MOVE_STEPS));
        let load = mean_load * share::peak_load(&capacity.regions, Some(&moved), expected);
        if load <= MAX_LOAD {
            return moved;
        }
        if best.as_ref().is_none_or(|(lowest, _)| load < *lowest) {
            best = Some((load, moved));
        }
    }
    best.map_or(followed, |(_, moved)| moved)
}

/// Returns the shares at the fraction `part` of the way from `start` to `end`.
fn interpolate(start: &Shares, end: &Shares, part: f64) -> Shares {
    let between = |(region, end): (&id::Region, &f64)| {
        let start = start.get(region).copied().unwrap_or(*end);
        (region.clone(), start + (end - start) * part)
    };
    end.iter().map(between).collect()
}

/// Returns `shares` moved toward `expected`, except for changes that are ignored.
fn follow(shares: &Shares, expected: &Shares) -> Shares {
    #[expect(clippy::cast_precision_loss, reason = "a handful of regions")]
    let ignored = IGNORED_CHANGE / expected.len().max(1) as f64;
    let moved = |(region, expected): (&id::Region, &f64)| {
        let share = shares
            .get(region)
            .map_or(*expected, |s| s.clamp(expected - ignored, expected + ignored));
        (region.clone(), share.max(0.0))
    };
    normalized(expected.iter().map(moved).collect())
}
