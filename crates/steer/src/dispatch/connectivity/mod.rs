//! Connectivity: whether this node reaches the upstreams of a service in a region.
//!
//! Health judges each upstream alone, and only by requests. A node that is cut off from all
//! upstreams, or from those of a region, would eject one after the other and try them again with its
//! callers' requests. This rule concludes from failures at several upstreams of a [`group`] that the
//! node itself may be cut off, and has that checked: the gateway requests the health check of
//! a few of them ([`sample`]) and waits for the first byte. Any status shows that the upstream is reached. A
//! service without a health check has its connections opened only. If the upstreams accept connections and do
//! not respond, they may be full, and other nodes are asked ([`check`]). If they close all connections, the group
//! gets few new ones, and none but those of checks where no node has requests in flight. While the group is lost, it gets no
//! requests. A service without another group is refused at once and reported to other nodes ([`report`]),
//! and [`lookup`] returns nodes that reach it. Only checks find out that the group is
//! reached again.
//!
//! A request without a response is no failure by itself, because the upstream may work on it for long. It
//! leads to a check where its upstream is silent while no other responds, or where its deadline passes at a
//! silent upstream. Requests in flight are not ended, whatever the check finds: the upstream may be at work
//! on them, and their responses arrive when the connection works again. Where the group is lost, those that
//! may be repeated are sent to another upstream.
//!
//! A node that is cut off and a service whose upstreams are all down are not distinguished. In the
//! second case all nodes report the same, and look-ups return them as if none did.
//!
//! [`lookup`]: crate::dispatch::fleet::lookup

pub mod check;
pub mod group;
pub mod report;
pub mod sample;

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::connectivity::check::Verdict;
use crate::dispatch::connectivity::group::{Access, Change, Group};
use crate::dispatch::upstream;

/// Names the upstreams of one service in one region.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Scope {
    /// The service.
    pub service: id::Service,
    /// The region.
    pub region: id::Region,
}

impl Scope {
    /// Returns the scope of an upstream.
    #[must_use]
    pub fn of(upstream: &upstream::Upstream) -> Self {
        Self { service: upstream.entry.service.clone(), region: upstream.region.clone() }
    }

    /// Returns whether a node that lost this group may have lost `other` by the same cause.
    fn is_related(&self, other: &Self) -> bool {
        self != other && (self.service == other.service || self.region == other.region)
    }
}

/// Groups of one service, by region.
type GroupsByRegion = collections::BTreeMap<id::Region, Group>;

/// Connectivity of the groups at which something failed lately.
#[derive(Clone, Debug, Default)]
pub struct Connectivity {
    services: collections::BTreeMap<id::Service, GroupsByRegion>,
}

impl Connectivity {
    /// Records a connection to an upstream that failed or brought no response, one of `usable` in its
    /// group; returns whether a check is due.
    pub fn record_failure(
        &mut self,
        upstream: &upstream::Upstream,
        usable: usize,
        now: Instant,
    ) -> bool {
        let group = self.entry(Scope::of(upstream));
        group.record_failure(&upstream.entry.id, usable, now);
        group.is_check_due(now)
    }

    /// Records a response of an upstream on a new connection, which was opened at `opened`.
    pub fn record_new_connection_response(
        &mut self,
        upstream: &upstream::Upstream,
        opened: Instant,
    ) {
        if let Some(group) = self.group_mut(&upstream.entry.service, &upstream.region) {
            group.record_new_connection_response(opened);
        }
    }

    /// Records a response of an upstream.
    pub fn record_response(&mut self, upstream: &upstream::Upstream, now: Instant) {
        if let Some(group) = self.group_mut(&upstream.entry.service, &upstream.region) {
            group.record_response(now);
        }
    }

    /// Requests a check of a group that may not be reached.
    pub fn suspect(&mut self, scope: Scope) {
        self.entry(scope).suspect();
    }

    /// Returns the groups whose check is due, and records that they begin.
    pub fn begin_checks(&mut self, now: Instant) -> Vec<Scope> {
        let mut due = Vec::new();
        for (service, groups) in &mut self.services {
            for (region, group) in groups.iter_mut().filter(|(_, g)| g.is_check_due(now)) {
                group.begin_check(now);
                due.push(Scope { service: service.clone(), region: region.clone() });
            }
        }
        due
    }

    /// Records that upstreams close the connections of a check and serve no other node, before their work is judged.
    pub fn record_closed(&mut self, scope: &Scope) -> Option<Change> {
        self.group_mut(&scope.service, &scope.region)?.record_closed()
    }

