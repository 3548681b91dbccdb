//! The core: one node's decisions, driven by events.

use std::collections;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::check;
use model::epoch;
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
use crate::ownership::router;
use crate::ownership::vms;

/// Time between two heartbeats of a node.
pub const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Time for which a starting node listens for peers before it believes that there are none.
const LISTEN: Duration = Duration::from_secs(2);

/// Most members in one message, the latest news first: the whole target fleet, for one that starts.
const MOST_MEMBERS: usize = 512;

/// Most summaries of owners in one message, the latest first.
const MOST_SUMMARIES: usize = 256;

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
    /// Its duty as an owner.
    pub owner: owner::Owner,
    /// Its duty as an entry.
    pub router: router::Router,
    maintainer: maintenance::Maintainer,
    peering: peering::Peering,
    vms: vms::List,
    wall: SystemTime,
    started: Instant,
    last_heartbeat: Option<Instant>,
    has_positions: bool,
    has_stored_table: bool,
    is_stale: bool,
    alive: Vec<member::Key>,
}

impl Core {
    /// Makes the core of a node that starts now.
    #[must_use]
    pub fn new(
        me: heartbeat::Member,
        seeds: Vec<std::net::SocketAddr>,
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

    /// Takes in an event and pushes what is to be done.
    pub fn handle(&mut self, event: event::Event, now: Instant, out: &mut Vec<action::Action>) {
        match event {
            event::Event::Configure { snapshot } => self.configure(snapshot),
            event::Event::Adopt { table, is_stored } => self.adopt(table, is_stored),
            event::Event::Vms { list } => self.take_vms(list),
            event::Event::Route { request, service, place, region } => {
                let ask = router::Ask { request, service, place, region };
                self.route(ask, now, out);
            }
            event::Event::Used { owner, service, usage } => {
                self.router.used(&owner, &service, usage, now);
            }
            event::Event::Returned { request } => self.router.returned(request),
            event::Event::Failed { request, failure, repetition } => {
                if failure.reason == verdict::Reason::NotReady {
                    self.suspect_owner(request, now);
                }
                self.with_router(now, |router, view| {
                    router.failed(request, failure, repetition, view, out);
                });
            }
            event::Event::Offer { offer } => self.owner.offer(offer, now, out),
            event::Event::Done { request, outcome } => self.owner.done(request, outcome, now, out),
            event::Event::Withdraw { request } => self.owner.withdraw(request, now, out),
            event::Event::Probed { upstream, report } => {
                self.owner.probed(&upstream, report.as_ref());
            }
            event::Event::Heartbeat { heartbeat } => {
                let reply = Box::new(self.answer(&heartbeat, now, out));
                out.push(action::Action::Reply { reply });
            }
            event::Event::Replied { reply, sent } => self.replied(&reply, sent, now, out),
            event::Event::Unanswered { node } => {
                self.members.fail(&node, now);
                self.refresh(now);
            }
            event::Event::Stop => self.me.is_leaving = true,
            event::Event::Tick { wall } => self.tick(wall, now, out),
        }
        // Rights and owners must never lag behind the epoch and revision this node claims.
        if self.is_stale {
            self.refresh(now);
        }
    }

    /// Returns whether this node may serve callers.
    #[must_use]
    pub fn is_ready(&self, now: Instant) -> bool {
        let is_informed = self.has_positions || self.has_listened(now);
        self.snapshot.revision > revision::Revision(0) && is_informed
    }

    /// Returns whether it has listened for peers long enough to believe what it has not heard.
    fn has_listened(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.started) >= LISTEN
    }

    /// Returns whether a stopping node has handed everything over.
    #[must_use]
    pub fn is_done(&self) -> bool {
        let table = self.tables.get(&self.me.region);
        let listed = table.is_some_and(|t| t.find(&self.me.key).is_some());
        !listed && self.owner.load() == 0 && self.router.load() == 0
    }

    /// Returns the nodes that hold a lower revision than this one, by name.
    #[must_use]
    pub fn lagging(&self, revision: revision::Revision, now: Instant) -> Vec<id::Node> {
        let alive = self.members.alive(now).map(|k| &k.member);
        alive.filter(|m| m.revision < revision).map(|m| m.key.node.clone()).collect()
    }

