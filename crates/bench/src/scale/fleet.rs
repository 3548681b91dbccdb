//! A whole fleet of cores in one process, without requests.
//!
//! It stays because it measures the heartbeats and decisions of nodes that own upstreams, which the
//! users' bench does not run. It owns the cores, their tables and the virtual clock; it relies on the
//! decision package, and on the wire's encoding for the size of a message.

use std::net;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::acceptance;
use model::change;
use model::check;
use model::epoch;
use model::id;
use model::member;
use model::place;
use model::resource;
use model::revision;
use model::service;
use model::snapshot;
use model::table;
use model::upstream;
use node::owner::peers::convert;
use prost::Message as _;
use steer::ownership::action;
use steer::ownership::core;
use steer::ownership::event;
use steer::ownership::heartbeat;

use crate::scale;

/// Regions of the target, and nodes of a region today.
const REGIONS: usize = 8;
const NODES_TODAY: usize = 4;

/// Upstream sites, places and services of the target.
const SITES: usize = 53;
const SERVICES: usize = 3;

/// Time for the nodes to know each other, and time that is measured; both not measured.
const WARM_UP: Duration = Duration::from_secs(15);
const MEASURED: Duration = Duration::from_secs(10);

/// Time between two ticks; longer than the process's, since no request waits here; not measured.
const TICK: Duration = Duration::from_millis(100);

/// What one node needs, on average over the fleet.
#[derive(Debug)]
pub struct Measured {
    /// Regions of the fleet.
    pub regions: usize,
    /// Heartbeats and replies, sent and received.
    pub messages_per_second: f64,
    /// Their bytes.
    pub bytes_per_second: f64,
    /// Time of its decisions, as a share of one core.
    pub share_of_core: f64,
    /// Memory, in megabytes.
    pub resident_mb: f64,
    /// Nodes that the first node knows to be alive.
    pub alive: usize,
}

struct Fleet {
    cores: Vec<core::Core>,
    tables: Vec<sync::Arc<table::Table>>,
    regions: usize,
    now: Instant,
    wall: SystemTime,
    bytes: usize,
    messages: usize,
}

/// Measures a fleet of `size` nodes by a virtual clock.
///
/// # Errors
///
/// Fails when the resident set cannot be read.
pub fn measure(size: usize) -> anyhow::Result<Measured> {
    let before = scale::resident_mb()?;
    let mut fleet = Fleet::new(size);
    fleet.run(WARM_UP);
    fleet.bytes = 0;
    fleet.messages = 0;
    let began = Instant::now();
    fleet.run(MEASURED);
    let took = began.elapsed();
    let resident = scale::resident_mb()? - before;
    #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes, some megabytes")]
    let each = |total: usize| total as f64 / size as f64 / MEASURED.as_secs_f64();
    #[expect(clippy::cast_precision_loss, reason = "a few hundred nodes")]
    let nodes = size as f64;
    Ok(Measured {
        regions: fleet.regions,
        // Each message is sent by one node and received by another.
        messages_per_second: each(fleet.messages * 2),
        bytes_per_second: each(fleet.bytes * 2),
        share_of_core: took.as_secs_f64() / nodes / MEASURED.as_secs_f64(),
        resident_mb: resident / nodes,
        alive: fleet.cores[0].members.alive(fleet.now).count(),
    })
}

