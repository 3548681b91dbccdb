//! Routing of requests from callers: selects the region by the split, and an owner there by its load.
//!
//! Keeps the rotation of each service and place, the outstanding requests, and the usage that owners
//! reported. [`owners`] finds the owners, [`retry`] decides on retries, and
//! [`planner`](crate::ownership::planner) computes the targets of the splits.
//!
//! `selection` selects the owner of a request, and `planning` moves the splits.

mod planning;
mod selection;

use std::collections;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::id;
use model::member;
use model::service;
use model::snapshot;
use model::table;
use model::verdict;

use crate::ownership::action;
use crate::ownership::budget;
use crate::ownership::heartbeat;
use crate::ownership::owners;
use crate::ownership::request;
use crate::ownership::retry;
use crate::ownership::rotation;
use crate::ownership::summaries;

pub use planning::Measured;

/// `Retry-After` if no owner could be reached. Silent nodes are suspected and regional tables rewritten
/// within about this time.
const RETRY_AFTER: Duration = Duration::from_secs(2);

/// Routes the requests that this node receives from callers.
#[derive(Debug, Default)]
pub struct Router {
    rotations: collections::BTreeMap<(id::Service, id::Place), rotation::Rotation>,
    owners: collections::BTreeMap<(id::Service, id::Region), Vec<owners::Owner>>,
    /// The summaries of owners and regions.
    pub summaries: summaries::Summaries,
    routed: collections::HashMap<request::Id, Routed>,
    budgets: collections::BTreeMap<id::Service, budget::Budget>,
    outstanding: collections::BTreeMap<(id::Service, id::Node), u32>,
    reported: collections::BTreeMap<(id::Service, id::Node), ReportedUsage>,
}

/// An owner's last reported usage, less this node's outstanding requests there.
#[derive(Clone, Copy, Debug)]
struct ReportedUsage {
    others: u32,
    usable: u32,
    at: Instant,
}

/// A request that was routed to an owner.
#[derive(Debug)]
struct Routed {
    service: id::Service,
    region: Option<id::Region>,
    owner: Option<id::Node>,
    tried: Vec<id::Node>,
    /// Number of tries that failed because the owner had no free slot.
    busy_tries: usize,
    /// Whether any earlier try may have run the request.
    earlier_verdict: verdict::Verdict,
}

/// A request to be routed to a region and an owner.
#[derive(Clone, Debug)]
pub struct RoutingRequest {
    /// The request.
    pub request: request::Id,
    /// The service.
    pub service: id::Service,
    /// The caller's place.
    pub place: id::Place,
    /// The region, if the node that received the request from the caller has selected it already.
    pub region: Option<id::Region>,
}

/// State outside the router that routing and planning read.
pub struct View<'a> {
    /// The configuration.
    pub snapshot: &'a snapshot::Snapshot,
    /// Returns whether a region counts as lost because all its nodes have been silent for too long.
    pub is_lost: &'a dyn Fn(&id::Region) -> bool,
    /// The region of this node.
    pub region: &'a id::Region,
    /// The current time.
    pub now: Instant,
    /// The wall-clock time, on which drains are scheduled.
    pub wall: SystemTime,
}

impl std::fmt::Debug for View<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("View").field("now", &self.now).finish_non_exhaustive()
    }
}

impl Router {
    /// Applies an owner's summary if it is newer than the previous one.
    pub fn record_summary(&mut self, summary: &heartbeat::Summary, now: Instant) {
        if self.summaries.record(summary, now) {
            let busy = summary.in_flight + summary.queued;
            let usage = heartbeat::Usage { busy, usable: summary.usable };
            self.record_usage(&summary.key.node, &summary.service, usage, now);
        }
    }

    /// Records the usage of a service's slots at an owner.
    pub fn record_usage(
        &mut self,
        owner: &id::Node,
        service: &id::Service,
        usage: heartbeat::Usage,
        now: Instant,
    ) {
        let own = self.outstanding(service, owner);
        let others = usage.busy.saturating_sub(own);
        let key = (service.clone(), owner.clone());
        self.reported.insert(key, ReportedUsage { others, usable: usage.usable, at: now });
    }

