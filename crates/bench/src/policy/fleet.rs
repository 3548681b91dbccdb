//! The nodes of a run: cores of the decision package, and the store they share.

use std::net;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::change;
use model::check;
use model::drain;
use model::epoch;
use model::id;
use model::resource;
use model::revision;
use model::seat;
use model::snapshot;
use model::table;
use steer::action;
use steer::beat;
use steer::core;
use steer::event;
use steer::vms;

use crate::policy::deployment;

/// Nodes of a deployment.
pub const NODES: usize = 12;

/// The nodes.
#[derive(Debug)]
pub struct Fleet {
    cores: Vec<Option<core::Core>>,
    tables: Vec<sync::Arc<table::Table>>,
    snapshot: sync::Arc<snapshot::Snapshot>,
    regions: usize,
}

impl Fleet {
    /// Starts all nodes with the deployment's declarations, and a drain if one is planned.
    #[must_use]
    pub fn new(
        deployment: &deployment::Deployment,
        planned: Option<drain::Drain>,
        now: Instant,
        wall: SystemTime,
    ) -> Self {
        let regions = deployment.regions.len();
        let tables =
            deployment.regions.iter().map(|r| sync::Arc::new(table::Table::empty(r))).collect();
        let seeds: Vec<net::SocketAddr> = (0..regions).map(address).collect();
        let cores = (0..NODES)
            .map(|node| {
                let me = member(node, &deployment.regions[node % regions]);
                Some(core::Core::new(me, seeds.clone(), now, wall))
            })
            .collect();
        let snapshot = sync::Arc::new(snapshot_of(deployment, planned, wall));
        Self { cores, tables, snapshot, regions }
    }

    /// Returns what each node must be told when it starts.
    #[must_use]
    pub fn first_events(&self, node: usize) -> Vec<event::Event> {
        let table = sync::Arc::clone(&self.tables[node % self.regions]);
        vec![
            event::Event::Configure { snapshot: sync::Arc::clone(&self.snapshot) },
            event::Event::Adopt { table, is_stored: true },
            event::Event::Vms { list: vms::List::default() },
        ]
    }

    /// Hands an event to a node; a node that was lost does nothing.
    pub fn tell(&mut self, node: usize, event: event::Event, now: Instant) -> Vec<action::Action> {
        let mut out = Vec::new();
        if let Some(core) = &mut self.cores[node] {
            core.handle(event, now, &mut out);
        }
        out
    }

    /// Writes a table if its turn has come, and returns the one that stands.
    pub fn propose(&mut self, node: usize, table: sync::Arc<table::Table>) -> event::Event {
        let standing = &mut self.tables[node % self.regions];
        if table.epoch == standing.epoch.next() {
            *standing = table;
        }
        event::Event::Adopt { table: sync::Arc::clone(standing), is_stored: true }
    }

    /// Ends a node without a word.
    pub fn lose(&mut self, node: usize) {
        self.cores[node] = None;
    }

    /// Returns how much of its slots a service uses at a node.
    #[must_use]
    pub fn use_of(&self, node: usize, service: &id::Service, now: Instant) -> beat::Use {
        self.cores[node].as_ref().map_or_else(beat::Use::default, |c| c.home.use_of(service, now))
    }

    /// Returns whether a node runs.
    #[must_use]
    pub fn runs(&self, node: usize) -> bool {
        self.cores[node].is_some()
    }
}

/// Returns the face for peers of a node.
#[must_use]
pub fn address(node: usize) -> net::SocketAddr {
    ([10, 0, 0, u8::try_from(node + 1).expect("nodes are few")], 8_082).into()
}

/// Returns the node at an address.
#[must_use]
pub fn node_at(address: net::SocketAddr) -> usize {
    match address.ip() {
        net::IpAddr::V4(four) => usize::from(four.octets()[3]) - 1,
        net::IpAddr::V6(_) => unreachable!("all nodes have IPv4 addresses"),
    }
}

/// Returns the node called `name`.
#[must_use]
pub fn node_named(name: &id::Node) -> usize {
    let number = name.as_str().trim_start_matches("node-");
    number.parse().expect("nodes are named by number")
}

fn member(node: usize, region: &id::Region) -> beat::Member {
    let at = address(node);
    beat::Member {
        key: seat::Key { node: id::Node::new(&format!("node-{node:02}")), incarnation: 1 },
        region: region.clone(),
        hall: id::Hall::new(&format!("{region}-{}", node / 3 % 2 + 1)),
        callers: at,
        peers: at,
        operators: at,
        sequence: 0,
        revision: revision::Revision(0),
        epoch: epoch::Epoch(0),
        settled: epoch::Epoch(0),
        is_leaving: false,
    }
}

fn snapshot_of(
    deployment: &deployment::Deployment,
    planned: Option<drain::Drain>,
    wall: SystemTime,
) -> snapshot::Snapshot {
    let places = deployment.places.iter().cloned().map(resource::Resource::Place);
    let resources = [
        resource::Resource::Service(deployment.service.clone()),
        resource::Resource::Cap(deployment.cap.clone()),
    ];
    let drains = planned.into_iter().map(resource::Resource::Drain);
    let all = resources.into_iter().chain(places).chain(drains);
    let steps = all.map(|resource| change::Step::Put { resource }).collect();
    let change = change::Change { operation: "bench".to_owned(), expected: None, steps };
    // Accepted a while ago, so that a drain of the run was planned in time.
    let facts = check::Facts::at(wall - Duration::from_secs(3_600));
    snapshot::Snapshot::default().apply(&change, &facts).expect("the declarations are valid")
}