impl Fleet {
    fn new(size: usize) -> Self {
        let regions = (size / NODES_TODAY).min(REGIONS);
        let now = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let seeds: Vec<net::SocketAddr> = (0..regions).map(address).collect();
        let core = |node| core::Core::new(member(node, regions), seeds.clone(), now, wall);
        let tables = (0..regions).map(|r| sync::Arc::new(table::Table::empty(&region(r))));
        let mut fleet = Self {
            cores: (0..size).map(core).collect(),
            tables: tables.collect(),
            regions,
            now,
            wall,
            bytes: 0,
            messages: 0,
        };
        let snapshot = sync::Arc::new(snapshot_of(regions, wall));
        for node in 0..size {
            let snapshot = sync::Arc::clone(&snapshot);
            let table = sync::Arc::clone(&fleet.tables[node % regions]);
            fleet.deliver(node, event::Event::Configure { snapshot });
            fleet.deliver(node, event::Event::Adopt { table, is_stored: true });
        }
        fleet
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.wall += TICK;
            for node in 0..self.cores.len() {
                let wall = self.wall;
                self.deliver(node, event::Event::Tick { wall });
            }
        }
    }

    /// Handles an event at a node, and delivers the heartbeats that it sends at once.
    fn deliver(&mut self, node: usize, event: event::Event) -> Option<Box<heartbeat::Reply>> {
        let mut actions = Vec::new();
        self.cores[node].handle(event, self.now, &mut actions);
        let mut reply = None;
        for action in actions {
            match action {
                action::Action::Reply { reply: answer } => reply = Some(answer),
                action::Action::Heartbeat { to, heartbeat, .. } => {
                    self.exchange(node, to, *heartbeat)
                }
                action::Action::Propose { table } => self.propose(node, table),
                _ => {}
            }
        }
        reply
    }

    fn exchange(&mut self, from: usize, to: net::SocketAddr, heartbeat: heartbeat::Request) {
        let to = node_at(to);
        self.messages += 2;
        self.bytes += convert::request_out(heartbeat.clone()).encoded_len();
        let reply = self.deliver(to, event::Event::Heartbeat { heartbeat: Box::new(heartbeat) });
        let reply = reply.expect("a heartbeat is answered");
        self.bytes += convert::reply_out((*reply).clone()).encoded_len();
        let sent = self.now;
        self.deliver(from, event::Event::Replied { reply, sent });
    }

    fn propose(&mut self, node: usize, table: sync::Arc<table::Table>) {
        let standing = &mut self.tables[node % self.regions];
        if table.epoch == standing.epoch.next() {
            *standing = table;
        }
        let table = sync::Arc::clone(standing);
        self.deliver(node, event::Event::Adopt { table, is_stored: true });
    }
}

fn region(number: usize) -> id::Region {
    id::Region::new(&format!("region-{number}"))
}

fn address(node: usize) -> net::SocketAddr {
    let [high, low] = u16::try_from(node).expect("nodes are few").to_be_bytes();
    ([10, 0, high, low], 8_082).into()
}

fn node_at(address: net::SocketAddr) -> usize {
    match address.ip() {
        net::IpAddr::V4(four) => {
            let [_, _, high, low] = four.octets();
            usize::from(u16::from_be_bytes([high, low]))
        }
        net::IpAddr::V6(_) => unreachable!("all nodes have IPv4 addresses"),
    }
}

fn member(node: usize, regions: usize) -> heartbeat::Member {
    let at = address(node);
    let region = region(node % regions);
    heartbeat::Member {
        key: member::Key { node: id::Node::new(&format!("node-{node:03}")), incarnation: 1 },
        hall: id::Hall::new(&format!("{region}-{}", node / regions % 4)),
        region,
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

fn snapshot_of(regions: usize, wall: SystemTime) -> snapshot::Snapshot {
    let service = |number: usize| service::Service {
        name: id::Service::new(&format!("service-{number}")),
        host: format!("service-{number}.example"),
        deadline: Duration::from_secs(5),
        hold: Duration::from_millis(500),
        repeatable: Vec::new(),
        once: Vec::new(),
        shed: Vec::new(),
        report: None,
        upstreams: (0..SITES).map(|site| upstream_of(number, site, regions)).collect(),
    };
    let place = |number: usize| place::Place {
        name: id::Place::new(&format!("place-{number}")),
        blocks: vec![block(number)],
        links: (0..regions).map(|r| link(number, r, regions)).collect(),
    };
    let services = (0..SERVICES).map(|n| resource::Resource::Service(service(n)));
    let places = (0..SITES).map(|n| resource::Resource::Place(place(n)));
    let steps = services.chain(places).map(|resource| change::Step::Put { resource }).collect();
    let change = change::Change { operation: "scale".to_owned(), expected: None, steps };
    let facts = check::context::Context::at(wall);
    acceptance::apply(&snapshot::Snapshot::default(), &change, &facts)
        .expect("the declarations are valid")
}

fn upstream_of(service: usize, site: usize, regions: usize) -> upstream::Upstream {
    let part = |number: usize| u8::try_from(number).expect("sites are few");
    upstream::Upstream {
        name: id::Upstream::new(&format!("site-{site:02}")),
        region: region(site % regions),
        hall: id::Hall::new(&format!("hall-{}", site % 31)),
        address: ([10, 1, part(service), part(site)], 80).into(),
        slots: 600,
        connections: 4_000,
    }
}

fn block(number: usize) -> ipnet::IpNet {
    let third = u8::try_from(number).expect("places are few");
    ipnet::IpNet::V4(ipnet::Ipv4Net::new_assert([192, 168, third, 0].into(), 24))
}

fn link(place: usize, to: usize, regions: usize) -> place::Link {
    let is_near = place % regions == to;
    let delay = Duration::from_millis(if is_near { 3 } else { 30 + to as u64 });
    place::Link { region: region(to), delay, limit: None }
}
