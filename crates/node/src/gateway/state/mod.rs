//! What the tasks of a gateway share; all of them run on one thread.

use std::cell;
use std::collections;
use std::rc;
use std::sync;
use std::time::Instant;

use model::discovery;
use model::id;
use model::routing;
use rand::RngExt as _;
use steer::dispatch::{dispatcher, position, slow_start_owner};
use tokio::sync::Notify;

use crate::gateway::dialect;
use crate::gateway::extracts;
use crate::gateway::member;
use crate::gateway::members;
use crate::gateway::metrics;
use crate::gateway::replica;
use crate::gateway::settings;

/// Nodes of a region that watch the store.
const WATCHERS: usize = 3;

/// Nodes of a region that tell the others at once when they have news from them.
const FEW: usize = 20;

/// Where news come from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Source {
    /// The store.
    Store,
    /// A node of this node's region.
    NearPeer,
    /// A node of another region.
    FarPeer,
    /// Yokespoke's own declarations.
    Declarations,
}

impl Source {
    /// Returns the source as a word for logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::NearPeer => "peer",
            Self::FarPeer => "far-peer",
            Self::Declarations => "declarations",
        }
    }
}

/// What a source of configuration and upstreams tells.
#[derive(Clone, Debug)]
pub struct News {
    /// Where it comes from, for the log.
    pub source: Source,
    /// The source's revision.
    pub revision: u64,
    /// The configuration, if it changed.
    pub routing: Option<sync::Arc<routing::Routing>>,
    /// All upstreams, if any changed.
    pub upstreams: Option<Vec<sync::Arc<discovery::Entry>>>,
    /// All evacuated halls, if any changed.
    pub evacuated: Option<collections::BTreeSet<id::Hall>>,
}

/// What the tasks of a gateway share.
#[derive(Debug)]
pub struct State {
    /// Settings in force.
    pub settings: cell::RefCell<rc::Rc<settings::Settings>>,
    /// Chooses upstreams.
    pub dispatcher: cell::RefCell<dispatcher::Dispatcher>,
    /// Configuration in force; none until one was learnt.
    pub routing: cell::RefCell<Option<sync::Arc<routing::Routing>>>,
    /// Copy of what the store holds.
    pub replica: cell::RefCell<replica::Replica>,
    /// Extracts of it that other nodes asked for.
    pub extracts: cell::RefCell<extracts::Extracts>,
    /// Other nodes.
    pub members: cell::RefCell<members::Members>,
    /// What this node tells of itself.
    pub me: cell::RefCell<member::Member>,
    /// Figures.
    pub metrics: metrics::Metrics,
    /// Whether all of the upstreams and the configuration were ever known.
    is_complete: cell::Cell<bool>,
    /// The headers that callers and upstreams use.
    pub dialect: dialect::Dialect,
    /// Wakes whoever sends heartbeats.
    pub beat: Notify,
    /// Wakes whoever asks other nodes for what they know.
    pub behind: Notify,
}