    /// Records the result of a check; where the group is lost, those of `known` that may be lost by
    /// the same cause are checked too.
    pub fn end_check(
        &mut self,
        scope: &Scope,
        verdict: Verdict,
        known: impl Iterator<Item = Scope>,
    ) -> Option<Change> {
        let change = self.group_mut(&scope.service, &scope.region)?.end_check(verdict);
        if change == Some(Change::Lost) {
            known.filter(|other| scope.is_related(other)).for_each(|other| self.suspect(other));
        }
        change
    }

    /// Returns whether a check is due.
    #[must_use]
    pub fn is_check_due(&self, now: Instant) -> bool {
        self.groups().any(|(_, _, group)| group.is_check_due(now))
    }

    /// Returns how requests may be sent to an upstream.
    #[must_use]
    pub fn access(&self, upstream: &upstream::Upstream, now: Instant) -> Access {
        let group = self.group(&upstream.entry.service, &upstream.region);
        group.map_or(Access::Full, |group| group.access(now))
    }

    /// Returns whether this node does not reach the group of an upstream, also not over open connections.
    #[must_use]
    pub fn is_lost(&self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let group = self.group(&upstream.entry.service, &upstream.region);
        group.is_some_and(|group| !group.is_reached() && group.access(now) == Access::None)
    }

    /// Returns whether upstreams of a group may serve this node; not if the latest check showed that none does.
    #[must_use]
    pub fn may_be_served(&self, upstream: &upstream::Upstream) -> bool {
        let group = self.group(&upstream.entry.service, &upstream.region);
        group.is_none_or(Group::may_be_served)
    }

    /// Returns whether a new connection to an upstream may be opened, and records that it is.
    pub fn take_connection(&mut self, upstream: &upstream::Upstream, now: Instant) -> bool {
        let group = self.group_mut(&upstream.entry.service, &upstream.region);
        group.is_none_or(|group| group.take_connection(now))
    }

    /// Returns the start of the latest check of a group.
    #[must_use]
    pub fn checked(&self, scope: &Scope) -> Option<Instant> {
        self.group(&scope.service, &scope.region)?.checked()
    }

    /// Returns whether a group is reached, as reported to other nodes.
    #[must_use]
    pub fn is_reached(&self, service: &id::Service, region: &id::Region) -> bool {
        self.group(service, region).is_none_or(Group::is_reached)
    }

    /// Returns whether a check of a group that began after `since` succeeded.
    #[must_use]
    pub fn has_passed_since(&self, scope: &Scope, since: Instant) -> bool {
        let group = self.group(&scope.service, &scope.region);
        group.is_some_and(|group| group.has_passed_since(since))
    }

    /// Iterates over the services and regions of the groups that are not reached.
    pub fn unreached(&self) -> impl Iterator<Item = (&id::Service, &id::Region)> {
        let unreached = self.groups().filter(|(_, _, group)| !group.is_reached());
        unreached.map(|(service, region, _)| (service, region))
    }

    /// Returns the time since the latest group of a service was lost, or `None` if all are reached.
    #[must_use]
    pub fn unreached_for(&self, service: &id::Service, now: Instant) -> Option<Duration> {
        let groups = self.services.get(service)?.values();
        groups.filter_map(|group| group.unreached_for(now)).min()
    }

    /// Forgets the groups of which nothing needs to be known any more, and those that do not satisfy
    /// `is_known`.
    pub fn retain(&mut self, is_known: impl Fn(&id::Service, &id::Region) -> bool, now: Instant) {
        for (service, groups) in &mut self.services {
            groups.retain(|region, group| is_known(service, region) && !group.is_idle(now));
        }
        self.services.retain(|_, groups| !groups.is_empty());
    }

    fn entry(&mut self, scope: Scope) -> &mut Group {
        self.services.entry(scope.service).or_default().entry(scope.region).or_default()
    }

    fn groups(&self) -> impl Iterator<Item = (&id::Service, &id::Region, &Group)> {
        let services = self.services.iter();
        services.flat_map(|(service, groups)| groups.iter().map(move |(r, g)| (service, r, g)))
    }

    fn group(&self, service: &id::Service, region: &id::Region) -> Option<&Group> {
        self.services.get(service)?.get(region)
    }

    fn group_mut(&mut self, service: &id::Service, region: &id::Region) -> Option<&mut Group> {
        self.services.get_mut(service)?.get_mut(region)
    }
}
