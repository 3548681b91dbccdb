//! Roll-outs: which version of a service takes a request while the service moves to another version.
//!
//! Owns the orders, the recorded stages and the counts of answers by version. Every node limits the exposure of a
//! new version by its own counts ([`exposure`]), so that the fleet-wide limit also holds while nodes are
//! partitioned. The nodes report their counts of answers to each other, and each evaluates the sum ([`evidence`]).
//! A node that finds a version bad stops sending requests to it immediately, before the rollback is recorded.
//! [`progress`] decides when the next stage starts.

pub mod evidence;
pub mod exposure;
pub mod progress;

use std::collections;
use std::time::Instant;

use model::bounds;
use model::discovery;
use model::id;
use model::rollout;
use xxhash_rust::xxh3;

use crate::dispatch::upstream;

/// The upstreams of a service that may take a request, by their version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Versions {
    /// Any version.
    Any,
    /// The version that is rolled out.
    New(id::Version),
    /// Every other version.
    Old(id::Version),
}

impl Versions {
    /// Returns whether an upstream with this entry may take the request.
    #[must_use]
    pub fn contains(&self, entry: &discovery::Entry) -> bool {
        match self {
            Self::Any => true,
            Self::New(target) => entry.version.as_ref() == Some(target),
            Self::Old(target) => entry.version.as_ref() != Some(target),
        }
    }
}

/// A roll-out as this node knows it.
#[derive(Clone, Debug)]
pub struct Rollout {
    /// The order.
    pub order: rollout::Order,
    /// The stage in force.
    pub stage: rollout::Stage,
    /// Whether the stage is recorded in the store.
    pub is_recorded: bool,
    /// Whether this node found the new version bad.
    pub is_bad: bool,
    /// Known answers in this stage.
    pub answers: evidence::Answers,
    began: Instant,
    stage_began: Instant,
    sent: exposure::Sent,
}

impl Rollout {
    fn new(order: rollout::Order, now: Instant) -> Self {
        Self {
            order,
            stage: rollout::Stage::Exposed,
            is_recorded: false,
            is_bad: false,
            answers: evidence::Answers::default(),
            began: now,
            stage_began: now,
            sent: exposure::Sent::default(),
        }
    }

    /// Returns what the decision on the next stage depends on, without the state of the upstreams.
    #[must_use]
    pub fn standing(&self, now: Instant) -> progress::Standing {
        progress::Standing {
            stage: self.stage,
            is_recorded: self.is_recorded,
            is_bad: self.is_bad,
            since_order: now.saturating_duration_since(self.began),
            since_stage: now.saturating_duration_since(self.stage_began),
            period: self.order.period,
            new_answers: self.answers.total().new.answers,
        }
    }

    fn enter(&mut self, stage: rollout::Stage, now: Instant) {
        if self.stage != stage {
            self.stage = stage;
            self.stage_began = now;
            self.answers.clear();
            self.sent.begin_stage();
        }
    }
}

/// Counts of answers in one roll-out, reported by one node or for the sum of several.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Hash of the service, the order and the stage; counts of different stages are not added.
    pub key: u64,
    /// Counts by route.
    pub routes: Vec<(evidence::Route, evidence::Counts)>,
}

/// The roll-outs of all services.
#[derive(Clone, Debug, Default)]
pub struct Rollouts {
    by_service: collections::BTreeMap<id::Service, Rollout>,
}

impl Rollouts {
    /// Replaces the orders in force and the recorded stages; returns the services whose stage changed.
    pub fn configure(
        &mut self,
        orders: Vec<rollout::Order>,
        records: &[rollout::Record],
        now: Instant,
    ) -> Vec<id::Service> {
        let mut before = std::mem::take(&mut self.by_service);
        let mut changed = Vec::new();
        for order in orders {
            let service = order.service.clone();
            let known = before.remove(&service).filter(|known| known.order == order);
            let was = known.as_ref().map(|known| known.stage);
            let mut rollout = known.unwrap_or_else(|| Rollout::new(order, now));
            let is_of = |record: &&rollout::Record| {
                record.service == service
                    && record.target == rollout.order.target
                    && record.order == rollout.order.number
            };
            if let Some(record) = records.iter().find(is_of) {
                rollout.is_recorded = true;
                rollout.enter(record.stage.max(rollout.stage), now);
            }
            if was != Some(rollout.stage) {
                changed.push(service.clone());
            }
            self.by_service.insert(service, rollout);
        }
        changed
    }

