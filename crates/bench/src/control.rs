//! Cost of control at one gateway in fleets of 300 to 16,000 gateways and 1,000 to 100,000 upstreams.
//!
//! It stays because the users' bench charges a process as a whole, and a day with a thousand
//! gateways takes a quarter of an hour: this names the parts that every gateway pays whether it
//! takes requests or not, and shows how each grows. It owns the fleet's entries; it relies on the
//! state of a real gateway, without its sockets and tasks.

use std::hint;
use std::net;
use std::time::{Duration, Instant};

use model::{discovery, id};
use node::gateway::state::{self, update};
use node::gateway::{datagram, extracts, member, settings};
use platform::store::item;
use platform::{fact, upstream};
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::repair;

use crate::output;

/// Numbers of other gateways and of upstreams.
const SIZES: [(usize, usize); 6] = [
    (300, 10_000),
    (1_000, 10_000),
    (5_000, 10_000),
    (16_000, 10_000),
    (1_000, 1_000),
    (1_000, 100_000),
];

/// Regions over which both are spread.
const REGIONS: usize = 3;

/// Repetitions of each part, whose median is shown.
const ROUNDS: usize = 101;

/// Repetitions for whole copies.
const COPIES: usize = 5;

const TEXT: &str = "# Cost of a gateway's control\n\n\
    Regenerate with `cargo run --release -p yokespoke-bench -- control --out docs/measurements`.\n\n\
    One gateway that knows the named number of others and of upstreams, both in three regions, without input or output. A heartbeat \
    is one that is read, compared and recorded; members is what a change of membership or a second of time costs; a change is one \
    upstream that the store lists anew, from the merge until it is in force; an extract is what a node one change behind is sent; \
    a report is the collection of the requests in flight here; a copy is made for a node that starts, and taken in by it. Medians, in microseconds of the machine that ran it.";

/// Measures the control of a gateway in fleets of several sizes.
///
/// # Errors
///
/// Fails when the settings of the gateway cannot be read, which would be a bug.
pub fn run() -> anyhow::Result<output::Output> {
    let mut rows = Vec::new();
    for (nodes, upstreams) in SIZES {
        let mut fleet = Fleet::new(nodes, upstreams)?;
        let times = [
            median(|round| fleet.heartbeat(round)),
            median(|_| fleet.state.update_nodes()),
            median(|_| fleet.state.tick(Instant::now())),
            median(|round| fleet.change(round)),
            median(|_| fleet.extract()),
            median(|_| fleet.report()),
            median(|_| fleet.look_up()),
            median_of(COPIES, |_| _ = fleet.copy_out()),
            fleet.copy_in(),
        ];
        let times = times.map(|time| format!("{:.1}", time.as_secs_f64() * 1e6));
        rows.push([vec![nodes.to_string(), upstreams.to_string()], times.to_vec()].concat());
    }
    let columns = [
        "gateways",
        "upstreams",
        "heartbeat µs",
        "members µs",
        "tick µs",
        "change µs",
        "extract µs",
        "report µs",
        "look-up µs",
        "copy out µs",
        "copy in µs",
    ];
    let columns = columns.map(str::to_owned).to_vec();
    let table = output::Table { title: "Time of a gateway".to_owned(), columns, rows };
    Ok(output::Output {
        name: "control",
        text: TEXT.to_owned(),
        tables: vec![table],
        plots: Vec::new(),
    })
}

/// Returns the median duration of `measured` over all repetitions.
fn median(measured: impl FnMut(usize)) -> Duration {
    median_of(ROUNDS, measured)
}

fn median_of(rounds: usize, mut measured: impl FnMut(usize)) -> Duration {
    let time = |round| {
        let began = Instant::now();
        measured(round);
        began.elapsed()
    };
    let mut times: Vec<Duration> = (0..rounds).map(time).collect();
    times.sort_unstable();
    times[rounds / 2]
}

/// A gateway that knows its fleet.
struct Fleet {
    state: state::State,
    nodes: usize,
    upstreams: usize,
    revision: u64,
    sequence: u64,
}

impl Fleet {
    fn new(nodes: usize, upstreams: usize) -> anyhow::Result<Self> {
        let state = state::State::new(gateway_settings()?, 1);
        let entries = (0..upstreams).map(|number| item(&entry(number), 2));
        let registered = (0..nodes).map(|number| item::Item {
            key: fact::node_key(&node(number).node),
            value: serde_json::to_vec(&node(number)).unwrap_or_default(),
            revision: 1,
            is_removed: false,
            lease: 0,
            era: 0,
        });
        let mut items: Vec<item::Item> = entries.chain(registered).collect();
        items.sort_by(|a, b| a.key.cmp(&b.key));
        let page = item::Page { items, at: 2, ..item::Page::default() };
        state.apply(update::Source::Store, |replica| replica.replace(page));
        for number in (0..nodes).step_by(REGIONS) {
            state.members.borrow_mut().record(node(number), Instant::now());
        }
        state.update_nodes();
        Ok(Self { state, nodes, upstreams, revision: 2, sequence: 1 })
    }

