//! State shared by the tasks of a gateway, which all run on one thread.
//!
//! Owns the configuration in force, the copy of the store, the members and the dispatcher, and
//! applies each change to them. Relies on [`steer::dispatch`] for every decision. No borrow is held
//! across an `await`.

mod copy_status;
mod era;
mod fleet;
mod gauges;
mod nodes;
mod quarantine;
mod rollouts;
mod statements;
mod store;
pub mod update;
mod upstreams;

use std::cell;
use std::collections;
use std::future;
use std::rc;
use std::sync;
use std::time::{Duration, Instant};

use model::id;
use model::routing;
use steer::common::response_times::{self, ResponseTimes};
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::{freshness, repair, request_rate, store_call};
use steer::dispatch::quarantine::Quarantine;
use steer::dispatch::{curtailment, dispatcher, position, quota, reservation};
use tokio::sync::Notify;

use crate::gateway::connection_check;
use crate::gateway::dialect;
use crate::gateway::extracts;
use crate::gateway::foreign;
use crate::gateway::kept_ruling;
use crate::gateway::member;
use crate::gateway::members;
use crate::gateway::metrics;
use crate::gateway::replica;
use crate::gateway::settings;
use crate::gateway::slots;
use crate::gateway::store_calls;

/// Maximum number of upstreams named in one log line, about 300 characters.
const MOST_NAMED: usize = 20;

/// State shared by the tasks of a gateway.
#[derive(Debug)]
pub struct State {
    /// Current settings.
    pub settings: cell::RefCell<rc::Rc<settings::Settings>>,
    /// Selects upstreams.
    pub dispatcher: cell::RefCell<dispatcher::Dispatcher>,
    /// Enforces the quotas of organisations.
    pub quotas: cell::RefCell<quota::Quotas>,
    /// Time left that first requests on each route usually have.
    pub times_left: cell::RefCell<reservation::TimesLeft>,
    /// How long requests take, by route and service.
    pub response_times: cell::RefCell<ResponseTimes<(id::Route, id::Service)>>,
    /// When this node exits; `None` unless it is stopping.
    exit: cell::Cell<Option<curtailment::Exit>>,
    /// Wakes the requests in flight when this node begins to stop.
    stop_began: Notify,
    /// Quarantines requests that crash upstreams.
    pub quarantine: cell::RefCell<Quarantine>,
    /// Current configuration; `None` until the first update.
    pub routing: cell::RefCell<Option<sync::Arc<routing::Routing>>>,
    /// Copy of the store's contents.
    pub replica: cell::RefCell<replica::Replica>,
    /// Cached extracts of the copy for other nodes.
    pub extracts: cell::RefCell<extracts::Extracts>,
    /// The other nodes of the fleet.
    pub members: cell::RefCell<members::Members>,
    /// This node as it reports itself in heartbeats.
    pub me: cell::RefCell<member::Member>,
    /// Rate of requests at this node.
    rate: cell::Cell<request_rate::Rate>,
    /// Pending calls to the store.
    pub calls: store_calls::Calls,
    /// Highest era of the store in any response or heartbeat.
    store_era: cell::Cell<u64>,
    /// Era whose content may still be incomplete, and the time of its start.
    doubt: cell::Cell<Option<(u64, Instant)>>,
    /// Up to when this node's copy of the store is complete.
    freshness: cell::Cell<freshness::Freshness>,
    /// When this process started.
    started: Instant,
    /// When the copy of the store became complete; `None` before.
    completed: cell::Cell<Option<Instant>>,
    /// Wakes requests that wait until the copy of the store is confirmed.
    confirmed: Notify,
    /// Wakes requests that wait for the check whether an upstream is warm.
    pub cold_checked: Notify,
    /// Whether the store answered the latest call, while this node watches it or has just started.
    is_store_answering: cell::Cell<bool>,
    /// Whether this node watches the store.
    is_watching: cell::Cell<bool>,
    /// Whether nodes became known since the last [`State::update_nodes`].
    pub has_new_nodes: cell::Cell<bool>,
    /// Addresses of nodes of other fleets.
    pub foreign: foreign::Addresses,
    /// Counters and latency histogram.
    pub metrics: metrics::Metrics,
    /// Whether the copy of the store was complete at least once.
    is_complete: cell::Cell<bool>,
    /// Header names used by callers and upstreams.
    pub dialect: dialect::Dialect,
    /// Wakes the task that sends heartbeats, so that a change is announced immediately.
    pub beat: Notify,
    /// Wakes the task that keeps this node's entry in the store when the store was restored from a copy.
    pub era_changed: Notify,
    /// Wakes the task that fetches changes from other nodes.
    pub behind: Notify,
    /// Whether upstreams are reached while one refuses connections.
    pub others: connection_check::Others,
    /// Wakes the task that checks whether services are reached.
    pub check_due: Notify,
    /// Wakes the requests in flight when a check finds that a group of upstreams is not reached.
    pub group_lost: Notify,
    /// Number of checks in progress on behalf of other nodes.
    pub checks_for_peers: cell::Cell<u32>,
    /// Wakes the task that reports crashes to other nodes.
    pub quarantine_changed: Notify,
    /// Asks for slots of upstreams, and the slots that this node owns.
    pub slots: slots::Slots,
}

