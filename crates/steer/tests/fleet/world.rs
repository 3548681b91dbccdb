//! Simulation of a region: its nodes, their messages, the store and the clock.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::change;
use model::check;
use model::epoch;
use model::id;
use model::member;
use model::resource;
use model::revision;
use model::service;
use model::snapshot;
use model::table;
use model::upstream;
use steer::ownership::action;
use steer::ownership::core;
use steer::ownership::event;
use steer::ownership::heartbeat;
use steer::ownership::ledger;
use steer::ownership::owner;
use steer::ownership::request;
use steer::ownership::vms;

use crate::coverage;
use crate::oracle;
use crate::step;

/// Number of nodes.
const NODES: usize = 5;

/// Slots of each upstream.
const SLOTS: [u32; 5] = [6, 3, 5, 1, 4];

/// The service's deadline.
const DEADLINE: Duration = Duration::from_secs(4);

/// Time between two ticks of a node.
const TICK: Duration = Duration::from_millis(100);

/// Time in which a healed region must have all its slots again. Covers the silence after which nodes count
/// as dead, a lease with its tail, the tail of departed nodes, and the delays of table maintenance.
const RECOVERY: Duration = Duration::from_secs(40);

const REGION: &str = "dakar";
const SERVICE: &str = "catalogue";

/// A simulated node.
struct Sim {
    core: Option<core::Core>,
    start: u64,
    is_paused: bool,
    is_stopping: bool,
    /// The requests that the node knows to be running, with their deadlines.
    running: collections::BTreeMap<request::Id, Instant>,
}

enum Message {
    Heartbeat { from: (usize, u64), to: usize, heartbeat: Box<heartbeat::Request>, made: Instant },
    Reply { from: usize, to: (usize, u64), reply: Box<heartbeat::Reply>, made: Instant },
    Fetch { from: (usize, u64), to: usize },
}

impl Message {
    fn ends(&self) -> (usize, usize) {
        match self {
            Self::Heartbeat { from, to, .. } | Self::Fetch { from, to } => (from.0, *to),
            Self::Reply { from, to, .. } => (*from, to.0),
        }
    }
}

struct World {
    now: Instant,
    wall: SystemTime,
    nodes: Vec<Sim>,
    messages: Vec<Message>,
    cuts: collections::BTreeSet<(usize, usize)>,
    store: sync::Arc<table::Table>,
    is_store_up: bool,
    loses_answer: bool,
    config: sync::Arc<snapshot::Snapshot>,
    vms: vms::List,
    oracle: oracle::Oracle,
    deadlines: Vec<Instant>,
    met: coverage::Met,
    violation: Option<String>,
}

/// Runs a case and heals the region; returns the situations it reached, or the invariant that failed.
pub fn run(steps: &[step::Step]) -> Result<coverage::Met, String> {
    let mut world = World::new();
    for number in 0..NODES {
        world.start(number);
    }
    world.quiet(Duration::from_secs(12));
    for step in steps {
        world.take(*step);
        if let Some(violation) = world.violation {
            return Err(violation);
        }
    }
    world.recover()?;
    Ok(world.met)
}

impl World {
    fn new() -> Self {
        let origin = Instant::now();
        let wall = SystemTime::UNIX_EPOCH + Duration::from_secs(1_800_000_000);
        let sim = |_| Sim {
            core: None,
            start: 0,
            is_paused: false,
            is_stopping: false,
            running: collections::BTreeMap::new(),
        };
        Self {
            now: origin,
            wall,
            nodes: (0..NODES).map(sim).collect(),
            messages: Vec::new(),
            cuts: collections::BTreeSet::new(),
            store: sync::Arc::new(table::Table::empty(&id::Region::new(REGION))),
            is_store_up: true,
            loses_answer: false,
            config: sync::Arc::new(config(wall)),
            vms: vms::List {
                vms: nodes_and_upstreams().map(|ip| (ip, vms::State::Live)).collect(),
            },
            oracle: oracle::Oracle::default(),
            deadlines: Vec::new(),
            met: coverage::Met::default(),
            violation: None,
        }
    }