    /// Recomputes the owners of every service.
    pub fn update_owners(
        &mut self,
        snapshot: &snapshot::Snapshot,
        tables: &collections::BTreeMap<id::Region, sync::Arc<table::Table>>,
        is_alive: &dyn Fn(&member::Key) -> bool,
    ) {
        self.owners.clear();
        for stored in snapshot.services.values() {
            for (region, table) in tables {
                let owners = owners::find(table, &stored.spec, is_alive);
                if !owners.is_empty() {
                    self.owners.insert((stored.spec.name.clone(), region.clone()), owners);
                }
            }
        }
    }

    /// Routes a request, or refuses it if no region can take it.
    pub fn route(
        &mut self,
        routing: RoutingRequest,
        view: &View<'_>,
        out: &mut Vec<action::Action>,
    ) {
        let region = match routing.region {
            Some(region) => Some(region),
            None => {
                self.budgets.entry(routing.service.clone()).or_default().earn();
                self.next_region(&routing.service, &routing.place, view)
            }
        };
        let routed = Routed {
            service: routing.service,
            region,
            owner: None,
            tried: Vec::new(),
            busy_tries: 0,
            earlier_verdict: verdict::Verdict::NotRun,
        };
        self.send(routing.request, routed, view, out);
    }

    /// Returns the owner that a request was last sent to.
    #[must_use]
    pub fn owner_of(&self, request: request::Id) -> Option<&id::Node> {
        self.routed.get(&request).and_then(|routed| routed.owner.as_ref())
    }

    /// Removes a request that was answered or whose caller gave up.
    pub fn finish(&mut self, request: request::Id) {
        self.take(request);
    }

    /// Retries a failed request in the same region, or refuses it.
    pub fn retry_or_refuse(
        &mut self,
        request: request::Id,
        failure: verdict::Failure,
        repetition: service::RetryPolicy,
        view: &View<'_>,
        out: &mut Vec<action::Action>,
    ) {
        let Some(mut routed) = self.take(request) else { return };
        let last = failure;
        let failure = last.with_earlier_verdict(routed.earlier_verdict);
        routed.earlier_verdict = failure.verdict;
        routed.busy_tries += usize::from(failure.reason == verdict::Reason::Busy);
        let tries = u32::try_from(routed.tried.len() - routed.busy_tries).unwrap_or(u32::MAX);
        let budget = self.budgets.entry(routed.service.clone()).or_default();
        match retry::may_retry(last, repetition, tries, budget) {
            true => self.send(request, routed, view, out),
            false => out.push(action::Action::Refuse { request, failure }),
        }
    }

    /// Returns the number of outstanding requests.
    #[must_use]
    pub fn load(&self) -> usize {
        self.routed.len()
    }

    fn send(
        &mut self,
        request: request::Id,
        mut routed: Routed,
        view: &View<'_>,
        out: &mut Vec<action::Action>,
    ) {
        let Some(choice) = self.select_owner(&routed, view) else {
            let failure =
                verdict::Failure::not_run(verdict::Reason::NoRegion).with_retry_after(RETRY_AFTER);
            let failure = failure.with_earlier_verdict(routed.earlier_verdict);
            return out.push(action::Action::Refuse { request, failure });
        };
        let selection::Choice { region, owner, may_wait } = choice;
        let owners::Owner { key: owner, peers, .. } = owner;
        let node = &owner.node;
        *self.outstanding.entry((routed.service.clone(), node.clone())).or_insert(0) += 1;
        routed.owner = Some(node.clone());
        routed.tried.push(node.clone());
        self.routed.insert(request, routed);
        out.push(action::Action::Forward { request, region, owner, peers, may_wait });
    }

    fn take(&mut self, request: request::Id) -> Option<Routed> {
        let routed = self.routed.remove(&request)?;
        if let Some(owner) = &routed.owner {
            let key = (routed.service.clone(), owner.clone());
            if let Some(count) = self.outstanding.get_mut(&key) {
                *count = count.saturating_sub(1);
            }
        }
        Some(routed)
    }

    fn outstanding(&self, service: &id::Service, node: &id::Node) -> u32 {
        self.outstanding.get(&(service.clone(), node.clone())).copied().unwrap_or(0)
    }
}
