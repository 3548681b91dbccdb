//! One node by itself: what it never goes back on, and what keeps new work away from an upstream.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use model::change::{Change, Step};
use model::check::context::Context;
use model::document;
use model::epoch::Epoch;
use model::id;
use model::leaving;
use model::member::{Key, Listed};
use model::resource::Kind;
use model::rest;
use model::revision::Revision;
use model::snapshot::Snapshot;
use model::statement::Statement;
use model::table::Table;
use model::upstream;
use steer::ownership::action::Action;
use steer::ownership::core::Core;
use steer::ownership::event::Event;
use steer::ownership::heartbeat::Member;
use steer::ownership::report::Report;
use steer::ownership::request::{Id, Offer, Outcome};
use steer::ownership::vms;

const SERVICE: &str = "name: search\nhost: search.example\nreport: /report\nupstreams:\n  - { name: \
                       one, region: here, hall: h1, address: \"10.0.1.1:80\", slots: 4 }\n";

fn at() -> SocketAddr {
    ([10, 0, 0, 1], 9_000).into()
}

fn key() -> Key {
    Key { node: id::Node::new("node"), incarnation: 1 }
}

fn put(before: &Snapshot, kind: Kind, text: &str, wall: SystemTime) -> Arc<Snapshot> {
    let resource = document::read_kind("test", kind, text).expect("it is well-formed");
    let steps = vec![Step::Put { resource }];
    let change = Change { operation: text.to_owned(), expected: None, steps };
    Arc::new(model::acceptance::apply(before, &change, &Context::at(wall)).expect("it is accepted"))
}

struct Node {
    core: Core,
    now: Instant,
    wall: SystemTime,
    snapshot: Arc<Snapshot>,
    table: Arc<Table>,
    next: u64,
}

impl Node {
    /// Starts a node that is owner of one upstream with four slots.
    fn start() -> Self {
        let (now, wall) = (Instant::now(), SystemTime::now());
        let me = Member {
            key: key(),
            region: id::Region::new("here"),
            hall: id::Hall::new("h1"),
            callers: at(),
            peers: at(),
            operators: at(),
            sequence: 0,
            revision: Revision(0),
            epoch: Epoch(0),
            settled: Epoch(0),
            is_leaving: false,
        };
        let snapshot = put(&Snapshot::default(), Kind::Service, SERVICE, wall);
        let listed = Listed {
            key: key(),
            hall: me.hall.clone(),
            peers: at(),
            callers: at(),
            settled: Epoch(1),
        };
        let table = Arc::new(Table::empty(&me.region).next(&[listed], &[], &[]));
        let core = Core::new(me, Vec::new(), now, wall);
        let mut node = Self { core, now, wall, snapshot, table, next: 0 };
        let (snapshot, table) = (Arc::clone(&node.snapshot), Arc::clone(&node.table));
        node.tell(Event::Configure { snapshot });
        node.tell(Event::Adopt { table, is_stored: true });
        node
    }

    fn tell(&mut self, event: Event) -> Vec<Action> {
        let mut out = Vec::new();
        self.core.handle(event, self.now, &mut out);
        out
    }

    fn tick(&mut self, time: Duration) {
        self.now += time;
        self.wall += time;
        let wall = self.wall;
        self.tell(Event::Tick { wall });
    }

    /// Offers a request; returns whether it ran.
    fn runs(&mut self) -> bool {
        self.next += 1;
        let offer = Offer {
            id: Id(self.next),
            service: id::Service::new("search"),
            place: id::Place::new("quai"),
            deadline: self.now + Duration::from_secs(5),
            avoid: Vec::new(),
            may_wait: false,
        };
        let actions = self.tell(Event::Offer { offer });
        actions.iter().any(|action| matches!(action, Action::Run { .. }))
    }

    /// Lets the upstream say something of itself in an answer.
    fn hear(&mut self, statement: Statement) {
        let upstream = upstream::Key {
            service: id::Service::new("search"),
            upstream: id::Upstream::new("one"),
        };
        self.tell(Event::Said { upstream, statement });
    }

    fn report(&mut self, report: Option<Report>) {
        let upstream = upstream::Key {
            service: id::Service::new("search"),
            upstream: id::Upstream::new("one"),
        };
        self.tell(Event::Probed { upstream, report });
    }
}

#[test]
fn exactly_its_slots_run_at_once() {
    let mut node = Node::start();
    assert_eq!((0..6).filter(|_| node.runs()).count(), 4);
    node.tell(Event::Done { request: Id(1), outcome: Outcome::Answered });
    assert!(node.runs());
    assert!(!node.runs());
    // An abandoned request holds its slot until the upstream has noticed.
    node.tell(Event::Done { request: Id(2), outcome: Outcome::Abandoned });
    assert!(!node.runs());
    node.tick(Duration::from_millis(300));
    assert!(node.runs());
}