    fn take(&mut self, step: step::Step) {
        match step {
            step::Step::Pass(millis) => self.pass(Duration::from_millis(millis.into())),
            step::Step::Quiet(millis) => self.quiet(Duration::from_millis(millis.into())),
            step::Step::Deliver(which) => {
                if let Some(message) = self.pick(which) {
                    self.deliver(message);
                }
            }
            step::Step::Lose(which) => {
                if let Some(message) = self.pick(which) {
                    self.lose(&message);
                }
            }
            step::Step::Offer(node, count) => {
                for _ in 0..count % 12 {
                    self.offer(usize::from(node) % NODES, u64::from(count) * 37);
                }
            }
            step::Step::Finish(which) => self.finish(which),
            step::Step::Abandon(which) => self.abandon(which),
            step::Step::Pause(node) => self.pause(usize::from(node) % NODES),
            step::Step::Resume(node) => self.resume(usize::from(node) % NODES),
            step::Step::Kill(node) => self.kill(usize::from(node) % NODES),
            step::Step::Start(node) => self.start(usize::from(node) % NODES),
            step::Step::Stop(node) => self.stop(usize::from(node) % NODES),
            step::Step::Cut(a, b) => {
                let (a, b) = (usize::from(a) % NODES, usize::from(b) % NODES);
                self.cuts.insert((a.min(b), a.max(b)));
            }
            step::Step::Heal => self.cuts.clear(),
            step::Step::Store(is_up) => self.is_store_up = is_up,
            step::Step::LoseAnswer => self.loses_answer = true,
            step::Step::Gone(node) => self.gone(usize::from(node) % NODES),
            step::Step::Read(node) => self.read(usize::from(node) % NODES),
        }
    }

    // Time.

