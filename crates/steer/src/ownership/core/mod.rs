//! The core: the event-driven decisions of one node.
//!
//! Holds the configuration, the regions' membership tables, the known nodes, the node's upstreams
//! ([`owner`]) and the requests that it routes ([`router`]). It performs no I/O and reads no clock: each
//! event is passed with a time, and results in actions.
//!
//! `adoption` applies configurations and tables, `exchange` creates and answers heartbeats, and `upkeep`
//! does the periodic work.

mod adoption;
mod exchange;
mod upkeep;

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::check;
use model::id;
use model::member;
use model::revision;
use model::snapshot;
use model::table;
use model::verdict;

use crate::ownership::action;
use crate::ownership::event;
use crate::ownership::heartbeat;
use crate::ownership::maintenance;
use crate::ownership::members;
use crate::ownership::owner;
use crate::ownership::peering;
use crate::ownership::request;
use crate::ownership::router;
use crate::ownership::vms;

pub use upkeep::HEARTBEAT_PERIOD;

/// Time for which a starting node waits for peers before it assumes that there are none: four
/// heartbeats of a peer.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// The decisions of one node.
#[derive(Debug)]
pub struct Core {
    /// This node, as it describes itself.
    pub me: heartbeat::Member,
    /// The configuration it acts on.
    pub snapshot: sync::Arc<snapshot::Snapshot>,
    /// The tables it knows, by region.
    pub tables: collections::BTreeMap<id::Region, sync::Arc<table::Table>>,
    /// The nodes it knows.
    pub members: members::Members,
    /// The upstreams of its region, and the requests there.
    pub owner: owner::Owner,
    /// The requests that entered here.
    pub router: router::Router,
    maintainer: maintenance::Maintainer,
    peering: peering::Peering,
    vms: vms::List,
    wall: SystemTime,
    started: Instant,
    last_heartbeat: Option<Instant>,
    has_positions: bool,
    has_stored_table: bool,
    /// Whether owners and allotments must be recomputed for a new table or configuration.
    is_stale: bool,
    alive: Vec<member::Key>,
}

impl Core {
    /// Creates the core of a node that starts at `now`.
    #[must_use]
    pub fn new(
        me: heartbeat::Member,
        seeds: Vec<net::SocketAddr>,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let peering = peering::Peering::new(seeds, me.peers);
        Self {
            members: members::Members::new(me.region.clone()),
            me,
            snapshot: sync::Arc::default(),
            tables: collections::BTreeMap::new(),
            owner: owner::Owner::default(),
            router: router::Router::default(),
            maintainer: maintenance::Maintainer::default(),
            peering,
            vms: vms::List::default(),
            wall,
            started: now,
            last_heartbeat: None,
            has_positions: false,
            has_stored_table: false,
            is_stale: true,
            alive: Vec::new(),
        }
    }

    /// Handles an event and pushes the resulting actions to `out`.
    pub fn handle(&mut self, event: event::Event, now: Instant, out: &mut Vec<action::Action>) {
        match event {
            event::Event::Configure { snapshot } => self.configure(snapshot),
            event::Event::Adopt { table, is_stored } => self.adopt(table, is_stored),
            event::Event::Vms { list } => self.apply_vms(list),
            event::Event::Route { request, service, place, region } => {
                let routing = router::RoutingRequest { request, service, place, region };
                self.route(routing, now, out);
            }
            event::Event::Used { owner, service, usage } => {
                self.router.record_usage(&owner, &service, usage, now);
            }
            event::Event::Returned { request } => self.router.finish(request),
            event::Event::Failed { request, failure, repetition } => {
                self.suspect_unready(request, failure, now);
                self.with_router(now, |router, view| {
                    router.retry_or_refuse(request, failure, repetition, view, out);
                });
            }
            event::Event::Offer { offer } => self.owner.offer(offer, now, out),
            event::Event::Done { request, outcome } => {
                self.owner.complete(request, outcome, now, out);
            }
            event::Event::Withdraw { request } => self.owner.withdraw(request, now, out),
            event::Event::Probed { upstream, report } => {
                self.owner.record_probe(&upstream, report.as_ref());
            }
            event::Event::Said { upstream, statement } => {
                self.owner.record_statement(&upstream, &statement, now)
            }
            event::Event::Heartbeat { heartbeat } => {
                let reply = Box::new(self.answer(&heartbeat, now, out));
                out.push(action::Action::Reply { reply });
            }
            event::Event::Replied { reply, sent } => self.replied(&reply, sent, now, out),
            event::Event::Unanswered { node } => self.unanswered(&node, now),
            event::Event::Stop => self.me.is_leaving = true,
            event::Event::Tick { wall } => self.tick(wall, now, out),
        }
        // Allotments and owners must match the epoch and revision that this node reports to its peers.
        if self.is_stale {
            self.refresh(now);
        }
    }

