//! Connectivity: passes responses, failed connections and the results of checks to the rule.
//!
//! [`connectivity`] implements the rule.
//!
//! [`connectivity`]: crate::dispatch::connectivity

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use model::discovery;
use model::id;

use crate::dispatch::connectivity::check::{self, Verdict};
use crate::dispatch::connectivity::group::{Access, Change, SUSPECT_UPSTREAMS};
use crate::dispatch::connectivity::{Scope, report, sample};
use crate::dispatch::dispatcher::Dispatcher;
use crate::dispatch::eligibility;
use crate::dispatch::peer_load;
use crate::dispatch::upstream;

/// A check that is to be made: whether any of some upstreams of a group responds.
#[derive(Clone, Debug)]
pub struct Check {
    /// The group.
    pub scope: Scope,
    /// The upstreams.
    pub targets: Vec<Target>,
    /// Whether the group is lost already.
    pub is_lost: bool,
}

/// An upstream that is checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its compact identifier.
    pub key: peer_load::Key,
    /// Its address.
    pub address: net::SocketAddr,
    /// Path of its health check; without one, a connection that opens counts as a response.
    pub health_check_path: Option<String>,
}

impl Dispatcher {
    /// Records a response of an upstream on a new connection, which was opened at `opened`.
    pub fn record_new_connection_response(&mut self, upstream: &discovery::Entry, opened: Instant) {
        if let Some(upstream) = self.upstreams.get(&upstream.id) {
            self.connectivity.record_new_connection_response(upstream, opened);
        }
    }

    /// Records that a connection to an upstream could not be opened or brought no response; returns
    /// whether a check is due.
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

    /// Returns whether a new connection to an upstream may be opened for a request, and records that it is.
    pub fn may_open_connection(&mut self, upstream: &discovery::Entry, now: Instant) -> bool {
        let Some(known) = self.upstreams.get(&upstream.id) else { return true };
        self.connectivity.access(known, now) == Access::Full
            && self.connectivity.take_connection(known, now)
    }

    /// Returns the checks that are due, and records that they begin.
    pub fn begin_checks(&mut self, draw: sample::Draw<'_>, now: Instant) -> Vec<Check> {
        let due = self.connectivity.begin_checks(now).into_iter();
        let check = |scope| {
            let sample = sample::take(self.checkable(&scope, now), draw, now);
            let targets = sample.into_iter().map(|u| self.target(u)).collect();
            let is_lost = !self.connectivity.is_reached(&scope.service, &scope.region);
            Check { scope, targets, is_lost }
        };
        due.map(check).collect()
    }

    /// Records that a check gave [`Verdict::Closed`], [`check::WORK_TIME`] before it ends.
    pub fn record_closed(&mut self, scope: &Scope) -> Option<Change> {
        self.connectivity.record_closed(scope)
    }

    /// Records what a check showed.
    pub fn end_check(&mut self, scope: &Scope, verdict: Verdict) -> Option<Change> {
        let verdict = check::verdict_with_work(verdict, self.is_at_work(scope));
        let known = self.upstreams.groups();
        let known = known
            .map(|(service, region)| Scope { service: service.clone(), region: region.clone() });
        self.connectivity.end_check(scope, verdict, known)
    }

    /// Returns whether any node has had requests in flight at an upstream of a group since the latest check of
    /// the group began.
    fn is_at_work(&self, scope: &Scope) -> bool {
        let Some(since) = self.connectivity.checked(scope) else { return false };
        let is_earlier = |at: Option<Instant>| at.is_some_and(|at| at <= since);
        let mut upstreams = self.upstreams.of_region(&scope.service, &scope.region);
        upstreams.any(|upstream| {
            let load = &upstream.load;
            is_earlier(load.in_flight_since()) || is_earlier(load.peers_in_flight_since())
        })
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

    /// Returns the groups in which an upstream is silent, none has responded for the time from which that
    /// silence is suspect, and no check has succeeded since it began.
    ///
    /// A single silent upstream is enough: requests for one object go to one upstream, and those that
    /// follow go to others, which are not silent yet.
    fn silent_groups(&self, now: Instant) -> collections::BTreeSet<Scope> {
        let busy = self.busy.iter().filter_map(|name| self.upstreams.get(name));
        let mut groups = collections::BTreeSet::new();
        for upstream in busy.filter(|upstream| upstream.load.in_flight() > 0) {
            let mean = self.work.get(&upstream.entry.service).copied().unwrap_or_default().mean();
            let Some(silence) = upstream.health.suspect_silence(mean, now) else { continue };
            let entry = &upstream.entry;
            let responds = |u: &upstream::Upstream| {
                u.health
                    .answered()
                    .is_some_and(|at| now.saturating_duration_since(at) <= silence.limit)
            };
            let scope = Scope::of(upstream);
            if !groups.contains(&scope)
                && !self.connectivity.has_passed_since(&scope, silence.since)
                && !self.upstreams.of_region(&entry.service, &upstream.region).any(responds)
            {
                groups.insert(scope);
            }
        }
        groups
    }

    /// Returns whether a request in flight at an upstream gets no response before this node reaches the
    /// upstream again: its group is lost, and the upstream is silent for longer than its work explains.
    #[must_use]
    pub fn is_out_of_reach(&self, upstream: &discovery::Entry, now: Instant) -> bool {
        let Some(known) = self.upstreams.get(&upstream.id) else { return false };
        let mean = self.work.get(&upstream.service).copied().unwrap_or_default().mean();
        self.connectivity.is_lost(known, now) && known.health.is_silent(mean, now)
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
    ) -> Vec<Target> {
        let others = self.upstreams.iter().filter(|u| u.entry.address != upstream.address);
        let others = others.filter(|u| eligibility::takes_work(u, &self.evacuated, now));
        let sample = sample::take(others, draw, now);
        sample.into_iter().map(|u| self.target(u)).collect()
    }

    fn target(&self, upstream: &upstream::Upstream) -> Target {
        let rules = self.routing.services.get(&upstream.entry.service);
        let health_check_path = rules.and_then(|rules| rules.health_check_path.clone());
        Target { key: upstream.key, address: upstream.entry.address, health_check_path }
    }

    /// Returns the upstreams with these identifiers that are checked on behalf of another node.
    ///
    /// Those that do not serve this node by its own latest check are left out: with checks of the nodes for
    /// each other, the load on a service that no node reaches would grow with the fleet.
    #[must_use]
    pub fn targets(&self, keys: &[peer_load::Key]) -> Vec<Target> {
        let known = keys.iter().filter_map(|key| self.upstreams.get_by_key(*key));
        let known = known.filter(|upstream| self.connectivity.may_be_served(upstream));
        known.map(|upstream| self.target(upstream)).collect()
    }

    /// Iterates over the upstreams of a group that may be checked.
    fn checkable(&self, scope: &Scope, now: Instant) -> impl Iterator<Item = &upstream::Upstream> {
        let of_group = self.upstreams.of_region(&scope.service, &scope.region);
        of_group.filter(move |u| eligibility::takes_work(u, &self.evacuated, now))
    }
}