    /// Returns the slots in use by each service in each region.
    #[must_use]
    pub fn in_use(&self, now: Instant) -> collections::BTreeMap<id::Service, check::facts::Use> {
        let mut in_use: collections::BTreeMap<_, check::facts::Use> = collections::BTreeMap::new();
        for summary in self.router.summaries.fresh_regions(now) {
            let of_service = in_use.entry(summary.service.clone()).or_default();
            of_service.insert(summary.region.clone(), summary.in_flight);
        }
        in_use
    }

    /// Returns what the planner would work from now, by service.
    #[must_use]
    pub fn measured(&self, now: Instant) -> collections::BTreeMap<id::Service, router::Measured> {
        self.with_view(now, |view| {
            let services = self.snapshot.services.values();
            services.map(|s| (s.spec.name.clone(), self.router.measure(&s.spec, view))).collect()
        })
    }

    /// Returns whether a node may be given work; this one always may.
    #[must_use]
    pub fn is_alive(&self, key: &member::Key, now: Instant) -> bool {
        *key == self.me.key || self.members.incarnation(key).is_some_and(|k| k.is_alive(now))
    }

    /// A configuration never gives way to an older one.
    fn configure(&mut self, snapshot: sync::Arc<snapshot::Snapshot>) {
        if snapshot.revision <= self.snapshot.revision {
            return;
        }
        self.owner.configure(&snapshot, &self.me.region);
        self.me.revision = snapshot.revision;
        self.snapshot = snapshot;
        self.owner.drain(&self.snapshot, &self.vms, self.wall);
        self.is_stale = true;
    }

    /// A table never gives way to an older one.
    fn adopt(&mut self, table: sync::Arc<table::Table>, is_stored: bool) {
        let is_own = table.region == self.me.region;
        self.has_stored_table |= is_own && is_stored;
        let known = self.tables.get(&table.region).map_or(epoch::Epoch(0), |t| t.epoch);
        if table.epoch <= known {
            return;
        }
        if is_own {
            self.me.epoch = table.epoch;
        }
        self.members.list(&table);
        self.tables.insert(table.region.clone(), table);
        self.is_stale = true;
    }

    fn take_vms(&mut self, list: vms::List) {
        self.vms = list;
        self.owner.drain(&self.snapshot, &self.vms, self.wall);
    }

    fn route(&mut self, ask: router::Ask, now: Instant, out: &mut Vec<action::Action>) {
        match self.is_ready(now) {
            true => self.with_router(now, |router, view| router.route(ask, view, out)),
            false => {
                let failure = verdict::Failure::not_run(verdict::Reason::NotReady).after(LISTEN);
                out.push(action::Action::Refuse { request: ask.request, failure });
            }
        }
    }

    /// Gives no more work to an owner that could not be reached, until it is heard of again. It has
    /// nothing outstanding, so it would look like the least loaded of all.
    fn suspect_owner(&mut self, request: crate::ownership::request::Id, now: Instant) {
        if let Some(owner) = self.router.owner_of(request).cloned() {
            self.members.fail(&owner, now);
            self.refresh(now);
        }
    }

    fn tick(&mut self, wall: SystemTime, now: Instant, out: &mut Vec<action::Action>) {
        self.wall = wall;
        self.owner.tick(now, out);
        let due = self
            .last_heartbeat
            .is_none_or(|at| now.saturating_duration_since(at) >= HEARTBEAT_PERIOD);
        if due {
            self.last_heartbeat = Some(now);
            self.heartbeat(now, out);
        }
    }

    /// Does what is done at every heartbeat.
    fn heartbeat(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        self.me.sequence += 1;
        self.owner.drain(&self.snapshot, &self.vms, self.wall);
        self.owner.roll(now);
        self.refresh(now);
        self.settle(now);
        self.members.hear(&self.me, now);
        self.members.forget(now);
        let sequence = self.me.sequence;
        // Homes tell their use with every answer too, so every second heartbeat is enough.
        if sequence.is_multiple_of(2) {
            for summary in self.owner.summaries(&self.me.key, &self.me.region, sequence, now) {
                self.router.hear(&summary, now);
            }
        }
        self.router.summaries.sum_up(&self.me, now);
        if self.is_ready(now) {
            self.with_router(now, |router, view| router.plan(view));
        }
        self.propose(now, out);
        self.send_heartbeats(now, out);
    }

