//! What a request costs through nodes, against the same request sent to the upstream itself.
//!
//! It stays because it measures nodes that own upstreams, one hop and a look-up; the users' bench
//! measures the price of a request through a gateway. It owns the two nodes and the requests; it
//! relies on the stand-ins for the store, the upstream and the client.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Request, Response};
use http_body_util::Full;
use model::change;
use model::id;
use model::resource;
use model::service;
use model::upstream;
use node::common::logging;
use node::owner::operators::access;
use node::owner::settings;
use standin::{client, record, store};

use crate::output;

/// Requests of each kind; not measured.
const REQUESTS: usize = 4_000;

/// Requests before anything is measured; not measured.
const WARM_UP: usize = 400;

/// Time that the upstream works on a request: none, so that the figures are the nodes' own.
const WORK: Duration = Duration::ZERO;

/// Slots of the upstream; more than the one request in flight.
const SLOTS: u32 = 6;

/// Connections of the upstream; more than both nodes open.
const CONNECTIONS: u32 = 100;

/// Longest wait for the nodes to be ready; not measured.
const START_TIME: Duration = Duration::from_secs(20);

/// Time between two checks that the nodes are ready; not measured.
const CHECK_EVERY: Duration = Duration::from_millis(50);

const HOST: &str = "cost.example";
const TOKEN: &str = "cost";

const TEXT: &str = "# Cost of a request\n\n\
    Regenerate with `cargo run --release -p yokespoke-bench -- cost --out docs/measurements`.\n\n\
    One caller sends requests one after another over kept connections, in turn to the upstream \
    itself, through the node that is its home, through another node of the region, and as a \
    look-up. All are in one process on loopback, and the upstream answers at once, so that the \
    figures are the nodes' own cost. The ratios are of one run; the times are of the machine that \
    ran it.";

/// A way of asking.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Way {
    Direct,
    Owner,
    Hop,
    Lookup,
}

impl Way {
    const ALL: [Self; 4] = [Self::Direct, Self::Owner, Self::Hop, Self::Lookup];

    fn name(self) -> &'static str {
        match self {
            Self::Direct => "upstream itself",
            Self::Owner => "through its home",
            Self::Hop => "through another node",
            Self::Lookup => "look-up",
        }
    }
}

/// Measures requests of every way through two nodes.
///
/// # Errors
///
/// Fails when the nodes do not start.
pub fn run() -> anyhow::Result<output::Output> {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build()?;
    runtime.block_on(measure())
}

async fn measure() -> anyhow::Result<output::Output> {
    let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    let store = store::Store::start(any).await?;
    let record = sync::Arc::new(record::Record::default());
    let started = standin::upstream::Upstream::start(any, spec(), record).await?;
    let first = node::owner::node::Node::start(&settings("cost-1", store.address, &[]))?;
    let seeds = [first.listen.peers];
    let second = node::owner::node::Node::start(&settings("cost-2", store.address, &seeds))?;
    let nodes = [first, second];
    wait(&nodes, false).await?;
    declare(&nodes[0], started.address).await?;
    wait(&nodes, true).await?;
    let mut is_owner = Vec::new();
    for node in &nodes {
        let leads = node.handle().look(|state| {
            let me = &state.core.me.key;
            let mut upstreams = state.core.owner.upstreams.values();
            upstreams.any(|u| u.ledger.allotment.owner() == Some(me))
        });
        is_owner.push(leads.await == Some(true));
    }
    let owner = usize::from(!is_owner[0]);
    let addresses = Addresses {
        upstream: started.address,
        owner: nodes[owner].listen.callers,
        other: nodes[1 - owner].listen.callers,
    };
    let result = ask_all(&addresses).await?;
    for node in nodes {
        tokio::task::spawn_blocking(move || node.kill()).await?;
    }
    Ok(result)
}

/// Where each way's requests are sent.
struct Addresses {
    upstream: net::SocketAddr,
    owner: net::SocketAddr,
    other: net::SocketAddr,
}

async fn ask_all(addresses: &Addresses) -> anyhow::Result<output::Output> {
    let http = client::Client::new(None);
    let mut times = Vec::new();
    for _ in Way::ALL {
        times.push(Histogram::<u64>::new_with_bounds(1, 60_000_000_000, 3)?);
    }
    for number in 0..WARM_UP + REQUESTS {
        for (way, histogram) in Way::ALL.into_iter().zip(&mut times) {
            let began = Instant::now();
            let response = ask(&http, way, addresses).await?;
            let nanos = u64::try_from(began.elapsed().as_nanos())?;
            anyhow::ensure!(response.status().is_success(), "{way:?}: {response:?}");
            if number >= WARM_UP {
                histogram.saturating_record(nanos);
            }
        }
    }
    Ok(output::Output {
        name: "cost",
        text: TEXT.to_owned(),
        tables: vec![table(&times)],
        plots: Vec::new(),
    })
}