impl State {
    /// Creates the state of a node without configuration and upstreams.
    #[must_use]
    pub fn new(settings: settings::Settings, incarnation: u64) -> Self {
        let position = position::Position {
            node: settings.node.clone(),
            region: settings.region.clone(),
            halls: settings.halls.clone(),
        };
        let me = member::Member {
            node: settings.node.clone(),
            incarnation,
            sequence: 0,
            region: settings.region.clone(),
            hall: settings.hall.clone(),
            callers: settings.listen.callers,
            peers: settings.listen.peers,
            is_ready: false,
            is_leaving: false,
            is_store_reached: false,
            at: 0,
            era: 0,
            capacity: settings.processor.capacity(),
            requests: 0,
            leavings: repair::Digest::default(),
            fleet: None,
            connectivity: report::Report::default(),
            copy: None,
        };
        let bounds = settings.bounds();
        let started = Instant::now();
        let mut dispatcher = dispatcher::Dispatcher::new(position, bounds);
        dispatcher.set_copy_status(freshness::Status::Unconfirmed);
        dispatcher.set_demand_mode(settings.demand_split.into());
        dispatcher.set_slots(settings.slots.mode());
        let mut quotas = quota::Quotas::new(&me.node, bounds.quota_slack, Instant::now());
        let resolution = settings.source().dialect().retry_after_resolution();
        let reserves_for_limits = settings.reservations != reservation::Mode::Off;
        quotas.set_reservations(reserves_for_limits.then_some(resolution));
        let reserves_for_services = settings.reservations == reservation::Mode::On;
        dispatcher.set_reservations(reserves_for_services.then_some(resolution));
        Self {
            dialect: settings.source().dialect(),
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            dispatcher: cell::RefCell::new(dispatcher),
            quotas: cell::RefCell::new(quotas),
            times_left: cell::RefCell::default(),
            response_times: cell::RefCell::new(ResponseTimes::new(response_times::GATEWAY_EXCESS)),
            exit: cell::Cell::new(None),
            stop_began: Notify::new(),
            quarantine: cell::RefCell::new(Quarantine::new(Instant::now())),
            routing: cell::RefCell::new(None),
            replica: cell::RefCell::default(),
            extracts: cell::RefCell::default(),
            members: cell::RefCell::new(members::Members::new(me.region.clone())),
            me: cell::RefCell::new(me),
            rate: cell::Cell::new(request_rate::Rate::new(Instant::now())),
            calls: store_calls::Calls::default(),
            store_era: cell::Cell::new(0),
            doubt: cell::Cell::new(None),
            era_changed: Notify::new(),
            freshness: cell::Cell::new(freshness::Freshness::new(started)),
            started,
            completed: cell::Cell::new(None),
            confirmed: Notify::new(),
            cold_checked: Notify::new(),
            is_store_answering: cell::Cell::new(false),
            is_watching: cell::Cell::new(false),
            has_new_nodes: cell::Cell::new(false),
            foreign: foreign::Addresses::default(),
            metrics: metrics::Metrics::default(),
            is_complete: cell::Cell::new(false),
            behind: Notify::new(),
            quarantine_changed: Notify::new(),
            beat: Notify::new(),
            others: connection_check::Others::default(),
            check_due: Notify::new(),
            group_lost: Notify::new(),
            checks_for_peers: cell::Cell::new(0),
            slots: slots::Slots::new(),
        }
    }

