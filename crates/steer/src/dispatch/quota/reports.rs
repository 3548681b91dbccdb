//! Usages that other nodes reported.
//!
//! Keeps the latest usage by node and organisation, and the sums over nodes, which are updated with
//! each report. A usage that is not reported again becomes invalid after a
//! [time](report_timing::ReportTiming). The demand of all organisations at a node is kept for some
//! seconds more, since a node that became unreachable may still admit requests.

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::quota::rate;
use crate::dispatch::quota::report_timing;
use crate::dispatch::quota::usage::{self, Admitted, Key, Usage};

/// Time for which the demand at an unreachable node is kept.
///
/// Longer than an isolated node keeps its lease and its callers keep their lookup results.
const UNREACHABLE_RETENTION: Duration = Duration::from_secs(15);

/// Latest usage that a node reported.
#[derive(Clone, Debug)]
struct Report {
    usage: Usage,
    received_at: Instant,
    /// Whether the usage is included in the sum of the demand.
    is_valid: bool,
    /// Whether it is also included in the sum of admitted requests.
    is_extrapolated: bool,
    /// Admitted requests that have not been forwarded yet, as a decaying rate.
    unforwarded: rate::Rate,
}

impl Report {
    fn new(usage: Usage, timing: report_timing::ReportTiming, now: Instant) -> Self {
        let unforwarded = rate::Rate::new(usage::TIME_CONSTANT, now);
        let is_extrapolated = timing.extrapolates();
        Self { usage, received_at: now, is_valid: true, is_extrapolated, unforwarded }
    }

    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.received_at)
    }

    /// Replaces the usage; returns how many more requests were admitted than the previous usage
    /// predicted.
    fn replace(&mut self, usage: Usage, timing: report_timing::ReportTiming, now: Instant) -> f64 {
        let age = self.age(now);
        let predicted = self.usage.admitted * age.min(timing.extrapolation).as_secs_f64();
        let (admitted, surplus) = match usage.admitted_since(&self.usage, age, timing) {
            Admitted::SinceReport(admitted) => (admitted, admitted - predicted),
            Admitted::SinceRestart(admitted) => (predicted + admitted, admitted),
        };
        self.unforwarded.add(admitted, now);
        (self.usage, self.received_at) = (usage, now);
        (self.is_valid, self.is_extrapolated) = (true, timing.extrapolates());
        surplus
    }
}

/// Effect of a report on the fleet's bucket.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Effect {
    /// How many more requests the node admitted than its previous report predicted; negative if it
    /// admitted fewer.
    Surplus(f64),
    /// First report of the node; until then the node is assumed to admit its share of the limit.
    First,
}

/// Sum of the usages at reachable nodes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Sum {
    /// Requests per second that reach the nodes.
    pub demand: f64,
    /// Requests per second that the nodes admit.
    pub admitted: f64,
}

impl Sum {
    fn add(&mut self, usage: &Usage, is_extrapolated: bool, sign: f64) {
        self.demand = (self.demand + sign * usage.asked).max(0.0);
        if is_extrapolated {
            self.admitted = (self.admitted + sign * usage.admitted).max(0.0);
        }
    }
}

/// Reports about one organisation.
#[derive(Clone, Debug, Default)]
struct KeyReports {
    by_node: collections::HashMap<id::Node, Report>,
    sum: Sum,
    /// Last reported demand at nodes that have become unreachable, in requests per second.
    unreachable_demand: f64,
    /// When a node last reported that the organisation is near its limit.
    near_limit_at: Option<Instant>,
}

impl KeyReports {
    fn record(
        &mut self,
        node: &id::Node,
        usage: Usage,
        timing: report_timing::ReportTiming,
        now: Instant,
    ) -> Effect {
        if usage.is_near {
            self.near_limit_at = Some(now);
        }
        let Some(report) = self.by_node.get_mut(node) else {
            let mut report = Report::new(usage, timing, now);
            report.unforwarded.add(usage.excess, now);
            self.by_node.insert(node.clone(), report);
            self.sum.add(&usage, timing.extrapolates(), 1.0);
            return Effect::First;
        };
        let (previous, was_valid) = (report.usage, report.is_valid);
        let was_extrapolated = report.is_extrapolated;
        let surplus = report.replace(usage, timing, now);
        match was_valid {
            true => self.sum.add(&previous, was_extrapolated, -1.0),
            false => {
                self.unreachable_demand = (self.unreachable_demand - previous.asked).max(0.0);
            }
        }
        self.sum.add(&usage, timing.extrapolates(), 1.0);
        Effect::Surplus(surplus)
    }