impl State {
    /// Makes the state of a node that knows nothing yet.
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
        };
        let dispatcher = dispatcher::Dispatcher::new(position, settings.bounds());
        let dialect = settings.source().dialect();
        Self {
            settings: cell::RefCell::new(rc::Rc::new(settings)),
            dispatcher: cell::RefCell::new(dispatcher),
            routing: cell::RefCell::new(None),
            replica: cell::RefCell::default(),
            extracts: cell::RefCell::default(),
            members: cell::RefCell::new(members::Members::new(me.region.clone())),
            me: cell::RefCell::new(me),
            metrics: metrics::Metrics::default(),
            is_complete: cell::Cell::new(false),
            dialect,
            behind: Notify::new(),
            beat: Notify::new(),
        }
    }

    /// Returns the configuration in force.
    #[must_use]
    pub fn routing(&self) -> Option<sync::Arc<routing::Routing>> {
        self.routing.borrow().clone()
    }

    /// Returns whether the node serves callers and wants new ones.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        !self.is_leaving() && self.routing.borrow().is_some() && self.replica.borrow().is_complete()
    }

    /// Returns whether the node is stopping.
    #[must_use]
    pub fn is_leaving(&self) -> bool {
        self.me.borrow().is_leaving
    }

    /// Lets `merge` change the copy of the store, and takes what it changed into force.
    ///
    /// `source` says for the log where the news came from.
    pub fn learn(
        &self,
        source: Source,
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
        let news = News {
            source,
            revision: replica.at(),
            routing: replica.routing().filter(|_| changes.routing).cloned(),
            upstreams: changes.upstreams.then(|| replica.upstreams().cloned().collect()),
            evacuated: changes.evacuations.then(|| replica.evacuated().cloned().collect()),
        };
        let is_ahead = replica.at() > self.me.borrow().at;
        self.me.borrow_mut().at = replica.at();
        if is_ahead && self.announces(source) {
            self.beat.notify_one();
        }
        let is_complete = replica.is_complete();
        drop(replica);
        if is_complete {
            self.adopt(news);
        }
    }

    /// Returns whether this node tells others at once that it has news.
    ///
    /// In a large region most nodes that have them from its other nodes wait for their next heartbeat,
    /// or all would tell all at once.
    fn announces(&self, source: Source) -> bool {
        let near = self.members.borrow().near_count();
        let is_one_of_few = near <= FEW || rand::rng().random_range(0..near) < FEW;
        source != Source::NearPeer || is_one_of_few
    }

    /// Takes news into force; what equals what is in force changes nothing.
    pub fn adopt(&self, news: News) {
        let now = Instant::now();
        let News { source, revision, routing, upstreams, evacuated } = news;
        let source = source.as_str();
        let is_newer = |r: &routing::Routing| {
            self.routing.borrow().as_ref().is_none_or(|known| known.version < r.version)
        };
        let mut dispatcher = self.dispatcher.borrow_mut();
        if let Some(routing) = routing.filter(|r| is_newer(r)) {
            let routes = routing.routes().count();
            log::info!(version = routing.version, routes, revision, source; "config-adopted");
            dispatcher.configure(sync::Arc::clone(&routing));
            *self.routing.borrow_mut() = Some(routing);
        }
        if let Some(upstreams) = upstreams.filter(|e| dispatcher.differs(e)) {
            log::info!(endpoints = upstreams.len(), revision, source; "endpoints-changed");
            let lapsed_before = dispatcher.lapsed();
            dispatcher.set_upstreams(upstreams.into_iter(), now);
            let lapsed = dispatcher.lapsed();
            if lapsed > lapsed_before {
                log::warn!(lapsed, revision, source; "endpoints-lapsed");
            }
        }
        if let Some(halls) = evacuated.filter(|halls| halls != dispatcher.evacuated()) {
            let names: Vec<&str> = halls.iter().map(id::Hall::as_str).collect();
            let names = names.join(",");
            log::info!(halls = names.as_str(), revision, source; "evacuations-changed");
            dispatcher.set_evacuated(halls, now);
        }
        drop(dispatcher);
        self.is_complete.set(true);
        self.update_ready();
    }

    /// Takes the addresses of the nodes that the store lists.
    fn list_nodes(&self, replica: &replica::Replica) {
        // What cannot be read was logged as a malformed item when it was merged.
        let listed = replica.nodes().filter_map(|listed| {
            let member::Member { node, region, callers, peers, .. } = listed.member.clone()?;
            Some((node, members::Listed { region, callers, peers }))
        });
        let own = self.settings.borrow().node.clone();
        let listed = listed.filter(|(node, _)| *node != own).collect();
        self.members.borrow_mut().set_listed(listed);
    }

    /// Returns whether the store answered last time.
    #[must_use]
    pub fn is_store_reached(&self) -> bool {
        self.me.borrow().is_store_reached
    }

    /// Returns whether this node should watch the store itself.
    ///
    /// A few nodes of each region do, the first by name that the store answers; the others learn
    /// from them, so that the store's calls grow with the regions and not with the fleet.
    #[must_use]
    pub fn should_watch(&self) -> bool {
        let members = self.members.borrow();
        let me = self.me.borrow();
        let before = members
            .near(Instant::now())
            .filter(|m| m.is_store_reached && !m.is_leaving && m.node < me.node);
        before.count() < WATCHERS
    }

    /// Notes that a call to the store failed.
    pub fn store_disturbed(&self) {
        self.dispatcher.borrow_mut().source_failed(Instant::now());
    }

    /// Notes whether the store answers, with a line when that changes.
    pub fn store_reached(&self, failure: Option<&dyn std::error::Error>) {
        let is_reached = failure.is_none();
        let was_reached = std::mem::replace(&mut self.me.borrow_mut().is_store_reached, is_reached);
        if !is_reached {
            self.store_disturbed();
        }
        match failure {
            None if !was_reached => {
                log::info!(revision = self.replica.borrow().at(); "store-reached");
            }
            Some(error) if was_reached => {
                let error = error.to_string();
                log::warn!(error = error.as_str(); "store-lost");
            }
            _ => {}
        }
    }

    /// Tells the dispatcher which nodes are alive.
    pub fn update_nodes(&self) {
        let now = Instant::now();
        let members = self.members.borrow();
        let own = self.settings.borrow().node.clone();
        let mut owners = slow_start_owner::Owners {
            near: members.near(now).filter(|m| !m.is_leaving).map(|m| m.node.clone()).collect(),
            listed: collections::BTreeMap::new(),
        };
        if !self.is_leaving() {
            owners.near.push(own);
        }
        for (node, listed) in members.listed() {
            owners.listed.entry(listed.region.clone()).or_default().push(node.clone());
        }
        self.dispatcher.borrow_mut().set_nodes(owners, members.count() + 1);
    }

    /// Marks the node as stopping.
    pub fn leave(&self) {
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