    /// Iterates over the roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.by_service.values()
    }

    /// Returns the roll-out of a service.
    #[must_use]
    pub fn get(&self, service: &id::Service) -> Option<&Rollout> {
        self.by_service.get(service)
    }

    /// Returns the versions that may take a request, in order of preference.
    ///
    /// A retry goes to the old versions, so that a bad version cannot fail the same request twice.
    #[must_use]
    pub fn versions(
        &self,
        service: &id::Service,
        is_first_try: bool,
        limits: &exposure::Limits,
        now: Instant,
    ) -> Vec<Versions> {
        let Some(rollout) = self.by_service.get(service) else { return vec![Versions::Any] };
        let target = &rollout.order.target;
        let (new, old) = (Versions::New(target.clone()), Versions::Old(target.clone()));
        match rollout.stage {
            _ if rollout.is_bad => vec![old],
            rollout::Stage::RolledBack => vec![old],
            rollout::Stage::Completed => vec![new, Versions::Any],
            rollout::Stage::Whole => vec![new, old],
            stage => {
                let is_exposed = is_first_try
                    && rollout.sent.is_due(exposure::share(stage, limits))
                    && rollout.sent.permits(limits, rollout.standing(now));
                if is_exposed { vec![new, old] } else { vec![old] }
            }
        }
    }

    /// Returns whether an upstream carries the main part of its service's requests.
    #[must_use]
    pub fn is_main(&self, entry: &discovery::Entry) -> bool {
        let Some(rollout) = self.by_service.get(&entry.service) else { return true };
        let is_new = entry.version.as_ref() == Some(&rollout.order.target);
        match rollout.stage {
            rollout::Stage::Whole => is_new,
            rollout::Stage::Completed => true,
            _ => !is_new,
        }
    }

    /// Returns whether an upstream runs a version that is being judged.
    #[must_use]
    pub fn is_judged(&self, entry: &discovery::Entry) -> bool {
        let rollout = self.by_service.get(&entry.service);
        rollout.is_some_and(|rollout| {
            rollout.stage != rollout::Stage::Completed
                && entry.version.as_ref() == Some(&rollout.order.target)
        })
    }

    /// Counts a request that is sent to `upstream`; `is_first` is false for retries.
    pub fn record_sent(&mut self, upstream: &discovery::Entry, is_first: bool) {
        if let Some(rollout) = self.by_service.get_mut(&upstream.service) {
            let is_new = upstream.version.as_ref() == Some(&rollout.order.target);
            rollout.sent.record(is_new, is_first);
        }
    }

    /// Counts the end of an attempt on `route`.
    pub fn record_answer(
        &mut self,
        upstream: &upstream::Upstream,
        route: &id::Route,
        quality: evidence::Quality,
    ) {
        let entry = &upstream.entry;
        if let Some(rollout) = self.by_service.get_mut(&entry.service) {
            let is_new = entry.version.as_ref() == Some(&rollout.order.target);
            rollout.answers.record(evidence::Route::of(route), is_new, quality);
        }
    }

    /// Evaluates every new version; returns the services whose version was found bad now.
    pub fn judge(&mut self) -> Vec<id::Service> {
        let mut bad = Vec::new();
        for (service, rollout) in &mut self.by_service {
            let is_open = !rollout.stage.is_outcome() && !rollout.is_bad;
            let comparison = match rollout.stage {
                rollout::Stage::Whole => evidence::Comparison::Alone,
                _ => evidence::Comparison::OldVersions,
            };
            if is_open && rollout.answers.is_bad(comparison) {
                rollout.is_bad = true;
                bad.push(service.clone());
            }
        }
        bad
    }

    /// Returns this node's counts.
    #[must_use]
    pub fn report(&self) -> Vec<Report> {
        self.reports(|rollout| rollout.answers.own())
    }

    /// Returns the sum of the counts of the nodes that `wanted` selects.
    #[must_use]
    pub fn report_sum(&self, wanted: impl Fn(&id::Node) -> bool) -> Vec<Report> {
        self.reports(|rollout| rollout.answers.sum(&wanted))
    }

    fn reports(&self, routes: impl Fn(&Rollout) -> evidence::ByRoute) -> Vec<Report> {
        let open = self.by_service.values().filter(|rollout| !rollout.stage.is_outcome());
        let report = |rollout: &Rollout| Report {
            key: key(rollout),
            routes: routes(rollout).into_iter().collect(),
        };
        open.map(report).filter(|report| !report.routes.is_empty()).collect()
    }

    /// Replaces the counts of another node, or of several together.
    pub fn receive(&mut self, node: &id::Node, reports: &[Report]) {
        for rollout in self.by_service.values_mut() {
            let own = key(rollout);
            if let Some(report) = reports.iter().find(|report| report.key == own) {
                rollout.answers.receive(node, report.routes.iter().copied().collect());
            }
        }
    }
}

/// Returns the key under which nodes report the counts of a roll-out's stage.
fn key(rollout: &Rollout) -> u64 {
    let seed = rollout.order.number.wrapping_mul(16) + rollout.stage as u64;
    xxh3::xxh3_64_with_seed(rollout.order.service.as_str().as_bytes(), seed)
}

/// Returns the limits of the exposure at one of `nodes` nodes.
#[must_use]
pub fn limits(bounds: &bounds::Bounds, nodes: usize) -> exposure::Limits {
    #[expect(clippy::cast_precision_loss, reason = "a few thousand nodes")]
    let nodes = nodes.max(1) as f64;
    exposure::Limits { share: bounds.expose_share, slack: bounds.expose_slack / nodes }
}