/// Returns the table of the times in nanoseconds, one histogram for each way in order.
fn table(times: &[Histogram<u64>]) -> output::Table {
    let direct = &times[0];
    let row = |(way, histogram): (Way, &Histogram<u64>)| {
        let at = |h: &Histogram<u64>, quantile: f64| {
            Duration::from_nanos(h.value_at_quantile(quantile)).as_secs_f64() * 1e6
        };
        let ratio = |quantile| at(histogram, quantile) / at(direct, quantile);
        vec![
            way.name().to_owned(),
            format!("{:.0}", at(histogram, 0.5)),
            format!("{:.0}", at(histogram, 0.99)),
            format!("{:.2}", ratio(0.5)),
            format!("{:.2}", ratio(0.99)),
        ]
    };
    let columns = ["way", "p50 µs", "p99 µs", "p50 / direct", "p99 / direct"];
    output::Table {
        title: "Time of a request".to_owned(),
        columns: columns.map(str::to_owned).to_vec(),
        rows: Way::ALL.into_iter().zip(times).map(row).collect(),
    }
}

async fn ask(
    http: &client::Client,
    way: Way,
    addresses: &Addresses,
) -> anyhow::Result<Response<Bytes>> {
    let (address, path) = match way {
        Way::Direct => (addresses.upstream, "/search"),
        Way::Owner => (addresses.owner, "/search"),
        Way::Hop => (addresses.other, "/search"),
        Way::Lookup => (addresses.owner, "/yokespoke/v1/lookup?service=cost"),
    };
    let request = Request::get(format!("http://{address}{path}"))
        .header("host", HOST)
        .header("x-answer-bytes", "1000")
        .body(Full::default())?;
    http.send(request).await
}

fn spec() -> standin::upstream::Spec {
    standin::upstream::Spec {
        service: "cost".to_owned(),
        name: "cost-1".to_owned(),
        region: "here".to_owned(),
        hall: "here-1".to_owned(),
        slots: SLOTS,
        connections: CONNECTIONS,
        time: WORK,
        cold_factor: 1.0,
        report_lag: Duration::from_millis(500),
    }
}

fn settings(name: &str, store: net::SocketAddr, seeds: &[net::SocketAddr]) -> settings::Settings {
    let at = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
    settings::Settings {
        node: id::Node::new(name),
        region: id::Region::new("here"),
        hall: id::Hall::new("here-1"),
        listen: settings::Listen { callers: at, operators: at, peers: at },
        seeds: seeds.to_vec(),
        store,
        vms: None,
        operators: vec![settings::Operator {
            name: "bench".to_owned(),
            token_sha256: access::hash(TOKEN),
            may: settings::May::Write,
        }],
        limits: settings::Limits::default(),
        log: logging::Level::Error,
    }
}

async fn declare(node: &node::owner::node::Node, address: net::SocketAddr) -> anyhow::Result<()> {
    let upstream = upstream::Upstream {
        name: id::Upstream::new("cost-1"),
        region: id::Region::new("here"),
        hall: id::Hall::new("here-1"),
        address,
        slots: SLOTS,
        connections: CONNECTIONS,
    };
    let service = service::Service {
        name: id::Service::new("cost"),
        host: HOST.to_owned(),
        deadline: Duration::from_secs(5),
        hold: Duration::from_millis(500),
        repeatable: Vec::new(),
        once: Vec::new(),
        shed: Vec::new(),
        report: None,
        upstreams: vec![upstream],
    };
    let resource = resource::Resource::Service(service);
    let steps = vec![change::Step::Put { resource }];
    let change = change::Change { operation: "cost".to_owned(), expected: None, steps };
    let request = Request::post(format!("http://{}/v1/changes", node.listen.operators))
        .header("authorization", format!("Bearer {TOKEN}"))
        .body(Full::new(Bytes::from(serde_json::to_vec(&change)?)))?;
    let response = client::Client::new(None).send(request).await?;
    anyhow::ensure!(response.status().is_success(), "{response:?}");
    Ok(())
}

/// Waits until both nodes list both, and, once declared, until the owner has all slots.
async fn wait(nodes: &[node::owner::node::Node; 2], is_declared: bool) -> anyhow::Result<()> {
    let began = Instant::now();
    loop {
        let mut slots = 0;
        let mut listed = 0;
        for node in nodes {
            let looked = node.handle().look(|state| {
                let core = state.core;
                let table = core.tables.get(&core.me.region);
                let upstreams = core.owner.upstreams.values();
                let led = upstreams.filter(|u| u.ledger.allotment.owner() == Some(&core.me.key));
                let slots: u32 = led.map(|u| u.ledger.capacity(state.now)).sum();
                (table.map_or(0, |t| t.listed.len()), slots, core.is_ready(state.now))
            });
            // A node that does not answer counts as not ready, and the wait goes on.
            let (known, usable, is_ready) = looked.await.unwrap_or_default();
            listed += known;
            slots += if is_ready { usable } else { 0 };
        }
        if listed == nodes.len() * nodes.len() && (!is_declared || slots == SLOTS) {
            return Ok(());
        }
        anyhow::ensure!(began.elapsed() < START_TIME, "the nodes are not ready");
        tokio::time::sleep(CHECK_EVERY).await;
    }
}