    /// Brings owners and allotment up to date when a table, a configuration or the living changed.
    fn refresh(&mut self, now: Instant) {
        let alive: Vec<member::Key> =
            self.members.alive(now).map(|k| k.member.key.clone()).collect();
        let is_changed = self.is_stale || alive != self.alive;
        self.alive = alive;
        self.is_stale = false;
        if is_changed {
            let me = &self.me.key;
            let members = &self.members;
            let is_alive = |key: &member::Key| {
                key == me || members.incarnation(key).is_some_and(|k| k.is_alive(now))
            };
            self.router.find_owners(&self.snapshot, &self.tables, &is_alive);
        }
        self.assign();
    }

    fn assign(&mut self) {
        let Some(table) = self.tables.get(&self.me.region) else { return };
        let members = &self.members;
        let settled = |key: &member::Key| settled(table, members, key);
        self.owner.assign(table, &self.me.key, &settled);
    }

    /// Tells others that older shares are given up, once nothing is in use beyond the newest.
    fn settle(&mut self, now: Instant) {
        if self.owner.is_settled(now) {
            self.me.settled = self.me.epoch;
        }
    }

    fn propose(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        // Without having read the store, a table made up here would only lose the race.
        if !self.has_stored_table || !self.has_listened(now) {
            return;
        }
        let empty = table::Table::empty(&self.me.region);
        let view = maintenance::View {
            table: self.tables.get(&self.me.region).map_or(&empty, |t| t),
            me: &self.me,
            members: &self.members,
            vms: &self.vms,
            started: self.started,
            tail: self.tail(),
            now,
        };
        if let Some(table) = self.maintainer.decide(&view) {
            out.push(action::Action::Propose { table: sync::Arc::new(table) });
        }
    }

    /// Returns the time after which nothing that was started before can still run.
    fn tail(&self) -> Duration {
        let services = self.snapshot.services.values();
        let longest = services.map(|s| s.spec.deadline).max().unwrap_or_default();
        longest + owner::CANCEL_GRACE
    }

    fn send_heartbeats(&mut self, now: Instant, out: &mut Vec<action::Action>) {
        let grantors = self.owner.grantors(&self.me.key);
        let grantors: Vec<id::Node> = grantors.into_iter().map(|key| key.node.clone()).collect();
        for target in self.peering.targets(&self.me, &self.members, &grantors, now) {
            let heartbeat = Box::new(self.make_heartbeat(target.node.as_ref(), now));
            out.push(action::Action::Heartbeat {
                to: target.address,
                node: target.node,
                heartbeat,
            });
        }
    }

    fn make_heartbeat(&mut self, node: Option<&id::Node>, now: Instant) -> heartbeat::Request {
        let member = node.and_then(|n| self.members.get(n)).map(|k| &k.member);
        let region = member.map(|m| m.region.clone());
        let key = member.map(|m| m.key.clone());
        let held = key.map_or(Vec::new(), |key| self.owner.held(&self.me.key, &key));
        let since = node.and_then(|n| self.peering.told(n, now));
        heartbeat::Request {
            sender: self.me.clone(),
            update: self.update(region.as_ref(), since, None),
            epochs: self.tables.iter().map(|(r, t)| (r.clone(), t.epoch)).collect(),
            wants_leases: true,
            held,
            wants_positions: !self.has_positions && !self.has_listened(now),
        }
    }

    /// Answers a peer's heartbeat.
    fn answer(
        &mut self,
        heartbeat: &heartbeat::Request,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) -> heartbeat::Reply {
        self.hear(&heartbeat.sender, &heartbeat.update, now, out);
        let sender = &heartbeat.sender;
        let mut leases = Vec::new();
        if sender.region == self.me.region {
            // Both must act on one table, or the two would disagree about who is owner.
            match sender.epoch.cmp(&self.me.epoch) {
                std::cmp::Ordering::Equal => {
                    self.owner.reclaim(&sender.key, &heartbeat.held);
                    leases = self.owner.grant(&sender.key, now);
                }
                std::cmp::Ordering::Less | std::cmp::Ordering::Greater => {}
            }
        }
        let since = self.peering.told(&sender.key.node, now);
        let positions = match heartbeat.wants_positions && self.is_ready(now) {
            true => self.router.positions().collect(),
            false => Vec::new(),
        };
        heartbeat::Reply {
            sender: self.me.clone(),
            update: self.update(Some(&heartbeat.sender.region), since, Some(&heartbeat.epochs)),
            leases,
            term: owner::LEASE_TERM,
            positions,
        }
    }