    fn pass(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            let step = TICK.min(end - self.now);
            self.now += step;
            self.wall += step;
            self.oracle.expire(self.now);
            for number in 0..NODES {
                self.abandon_late(number);
                let wall = self.wall;
                self.handle(number, event::Event::Tick { wall });
            }
        }
    }

    fn quiet(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end && self.violation.is_none() {
            self.pass(TICK.min(end - self.now));
            for _ in 0..3 {
                for message in std::mem::take(&mut self.messages) {
                    self.deliver(message);
                }
            }
        }
    }

    /// Abandons the requests of a node that are past their deadline, as its process does unless paused.
    fn abandon_late(&mut self, number: usize) {
        if self.nodes[number].is_paused {
            return;
        }
        let now = self.now;
        let late = self.nodes[number].running.extract_if(.., |_, deadline| *deadline <= now);
        for (request, _) in late.collect::<Vec<_>>() {
            let outcome = request::Outcome::Abandoned;
            self.handle(number, event::Event::Done { request, outcome });
        }
    }

    // Messages.

    fn pick(&mut self, which: u16) -> Option<Message> {
        match self.messages.len() {
            0 => None,
            len => Some(self.messages.remove(usize::from(which) % len)),
        }
    }

    fn deliver(&mut self, message: Message) {
        let (from, to) = message.ends();
        let is_cut = self.cuts.contains(&(from.min(to), from.max(to)));
        if is_cut {
            return self.lose(&message);
        }
        if self.nodes[to].is_paused {
            self.messages.push(message);
            return;
        }
        match message {
            Message::Heartbeat { from, to, heartbeat, made } => match self.nodes[to].core {
                Some(_) => {
                    let reply = self.handle(to, event::Event::Heartbeat { heartbeat });
                    if let Some(reply) = reply {
                        self.messages.push(Message::Reply { from: to, to: from, reply, made });
                    }
                }
                None => self.unanswered(from, to),
            },
            Message::Reply { to, reply, made, .. } if self.nodes[to.0].start == to.1 => {
                self.handle(to.0, event::Event::Replied { reply, sent: made });
            }
            Message::Fetch { from, to } if self.nodes[from.0].start == from.1 => {
                let snapshot = self.nodes[to].core.as_ref().map(|c| sync::Arc::clone(&c.snapshot));
                if let Some(snapshot) = snapshot {
                    self.handle(from.0, event::Event::Configure { snapshot });
                }
            }
            _ => {}
        }
    }

    fn lose(&mut self, message: &Message) {
        match message {
            Message::Heartbeat { from, to, .. } => self.unanswered(*from, *to),
            Message::Reply { from, to, .. } => self.unanswered(*to, *from),
            Message::Fetch { .. } => {}
        }
    }

    fn unanswered(&mut self, by: (usize, u64), node: usize) {
        if self.nodes[by.0].start == by.1 {
            self.handle(by.0, event::Event::Unanswered { node: name(node) });
        }
    }

    /// Lets a running node handle an event and carries out its actions; returns its reply to a heartbeat.
    fn handle(&mut self, number: usize, event: event::Event) -> Option<Box<heartbeat::Reply>> {
        let sim = &mut self.nodes[number];
        let core = sim.core.as_mut().filter(|_| !sim.is_paused)?;
        let before = core.me.epoch;
        let mut actions = Vec::new();
        core.handle(event, self.now, &mut actions);
        let changed = core.me.epoch != before && core.owner.load() > 0;
        self.met.record_if(changed, "epoch changed with requests in flight");
        let mut reply = None;
        for action in actions {
            match action {
                action::Action::Reply { reply: answer } => reply = Some(answer),
                other => self.act(number, other),
            }
        }
        reply
    }

    fn act(&mut self, number: usize, action: action::Action) {
        let from = (number, self.nodes[number].start);
        match action {
            action::Action::Heartbeat { to, heartbeat, .. } => {
                let (to, made) = (node_at(to), self.now);
                self.messages.push(Message::Heartbeat { from, to, heartbeat, made });
            }
            action::Action::Fetch { from: at } => {
                self.messages.push(Message::Fetch { from, to: node_at(at) });
            }
            action::Action::Propose { table } => self.propose(number, table),
            action::Action::Run { request, upstream, .. } => self.run(number, request, &upstream),
            action::Action::Refuse { .. } => self.met.record("refused"),
            action::Action::Forward { .. } | action::Action::Reply { .. } => {}
        }
    }

    // Requests.

    fn offer(&mut self, number: usize, extra: u64) {
        let id = request::Id(u64::try_from(self.deadlines.len()).expect("requests are few"));
        let deadline = self.now + DEADLINE - Duration::from_millis(extra % 3_000);
        let offer = request::Offer {
            id,
            service: id::Service::new(SERVICE),
            place: id::Place::new("quai"),
            deadline,
            avoid: Vec::new(),
            may_wait: !extra.is_multiple_of(3),
        };
        self.deadlines.push(deadline);
        let before = self.queued(number);
        self.handle(number, event::Event::Offer { offer });
        let waits = self.queued(number) > before;
        self.met.record_if(waits, "queued");
    }

    fn queued(&self, number: usize) -> usize {
        let service = id::Service::new(SERVICE);
        self.nodes[number].core.as_ref().map_or(0, |c| c.owner.queue_len(&service))
    }

    fn run(&mut self, number: usize, request: request::Id, upstream: &id::Upstream) {
        self.record_run(number, upstream);
        let index: usize = upstream.as_str().parse().expect("upstreams are named by number");
        let asked = usize::try_from(request.0).expect("requests are few");
        let deadline = self.deadlines[asked];
        self.nodes[number].running.insert(request, deadline);
        let until = deadline + owner::CANCEL_GRACE;
        let held = oracle::Held { node: (number, self.nodes[number].start), request, until };
        let slots = usize::try_from(SLOTS[index]).expect("slots are few");
        if let Err(violation) = self.oracle.begin(upstream, held, slots) {
            self.violation.get_or_insert(violation);
        }
    }

    fn record_run(&mut self, number: usize, upstream: &id::Upstream) {
        let others = self.nodes.iter().enumerate().filter(|(n, _)| *n != number);
        let any_paused = others.into_iter().any(|(_, s)| s.is_paused && s.core.is_some());
        self.met.record("run");
        self.met.record_if(any_paused, "run while another node is paused");
        self.met.record_if(!self.cuts.is_empty(), "run while links are cut");
        self.met.record_if(!self.is_store_up, "run while the store is away");
        let Some(core) = &self.nodes[number].core else { return };
        let key =
            model::upstream::Key { service: id::Service::new(SERVICE), upstream: upstream.clone() };
        let Some(ledger) = core.owner.upstreams.get(&key).map(|u| &u.ledger) else { return };
        let is_not_owner = ledger.allotment.owner() != Some(&core.me.key);
        let on_lease = ledger.running_on_leases().any(|(_, slots)| slots > 0);
        self.met.record_if(is_not_owner, "run by a node that is not the owner");
        self.met.record_if(on_lease, "run on a lease");
    }

    fn finish(&mut self, which: u16) {
        let Some(held) = self.select(which) else { return };
        self.oracle.end(held.node, held.request);
        self.end(&held, request::Outcome::Answered);
    }

    fn abandon(&mut self, which: u16) {
        let Some(held) = self.select(which) else { return };
        let runs = self.nodes[held.node.0].start == held.node.1;
        if !runs || self.nodes[held.node.0].is_paused {
            return;
        }
        self.met.record("abandoned");
        self.oracle.abandon(held.node, held.request, self.now + owner::CANCEL_GRACE);
        self.end(&held, request::Outcome::Abandoned);
    }

    fn select(&self, which: u16) -> Option<oracle::Held> {
        let all = self.oracle.all();
        (!all.is_empty()).then(|| all[usize::from(which) % all.len()].clone())
    }

    fn end(&mut self, held: &oracle::Held, outcome: request::Outcome) {
        let sim = &mut self.nodes[held.node.0];
        // An answer that arrives while the node is paused is read only after it resumes. Until then the
        // node counts the slot as occupied.
        if sim.start == held.node.1 && !sim.is_paused {
            sim.running.remove(&held.request);
            self.handle(held.node.0, event::Event::Done { request: held.request, outcome });
        }
    }

    // Nodes.

    fn pause(&mut self, number: usize) {
        let key = (number, self.nodes[number].start);
        let holds = self.oracle.holds(key);
        self.met.record_if(holds, "paused with requests in flight");
        self.nodes[number].is_paused = true;
    }

    fn resume(&mut self, number: usize) {
        self.nodes[number].is_paused = false;
    }

    fn kill(&mut self, number: usize) {
        let key = (number, self.nodes[number].start);
        let holds = self.oracle.holds(key);
        self.met.record_if(holds, "killed with requests in flight");
        // Its requests run on until their deadlines, as after a power failure of the VM.
        self.nodes[number].core = None;
    }

    fn start(&mut self, number: usize) {
        let sim = &mut self.nodes[number];
        if sim.core.is_some() {
            return;
        }
        sim.start += 1;
        sim.is_paused = false;
        sim.is_stopping = false;
        sim.running.clear();
        let seeds = (0..NODES).map(address).collect();
        let me = member(number, sim.start);
        sim.core = Some(core::Core::new(me, seeds, self.now, self.wall));
        self.vms.vms.insert(address(number).ip(), vms::State::Live);
        self.publish_vms();
        self.read(number);
    }

    fn stop(&mut self, number: usize) {
        if self.nodes[number].core.is_some() && !self.nodes[number].is_paused {
            self.met.record("node stopped as planned");
            self.nodes[number].is_stopping = true;
            self.handle(number, event::Event::Stop);
        }
    }

    /// Removes a VM from the list, but only if its node has ended: the list may be late, never early.
    fn gone(&mut self, number: usize) {
        if self.nodes[number].core.is_none() {
            self.vms.vms.remove(&address(number).ip());
            self.publish_vms();
        }
    }

    fn publish_vms(&mut self) {
        let list = self.vms.clone();
        for number in 0..NODES {
            self.handle(number, event::Event::Vms { list: list.clone() });
        }
    }

    // The store.

    fn read(&mut self, number: usize) {
        if !self.is_store_up {
            return;
        }
        let snapshot = sync::Arc::clone(&self.config);
        let table = sync::Arc::clone(&self.store);
        self.handle(number, event::Event::Configure { snapshot });
        self.handle(number, event::Event::Adopt { table, is_stored: true });
    }

    fn propose(&mut self, number: usize, table: sync::Arc<table::Table>) {
        if !self.is_store_up {
            return;
        }
        if table.epoch == self.store.epoch.next() {
            let forgotten = self.store.departed.len() > table.departed.len();
            self.met.record_if(forgotten, "departed node forgotten");
            self.store = table;
            if std::mem::take(&mut self.loses_answer) {
                self.met.record("answer of a write lost");
                return;
            }
        }
        self.read(number);
    }

    // Recovery.

    /// Heals all faults and checks that the owner of each upstream, and no other node, can use all its slots.
    fn recover(&mut self) -> Result<(), String> {
        self.cuts.clear();
        self.is_store_up = true;
        self.loses_answer = false;
        for number in 0..NODES {
            self.resume(number);
            if self.nodes[number].is_stopping {
                self.kill(number);
            }
            self.start(number);
        }
        let every = Duration::from_secs(1);
        let mut spent = Duration::ZERO;
        while spent < RECOVERY {
            self.quiet(every);
            spent += every;
            for number in 0..NODES {
                self.read(number);
            }
            if let Some(violation) = self.violation.take() {
                return Err(violation);
            }
        }
        for (index, slots) in SLOTS.iter().enumerate() {
            let capacities: Vec<u32> = (0..NODES).map(|n| self.capacity(n, index)).collect();
            let total: u32 = capacities.iter().sum();
            if total != *slots || !capacities.contains(slots) {
                let state = self.describe();
                return Err(format!("upstream {index}: {capacities:?} of {slots}\n{state}"));
            }
        }
        Ok(())
    }

    fn capacity(&self, number: usize, index: usize) -> u32 {
        let key = model::upstream::Key {
            service: id::Service::new(SERVICE),
            upstream: id::Upstream::new(&index.to_string()),
        };
        let core = self.nodes[number].core.as_ref();
        let upstream = core.and_then(|core| core.owner.upstreams.get(&key));
        upstream.map_or(0, |u: &steer::ownership::owned::Upstream| {
            let ledger: &ledger::Ledger = &u.ledger;
            ledger.capacity(self.now)
        })
    }

    fn describe(&self) -> String {
        let node = |(number, sim): (usize, &Sim)| {
            let core = sim.core.as_ref();
            let epochs = core.map(|c| (c.me.epoch, c.me.settled, c.is_ready(self.now)));
            format!("{number}: {epochs:?}")
        };
        let nodes: Vec<String> = self.nodes.iter().enumerate().map(node).collect();
        format!("{}\nstore: {:?}", nodes.join("\n"), self.store)
    }
}