#[test]
fn an_older_configuration_or_table_changes_nothing() {
    let mut node = Node::start();
    let old = Arc::clone(&node.snapshot);
    let cap = "name: pace\nservice: search\nshare: 5\nwindow: 10s\n";
    let newer = put(&old, Kind::Cap, cap, node.wall);
    node.tell(Event::Configure { snapshot: newer });
    node.tell(Event::Configure { snapshot: old });
    assert_eq!(node.core.snapshot.revision, Revision(2));
    assert_eq!(node.core.snapshot.caps.len(), 1);
    let old = Arc::clone(&node.table);
    let newer = Arc::new(old.next(&[], &[], &[]));
    node.tell(Event::Adopt { table: newer, is_stored: true });
    node.tell(Event::Adopt { table: old, is_stored: true });
    assert_eq!(node.core.me.epoch, Epoch(2));
}

#[test]
fn a_node_that_is_taken_off_the_table_has_no_right_left() {
    let mut node = Node::start();
    assert!(node.runs());
    let without = Arc::new(node.table.next(&[], &[key()], &[]));
    node.tell(Event::Adopt { table: without, is_stored: false });
    assert!(!node.runs());
}

#[test]
fn every_sign_of_leaving_keeps_new_work_away() {
    let mut node = Node::start();
    node.report(Some(Report { draining: true, ..Report::default() }));
    assert!(!node.runs(), "its own report");
    node.report(Some(Report::default()));
    assert!(node.runs());
    for listed in [Some(vms::State::Leaving), None] {
        let other = ([10, 0, 9, 9].into(), vms::State::Live);
        let this = listed.map(|state| ([10, 0, 1, 1].into(), state));
        let list = vms::List { vms: this.into_iter().chain([other]).collect() };
        node.tell(Event::Vms { list });
        assert!(!node.runs(), "the VM list: {listed:?}");
    }
    node.tell(Event::Vms { list: vms::List::default() });
    assert!(node.runs());
    let time = |after| humantime::format_rfc3339(node.wall + Duration::from_secs(after));
    let drain =
        format!("name: plan\ntarget: {{ hall: h1 }}\nstart: {}\nend: {}\n", time(5), time(20));
    // The only hall there is may not be drained, so the rule is passed by with a second one.
    let second = SERVICE.replace(
        "upstreams:\n",
        "upstreams:\n  - { name: two, region: there, hall: \
                                                  h2, address: \"10.0.1.2:80\", slots: 4 }\n",
    );
    let snapshot = put(&node.snapshot, Kind::Service, &second, node.wall);
    let snapshot = put(&snapshot, Kind::Drain, &drain, node.wall);
    node.tell(Event::Configure { snapshot });
    assert!(node.runs(), "before the start");
    node.tick(Duration::from_secs(6));
    assert!(!node.runs(), "within the drain");
    node.tick(Duration::from_secs(15));
    node.tell(Event::Done { request: Id(2), outcome: Outcome::Answered });
    assert!(node.runs(), "after the end");
}

#[test]
fn probes_that_stop_lower_trust_and_good_ones_never_raise_it() {
    let mut node = Node::start();
    for _ in 0..3 {
        node.report(None);
    }
    assert!(!node.runs(), "three probes were missed");
    node.report(Some(Report { slots: Some(2), ..Report::default() }));
    assert_eq!((0..6).filter(|_| node.runs()).count(), 2, "it offers fewer slots");
    node.report(Some(Report { slots: Some(100), ..Report::default() }));
    assert_eq!((0..6).filter(|_| node.runs()).count(), 2, "it has four, whatever it claims");
}

#[test]
fn an_upstream_that_says_that_it_leaves_gets_no_new_work_until_it_starts_again() {
    let mut node = Node::start();
    let up = |uptime_ms| Some(Report { uptime_ms: Some(uptime_ms), ..Report::default() });
    node.report(up(5_000));
    assert!(node.runs());
    node.tell(Event::Done { request: Id(1), outcome: Outcome::Answered });
    node.hear(Statement { leaving: leaving::Field::Leaving, ..Statement::default() });
    assert!(!node.runs());
    node.hear(Statement::default());
    node.report(up(6_000));
    assert!(!node.runs(), "the same process");
    node.report(up(10));
    assert!(node.runs(), "another one");
}

#[test]
fn an_upstream_that_asks_for_rest_gets_it() {
    let mut node = Node::start();
    let rests = |seconds| Statement {
        rest: rest::Field::Rest(Duration::from_secs(seconds)),
        ..Statement::default()
    };
    node.hear(rests(3));
    node.hear(rests(1));
    node.tick(Duration::from_millis(2_900));
    assert!(!node.runs());
    node.tick(Duration::from_millis(100));
    assert!(node.runs());
}