    /// Returns whether this node may serve callers.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_informed = self.has_positions || self.has_discovered(now);
        self.snapshot.revision > revision::Revision(0) && is_informed
    }

    /// Returns whether a stopping node is off its region's table and has no requests left.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let table = self.tables.get(&self.me.region);
        let listed = table.is_some_and(|t| t.find(&self.me.key).is_some());
        !listed && self.owner.load() == 0 && self.router.load() == 0
    }

    /// Returns the live nodes whose configuration is older than `revision`, by name.
    #[must_use]
    pub fn lagging(&self, revision: revision::Revision, now: Instant) -> Vec<id::Node> {
        let alive = self.members.alive(now).map(|k| &k.member);
        alive.filter(|m| m.revision < revision).map(|m| m.key.node.clone()).collect()
    }

    /// Returns the slots in use by service and region.
    #[must_use]
    pub fn in_use(
        &self,
        now: Instant,
    ) -> collections::BTreeMap<id::Service, check::context::SlotUsage> {
        let mut in_use: collections::BTreeMap<_, check::context::SlotUsage> =
            collections::BTreeMap::new();
        for summary in self.router.summaries.fresh_regions(now) {
            let of_service = in_use.entry(summary.service.clone()).or_default();
            of_service.insert(summary.region.clone(), summary.in_flight);
        }
        in_use
    }

    /// Returns the planner's current measurements, by service.
    #[must_use]
    pub fn measured(&self, now: Instant) -> collections::BTreeMap<id::Service, router::Measured> {
        self.with_view(now, |view| {
            let services = self.snapshot.services.values();
            services.map(|s| (s.spec.name.clone(), self.router.measure(&s.spec, view))).collect()
        })
    }

    /// Returns whether a node may get requests; this node always may.
    #[must_use]
    pub fn is_alive(&self, key: &member::Key, now: Instant) -> bool {
        *key == self.me.key || self.members.incarnation(key).is_some_and(|k| k.is_alive(now))
    }

    /// Returns whether this node has waited long enough for peers to make themselves known.
    fn has_discovered(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= DISCOVERY_TIME
    }

    fn route(
        &mut self,
        routing: router::RoutingRequest,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        match self.is_ready(now) {
            true => self.with_router(now, |router, view| router.route(routing, view, out)),
            false => {
                let failure = verdict::Failure::not_run(verdict::Reason::NotReady);
                let failure = failure.with_retry_after(DISCOVERY_TIME);
                out.push(action::Action::Refuse { request: routing.request, failure });
            }
        }
    }

    /// Stops sending requests to an owner that could not be reached, until it is seen again.
    ///
    /// Without outstanding requests it would otherwise be selected as the least loaded.
    fn suspect_unready(&mut self, request: request::Id, failure: verdict::Failure, now: Instant) {
        match self.router.owner_of(request).cloned() {
            Some(owner) if failure.reason == verdict::Reason::NotReady => {
                self.unanswered(&owner, now);
            }
            _ => {}
        }
    }

    /// Records that a node did not answer, so that it gets no new requests.
    fn unanswered(&mut self, node: &id::Node, now: Instant) {
        self.members.record_failure(node, now);
        self.refresh(now);
    }

    fn with_router(
        &mut self,
        now: Instant,
        work: impl FnOnce(&mut router::Router, &router::View<'_>),
    ) {
        let mut router = std::mem::take(&mut self.router);
        self.with_view(now, |view| work(&mut router, view));
        self.router = router;
    }

    /// Calls `look` with the state that routing and planning read.
    fn with_view<T>(&self, now: Instant, look: impl FnOnce(&router::View<'_>) -> T) -> T {
        let is_lost = |region: &id::Region| self.members.is_lost(region, now);
        look(&router::View {
            snapshot: &self.snapshot,
            is_lost: &is_lost,
            region: &self.me.region,
            now,
            wall: self.wall,
        })
    }
}