fn name(number: usize) -> id::Node {
    id::Node::new(&format!("node-{number}"))
}

fn address(number: usize) -> net::SocketAddr {
    let last = u8::try_from(number + 1).expect("nodes are few");
    (net::Ipv4Addr::new(10, 0, 0, last), 9_000).into()
}

fn upstream_at(index: usize) -> net::SocketAddr {
    ([10, 0, 1, u8::try_from(index).expect("upstreams are few")], 80).into()
}

fn nodes_and_upstreams() -> impl Iterator<Item = net::IpAddr> {
    let upstreams = (0..SLOTS.len()).map(upstream_at);
    (0..NODES).map(address).chain(upstreams).map(|at| at.ip())
}

fn node_at(address: net::SocketAddr) -> usize {
    match address.ip() {
        net::IpAddr::V4(four) => usize::from(four.octets()[3]) - 1,
        net::IpAddr::V6(_) => unreachable!("all nodes have IPv4 addresses"),
    }
}

fn member(number: usize, start: u64) -> heartbeat::Member {
    heartbeat::Member {
        key: member::Key { node: name(number), incarnation: start },
        region: id::Region::new(REGION),
        hall: id::Hall::new("dakar-1"),
        callers: address(number),
        peers: address(number),
        operators: address(number),
        sequence: 0,
        revision: revision::Revision(0),
        epoch: epoch::Epoch(0),
        settled: epoch::Epoch(0),
        is_leaving: false,
    }
}

fn config(wall: SystemTime) -> snapshot::Snapshot {
    let upstream = |(index, slots): (usize, &u32)| upstream::Upstream {
        name: id::Upstream::new(&index.to_string()),
        region: id::Region::new(REGION),
        hall: id::Hall::new("dakar-1"),
        address: upstream_at(index),
        slots: *slots,
        connections: 400,
    };
    let service = service::Service {
        name: id::Service::new(SERVICE),
        host: "catalogue.example".to_owned(),
        deadline: DEADLINE,
        hold: Duration::from_millis(500),
        repeatable: Vec::new(),
        once: Vec::new(),
        shed: Vec::new(),
        report: None,
        upstreams: SLOTS.iter().enumerate().map(upstream).collect(),
    };
    let resource = resource::Resource::Service(service);
    let steps = vec![change::Step::Put { resource }];
    let change = change::Change { operation: "start".to_owned(), expected: None, steps };
    let empty = snapshot::Snapshot::default();
    model::acceptance::apply(&empty, &change, &check::context::Context::at(wall))
        .expect("the declaration is valid")
}
