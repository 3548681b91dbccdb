//! Connectivity: passes connections, their failures and the results of checks to the rule.
//!
//! [`connectivity`] implements the rule.
//!
//! [`connectivity`]: crate::dispatch::connectivity

use std::collections;
use std::sync;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::connectivity::group::{Access, Change, SUSPECT_UPSTREAMS};
use crate::dispatch::connectivity::{Scope, report, sample};
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::upstream;

/// A check that is to be made: connections to some upstreams of a group, without a request.
#[derive(Clone, Debug)]
pub struct Check {
    /// The group.
    pub scope: Scope,
    /// The upstreams.
    pub upstreams: Vec<sync::Arc<discovery::Entry>>,
}

impl Dispatcher {
    /// Records that a request opened a connection to an upstream.
    pub fn record_connection(&mut self, upstream: &discovery::Entry) {
        if let Some(upstream) = self.upstreams.get(&upstream.id) {
            self.connectivity.record_connection(upstream);
        }
    }

    /// Records that a connection to an upstream could not be opened or was closed; returns whether a
    /// check is due.
    pub fn record_connection_failure(&mut self, upstream: &discovery::Entry, now: Instant) -> bool {
        let Some(upstream) = self.upstreams.get(&upstream.id) else { return false };
        let usable = self.checkable(&Scope::of(upstream), now).take(SUSPECT_UPSTREAMS).count();
        self.connectivity.record_failure(upstream, usable, now)
    }

    /// Returns how requests may be sent to an upstream.
    #[must_use]
    pub fn access(&self, upstream: &discovery::Entry, now: Instant) -> Access {
        let known = self.upstreams.get(&upstream.id);
        known.map_or(Access::Full, |known| self.connectivity.access(known, now))
    }

    /// Returns the checks that are due, and records that they begin.
    pub fn begin_checks(&mut self, draw: sample::Draw<'_>, now: Instant) -> Vec<Check> {
        let due = self.connectivity.begin_checks(now).into_iter();
        let check = |scope| {
            let sample = sample::take(self.checkable(&scope, now), draw, now);
            let upstreams = sample.into_iter().map(|u| sync::Arc::clone(&u.entry)).collect();
            Check { scope, upstreams }
        };
        due.map(check).collect()
    }

    /// Records whether any upstream of a check could be connected to.
    pub fn end_check(&mut self, scope: &Scope, is_connected: bool) -> Option<Change> {
        let known = self.upstreams.groups();
        let known = known
            .map(|(service, region)| Scope { service: service.clone(), region: region.clone() });
        self.connectivity.end_check(scope, is_connected, known)
    }

    /// Returns whether a check is due, after applying what time changes.
    pub fn is_check_due(&mut self, now: Instant) -> bool {
        for scope in self.silent_groups(now) {
            self.connectivity.suspect(scope);
        }
        let upstreams = &self.upstreams;
        self.connectivity.retain(|service, region| upstreams.has_group(service, region), now);
        self.connectivity.is_check_due(now)
    }

    /// Returns the groups whose upstreams with requests in flight are all silent or ejected.
    fn silent_groups(&self, now: Instant) -> Vec<Scope> {
        let busy = self.busy.iter().filter_map(|name| self.upstreams.get(name));
        let mut groups: collections::BTreeMap<Scope, (usize, bool)> = collections::BTreeMap::new();
        for upstream in busy.filter(|upstream| upstream.load.in_flight() > 0) {
            let mean = self.work.get(&upstream.entry.service).copied().unwrap_or_default().mean();
            let (count, is_silent) = groups.entry(Scope::of(upstream)).or_insert((0, true));
            *count += 1;
            *is_silent &= !upstream.health.is_healthy(mean, now);
        }
        let is_suspect =
            |(count, is_silent): &(usize, bool)| *is_silent && *count >= SUSPECT_UPSTREAMS;
        groups.into_iter().filter(|(_, group)| is_suspect(group)).map(|(scope, _)| scope).collect()
    }

    /// Returns the services that this node cannot connect to in any region.
    #[must_use]
    pub fn unreached_services(&self) -> collections::BTreeSet<&id::Service> {
        let lost: collections::BTreeSet<&id::Service> =
            self.connectivity.unreached().map(|(service, _)| service).collect();
        let is_reached = |service: &id::Service| {
            let mut groups = self.upstreams.groups().filter(|(of, _)| *of == service);
            groups.any(|(service, region)| self.connectivity.is_reached(service, region))
        };
        lost.into_iter().filter(|service| !is_reached(service)).collect()
    }

    /// Iterates over the services and regions whose upstreams this node cannot connect to.
    pub fn unreached_groups(&self) -> impl Iterator<Item = (&id::Service, &id::Region)> {
        self.connectivity.unreached()
    }

    /// Returns the services that this node cannot connect to, as reported to other nodes.
    #[must_use]
    pub fn connectivity_report(&self) -> report::Report {
        report::Report::new(
            self.unreached_services().into_iter(),
            self.upstreams.services().count(),
        )
    }

    /// Returns the time since a group of a service was lost, or `None` if all are reached.
    #[must_use]
    pub(super) fn unreached_for(&self, service: &id::Service, now: Instant) -> Option<Duration> {
        self.connectivity.unreached_for(service, now)
    }

    /// Returns a few upstreams of all groups, except `upstream`.
    #[must_use]
    pub fn others_than(
        &self,
        upstream: &discovery::Entry,
        draw: sample::Draw<'_>,
        now: Instant,
    ) -> Vec<sync::Arc<discovery::Entry>> {
        let others = self.upstreams.iter().filter(|u| u.entry.address != upstream.address);
        let others = others.filter(|u| eligibility::takes_work(u, &self.evacuated, now));
        let sample = sample::take(others, draw, now);
        sample.into_iter().map(|u| sync::Arc::clone(&u.entry)).collect()
    }

    /// Iterates over the upstreams of a group that a check may connect to.
    fn checkable(&self, scope: &Scope, now: Instant) -> impl Iterator<Item = &upstream::Upstream> {
        let of_group = self.upstreams.of_region(&scope.service, &scope.region);
        of_group.filter(move |u| eligibility::takes_work(u, &self.evacuated, now))
    }
}