    fn replied(
        &mut self,
        reply: &heartbeat::Reply,
        sent: Instant,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        self.hear(&reply.sender, &reply.update, now, out);
        for position in &reply.positions {
            self.router.adopt(position);
        }
        self.has_positions |= !reply.positions.is_empty();
        // A lease was made to the owner of that epoch; by now this node may be owner no more.
        if reply.sender.region == self.me.region && self.asked_under(sent) == self.me.epoch {
            let grantor = &reply.sender.key;
            self.owner.hold_lease(grantor, &self.me.key, &reply.leases, sent, reply.term);
        }
    }

    fn asked_under(&self, sent: Instant) -> epoch::Epoch {
        self.peering.epoch_at(sent)
    }

    /// Takes in what a peer says of itself and of others.
    fn hear(
        &mut self,
        sender: &heartbeat::Member,
        update: &heartbeat::Update,
        now: Instant,
        out: &mut Vec<action::Action>,
    ) {
        for member in update.members.iter().chain([sender]) {
            if member.key.node != self.me.key.node {
                self.members.hear(member, now);
            }
        }
        for liveness in update.liveness.iter().filter(|p| p.key.node != self.me.key.node) {
            self.members.liveness(liveness, now);
        }
        for summary in &update.summaries {
            self.router.hear(summary, now);
        }
        for summary in &update.regions {
            if self.router.summaries.hear_region(summary, now) {
                self.members.sign(&summary.region, now);
            }
        }
        self.members.sign(&sender.region, now);
        for table in &update.tables {
            self.adopt(sync::Arc::clone(table), false);
        }
        if self.is_stale {
            self.refresh(now);
        }
        if sender.revision > self.me.revision && self.peering.may_fetch(now) {
            out.push(action::Action::Fetch { from: sender.peers });
        }
    }

    fn update(
        &self,
        to: Option<&id::Region>,
        since: Option<Instant>,
        known: Option<&collections::BTreeMap<id::Region, epoch::Epoch>>,
    ) -> heartbeat::Update {
        let is_newer = |table: &&sync::Arc<table::Table>| {
            known.is_some_and(|known| {
                known.get(&table.region).copied().unwrap_or_default() < table.epoch
            })
        };
        let (members, liveness) = self.members.news(since, MOST_MEMBERS);
        // Only the own region hears of single nodes' lives and owners.
        let (liveness, summaries) = match to == Some(&self.me.region) {
            true => (liveness, self.router.summaries.news(since, MOST_SUMMARIES)),
            false => (Vec::new(), Vec::new()),
        };
        heartbeat::Update {
            members,
            liveness,
            summaries,
            regions: self.router.summaries.regional_updates(since),
            tables: self.tables.values().filter(is_newer).cloned().collect(),
        }
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

    /// Shows what routing and planning look at.
    fn with_view<T>(&self, now: Instant, look: impl FnOnce(&router::View<'_>) -> T) -> T {
        let is_alive = |key: &member::Key| self.is_alive(key, now);
        let is_lost = |region: &id::Region| self.members.is_lost(region, now);
        look(&router::View {
            snapshot: &self.snapshot,
            is_alive: &is_alive,
            is_lost: &is_lost,
            region: &self.me.region,
            now,
            wall: self.wall,
        })
    }
}

/// Returns the lowest epoch that a node may still act on, by the table and by its own word.
fn settled(table: &table::Table, members: &members::Members, key: &member::Key) -> epoch::Epoch {
    let listed = table.find(key).map(|s| s.settled);
    let departed = table.departed.iter().find(|d| d.key == *key).map(|d| d.settled);
    let listed = listed.or(departed).unwrap_or_default();
    let said = members.incarnation(key).map(|k| k.member.settled).unwrap_or_default();
    listed.max(said)
}