    /// Returns the current configuration.
    #[must_use]
    pub fn routing(&self) -> Option<sync::Arc<routing::Routing>> {
        self.routing.borrow().clone()
    }

    /// Returns whether the node accepts new callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routing.borrow().is_some() && self.replica.borrow().is_complete()
    }

    /// Returns whether the node is shutting down.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.me.borrow().is_leaving
    }

    /// Updates the copy of the store with `merge` and applies the changes.
    ///
    /// Whether they are announced to other nodes immediately depends on `source`.
    pub fn apply(
        &self,
        source: update::Source,
        merge: impl FnOnce(&mut replica::Replica) -> replica::Changes,
    ) {
        let mut replica = self.replica.borrow_mut();
        let changes = merge(&mut replica);
        for fault in &changes.faults {
            self.metrics.malformed_items.add(1);
            let (key, message) = (fault.key.as_str(), fault.message.as_str());
            let (revision, source) = (fault.revision, source.as_str());
            log::error!(key, revision, error = message, source; "item-malformed");
        }
        if changes.nodes {
            self.list_nodes(&replica);
        }
        let update = update::Update {
            source,
            revision: replica.at().revision,
            routing: replica.routing().filter(|_| changes.routing).cloned(),
            upstreams: self.changed_upstreams(&replica, &changes),
            evacuated: changes.evacuations.then(|| replica.evacuated().cloned().collect()),
        };
        let at = replica.at();
        self.adopt_fleet(replica.fleet());
        if self.advance(at) && self.announces(source) {
            self.beat.notify_one();
        }
        let is_complete = replica.is_complete();
        if changes.rollouts {
            self.adopt_rollouts(&replica);
        }
        let rulings: Vec<kept_ruling::Entry> = match changes.rulings {
            true => replica.rulings().cloned().collect(),
            false => Vec::new(),
        };
        drop(replica);
        self.note_era(at.era);
        self.adopt_rulings(&rulings);
        if is_complete {
            self.adopt(update);
        }
        self.record_peer_copies(Instant::now());
    }

    /// Applies an update; the parts that are already in force are ignored.
    pub fn adopt(&self, update: update::Update) {
        let now = Instant::now();
        let update::Update { source, revision, routing, upstreams, evacuated } = update;
        let source = source.as_str();
        let is_newer = |r: &routing::Routing| {
            self.routing.borrow().as_ref().is_none_or(|known| known.version < r.version)
        };
        let mut dispatcher = self.dispatcher.borrow_mut();
        if let Some(routing) = routing.filter(|r| is_newer(r)) {
            let routes = routing.routes().count();
            log::info!(version = routing.version, routes, revision, source; "config-adopted");
            dispatcher.configure(sync::Arc::clone(&routing));
            self.quotas.borrow_mut().configure(&routing, now);
            self.metrics.organisations.configure(&routing);
            let names: collections::BTreeSet<&id::Route> =
                routing.routes().map(|route| &route.name).collect();
            self.times_left.borrow_mut().retain(|route| names.contains(route));
            self.response_times.borrow_mut().retain(|(route, _)| names.contains(route));
            *self.routing.borrow_mut() = Some(routing);
        }
        if let Some(upstreams) = upstreams {
            let lapsed_before = dispatcher.lapsed().clone();
            if upstreams::adopt(&mut dispatcher, upstreams, now) {
                log::info!(endpoints = dispatcher.count(), revision, source; "endpoints-changed");
            }
            let lapsed = dispatcher.lapsed();
            if lapsed.len() > lapsed_before.len() {
                let upstreams = names(lapsed.difference(&lapsed_before));
                let (lapsed, upstreams) = (lapsed.len(), upstreams.as_str());
                log::warn!(lapsed, upstreams, revision, source; "endpoints-lapsed");
            }
        }
        if let Some(halls) = evacuated.filter(|halls| halls != dispatcher.evacuated()) {
            let names: Vec<&str> = halls.iter().map(id::Hall::as_str).collect();
            let names = names.join(",");
            log::info!(halls = names.as_str(), revision, source; "evacuations-changed");
            dispatcher.set_evacuated(halls, now);
        }
        drop(dispatcher);
        self.complete(now);
        self.update_ready();
    }

    /// Applies time-based changes and logs the lapsed upstreams that were dropped.
    pub fn tick(&self, now: Instant) {
        self.end_doubt(now);
        self.update_copy_status(now);
        if self.has_new_nodes.take() {
            self.update_nodes();
        }
        let mut dispatcher = self.dispatcher.borrow_mut();
        let lapsed = dispatcher.lapsed().clone();
        dispatcher.tick(now);
        self.quotas.borrow_mut().tick(now);
        self.quarantine.borrow_mut().tick(now);
        self.judge_rollouts(&mut dispatcher);
        if dispatcher.is_check_due(now) {
            self.check_due.notify_one();
        }
        let left = dispatcher.lapsed().clone();
        drop(dispatcher);
        if left.len() < lapsed.len() {
            let dropped = lapsed.len() - left.len();
            let upstreams = names(lapsed.difference(&left));
            log::warn!(dropped, upstreams = upstreams.as_str(); "lapsed-endpoints-dropped");
        }
        self.calls.log_unanswered(store_call::longest_gap(self.store_bound()), now);
    }

    /// Updates the fields of this node for its next heartbeat.
    pub fn update_me(&self, now: Instant) {
        let mut rate = self.rate.get();
        let requests = rate.update(self.metrics.requests.get(), now);
        self.rate.set(rate);
        let dispatcher = self.dispatcher.borrow();
        let (leavings, connectivity) =
            (dispatcher.leaving_digest(), dispatcher.connectivity_report());
        drop(dispatcher);
        let mut me = self.me.borrow_mut();
        me.leavings = leavings;
        me.connectivity = connectivity;
        me.copy = Some(self.copy_report(now));
        me.requests = requests;
        me.sequence += 1;
    }

    /// Returns the time that counts as the exit for deadlines of upstreams; `None` unless this node is stopping.
    #[must_use]
    pub fn exit_for_upstreams(&self) -> Option<Instant> {
        self.exit.get().map(|exit| exit.for_upstreams())
    }

    /// Waits until this node stops and answers the requests whose upstreams have not responded.
    pub async fn wait_until_curtailed(&self) {
        let stop_began = self.stop_began.notified();
        if self.exit.get().is_none() {
            stop_began.await;
        }
        match self.exit.get() {
            Some(exit) => tokio::time::sleep_until(exit.curtailment().into()).await,
            None => future::pending().await,
        }
    }

    /// Returns when a request that is sent now, and queues for about `wait`, ends at the latest, as far as that
    /// is known; `None` unless this node stops.
    #[must_use]
    pub fn expected_end(
        &self,
        route: &id::Route,
        service: &id::Service,
        deadline: Instant,
        wait: Duration,
    ) -> Option<Instant> {
        self.exit.get()?;
        let kind = (route.clone(), service.clone());
        let times = self.response_times.borrow();
        Some(times.expected_end(&kind, deadline, wait, Instant::now()))
    }

    /// Returns whether a request that is expected to end at `end`, or a response that is written then, reaches its
    /// caller before this node exits.
    #[must_use]
    pub fn ends_before_exit(&self, end: Instant) -> bool {
        self.exit.get().is_none_or(|exit| response_times::precedes(end, exit.earliest))
    }

    /// Marks the node as shutting down.
    pub fn leave(&self, exit: curtailment::Exit) {
        if self.exit.replace(Some(exit)).is_none() {
            self.stop_began.notify_waiters();
        }
        self.me.borrow_mut().is_leaving = true;
        self.update_ready();
    }

    fn update_ready(&self) {
        let is_ready = self.is_ready();
        let was_ready = std::mem::replace(&mut self.me.borrow_mut().is_ready, is_ready);
        if was_ready != is_ready {
            log::info!(ready = is_ready; "ready-changed");
            self.beat.notify_one();
        }
    }
}

/// Joins at most [`MOST_NAMED`] upstream names for a log line.
fn names<'a>(upstreams: impl Iterator<Item = &'a id::Upstream>) -> String {
    let first: Vec<&str> = upstreams.take(MOST_NAMED).map(id::Upstream::as_str).collect();
    first.join(",")
}