    /// Removes reports older than `retention`, and recomputes the sums so that no rounding errors
    /// accumulate.
    fn expire(&mut self, retention: Duration, timing: report_timing::ReportTiming, now: Instant) {
        let (mut sum, mut unreachable_demand) = (Sum::default(), 0.0);
        self.by_node.retain(|_, report| {
            let age = report.age(now);
            report.is_valid = age < timing.validity;
            report.is_extrapolated = age < timing.extrapolation;
            match report.is_valid {
                true => sum.add(&report.usage, report.is_extrapolated, 1.0),
                false if age < retention => unreachable_demand += report.usage.asked,
                false => {}
            }
            age < retention
        });
        (self.sum, self.unreachable_demand) = (sum, unreachable_demand);
    }

    /// Returns the summed usage of the nodes selected by `is_included`, and the number of their
    /// admitted requests that have not been forwarded yet; marks these as forwarded.
    fn forward(
        &mut self,
        is_included: &impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Option<(Usage, f64)> {
        let included = self.by_node.iter_mut().filter(|(node, r)| r.is_valid && is_included(node));
        let mut sum: Option<(Usage, f64)> = None;
        for (_, report) in included {
            let (usage, admitted) = sum.get_or_insert((Usage::idle(report.usage.key), 0.0));
            usage.asked += report.usage.asked;
            usage.excess += report.usage.excess;
            usage.debt = usage.debt.max(report.usage.debt);
            usage.is_near |= report.usage.is_near;
            *admitted += report.unforwarded.get(now) * usage::TIME_CONSTANT.as_secs_f64();
            report.unforwarded = rate::Rate::new(usage::TIME_CONSTANT, now);
        }
        sum
    }
}

/// Latest usages that other nodes reported.
#[derive(Clone, Debug, Default)]
pub struct Reports {
    /// Reports about all organisations together.
    total: KeyReports,
    by_key: collections::HashMap<Key, KeyReports>,
    timing: report_timing::ReportTiming,
}

impl Reports {
    /// Sets how often nodes repeat their usages.
    pub fn set_timing(&mut self, timing: report_timing::ReportTiming) {
        self.timing = timing;
    }

    /// Records a usage that a node reported.
    pub fn record(&mut self, node: &id::Node, usage: Usage, now: Instant) -> Effect {
        let key_reports = match usage.key {
            Key::ALL => &mut self.total,
            key => self.by_key.entry(key).or_default(),
        };
        key_reports.record(node, usage, self.timing, now)
    }

    /// Returns how many nodes, or sums of several nodes, have reported.
    #[must_use]
    pub fn reporting_nodes(&self) -> usize {
        self.total.by_node.len()
    }

    /// Returns the demand of all organisations at reachable nodes, in requests per second.
    #[must_use]
    pub fn reachable_demand(&self) -> f64 {
        self.total.sum.demand
    }

    /// Returns the last reported demand of all organisations at nodes that have become unreachable,
    /// in requests per second.
    #[must_use]
    pub fn unreachable_demand(&self) -> f64 {
        self.total.unreachable_demand
    }

    /// Returns the sum of an organisation over the reachable nodes.
    #[must_use]
    pub fn sum(&self, key: Key) -> Sum {
        self.by_key.get(&key).map(|key_reports| key_reports.sum).unwrap_or_default()
    }

    /// Returns the organisations that a node reported as near their limits within the last `time`.
    #[must_use]
    pub fn near_limit(&self, now: Instant, time: Duration) -> Vec<Key> {
        let is_near = |key_reports: &KeyReports| {
            key_reports.near_limit_at.is_some_and(|at| now.saturating_duration_since(at) < time)
        };
        let near = self.by_key.iter().filter(|(_, key_reports)| is_near(key_reports));
        near.map(|(key, _)| *key).collect()
    }

    /// Returns the summed usages of the nodes selected by `is_included`, by organisation, each with
    /// the number of admitted requests that have not been forwarded yet; marks these as forwarded.
    pub fn forward(
        &mut self,
        is_included: impl Fn(&id::Node) -> bool,
        now: Instant,
    ) -> Vec<(Usage, f64)> {
        let all = std::iter::once(&mut self.total).chain(self.by_key.values_mut());
        all.filter_map(|key_reports| key_reports.forward(&is_included, now)).collect()
    }

    /// Removes reports that are no longer needed.
    pub fn expire(&mut self, now: Instant) {
        let timing = self.timing;
        self.total.expire(UNREACHABLE_RETENTION, timing, now);
        self.by_key.retain(|_, key_reports| {
            key_reports.expire(timing.validity.max(super::NEAR_LIMIT_TIME), timing, now);
            !key_reports.by_node.is_empty()
        });
    }
}