    fn heartbeat(&mut self, round: usize) {
        self.sequence += 1;
        let sender = node(round * REGIONS % self.nodes);
        let bytes = datagram::write(&member::Member { sequence: self.sequence, ..sender });
        let sender = datagram::read(&bytes).expect("it was written so");
        let digest = self.state.dispatcher.borrow().leaving_digest();
        hint::black_box(digest == sender.leavings);
        self.state.members.borrow_mut().record(sender, Instant::now());
    }

    fn change(&mut self, round: usize) {
        self.revision += 1;
        let changed = discovery::Entry { slots: 7, ..entry(round * 13 % self.upstreams) };
        let items = vec![item(&changed, self.revision)];
        let page = item::Page { items, at: self.revision, ..item::Page::default() };
        self.state.apply(update::Source::NearPeer, |replica| replica.merge(page));
    }

    fn extract(&self) {
        let replica = self.state.replica.borrow();
        let at = replica.at();
        let after = platform::store::position::Position::new(at.era, at.revision - 1);
        hint::black_box(replica.extract(after));
    }

    fn copy_out(&self) -> Vec<u8> {
        let replica = self.state.replica.borrow();
        let extract = replica.extract(platform::store::position::Position::default());
        extracts::encode(&extract).expect("an extract is encoded")
    }

    /// Returns the time in which another gateway that starts takes a whole copy in and puts it into force.
    fn copy_in(&self) -> Duration {
        let bytes = self.copy_out();
        median_of(COPIES, |_| {
            let started = state::State::new(gateway_settings().expect("they are valid"), 2);
            let extract = extracts::decode(&bytes).expect("it was encoded so");
            started.apply(update::Source::NearPeer, |replica| replica.merge_extract(extract));
        })
    }

    fn report(&self) {
        hint::black_box(self.state.dispatcher.borrow_mut().in_flight());
    }

    fn look_up(&self) {
        let members = self.state.members.borrow();
        hint::black_box(members.active(&self.state.me.borrow(), Instant::now()).len());
    }
}

fn gateway_settings() -> anyhow::Result<settings::Settings> {
    let halls: serde_json::Map<String, serde_json::Value> =
        (0..REGIONS).map(|number| (hall(number), region(number).into())).collect();
    let address = "127.0.0.1:1";
    let listen = serde_json::json!({
        "callers": address, "ready": address, "directory": address, "peers": address,
    });
    let settings = serde_json::json!({
        "role": "gateway", "node": "n", "region": region(0), "hall": hall(0), "halls": halls,
        "listen": listen, "store": address,
    });
    Ok(serde_json::from_value(settings)?)
}

fn hall(number: usize) -> String {
    format!("h-{}", number % REGIONS)
}

fn region(number: usize) -> String {
    format!("r-{}", number % REGIONS)
}

fn node(number: usize) -> member::Member {
    let port = 1_000 + u16::try_from(number).unwrap_or(u16::MAX);
    let address = net::SocketAddr::from(([10, 0, 0, 1], port));
    member::Member {
        node: id::Node::new(&format!("front-{}-{number}", hall(number))),
        incarnation: 1,
        sequence: 1,
        region: id::Region::new(&region(number)),
        hall: id::Hall::new(&hall(number)),
        callers: address,
        peers: address,
        is_ready: true,
        is_leaving: false,
        is_store_reached: false,
        at: 2,
        era: 0,
        capacity: 100,
        requests: 0,
        leavings: repair::Digest::default(),
        fleet: None,
        connectivity: report::Report::default(),
        copy: None,
    }
}

fn entry(number: usize) -> discovery::Entry {
    discovery::Entry {
        id: id::Upstream::new(&format!("i-{number:010x}")),
        service: id::Service::new(&format!("desk-{}", number % 3)),
        address: net::SocketAddr::from(([10, 1, 0, 1], 80)),
        hall: id::Hall::new(&hall(number / 3)),
        version: None,
        slots: 5,
        state: discovery::State::Ready,
        cold_left: Duration::ZERO,
        born: 1,
    }
}

fn item(entry: &discovery::Entry, revision: u64) -> item::Item {
    item::Item {
        key: format!("{}{}", fact::UPSTREAMS, entry.id),
        value: upstream::write(entry),
        revision,
        is_removed: false,
        lease: 0,
        era: 0,
    }
}
