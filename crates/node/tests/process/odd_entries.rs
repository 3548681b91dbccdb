//! Odd values that other writers leave in the store, in the list of VMs and in upstreams' reports.

use std::net;
use std::sync;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper_util::client::legacy;
use hyper_util::rt;
use model::snapshot;
use model::table;
use node::owner::probes;
use node::owner::store::vmlist;
use quickcheck::{Arbitrary as _, Gen};
use serde_json::{Value, json};
use standin::{raw, store};

use crate::odd;
use crate::rig;

/// Seeds that CI plays.
const SEEDS: [u64; 2] = [83_001, 83_002];

/// Values that are written in one deployment.
const VALUES: usize = 40;

/// Values after which the nodes are looked at.
const BATCH: usize = 10;

/// Size of drawn collections.
const DRAW_SIZE: usize = 40;

/// Time in which an accepted configuration is in force.
const IN_FORCE: Duration = Duration::from_secs(8);

/// Time in which calls to the store are counted.
const COUNTED: Duration = Duration::from_secs(3);

/// Most calls to the store in that time, where a value cannot be read: several a second by each of two processes.
const MOST_CALLS: u64 = 30;

/// Key of the configuration.
const CONFIG: &str = "config";

/// Key of the table of the nodes' region.
const TABLE: &str = "table/dakar";

/// Returns a value of the store.
async fn get(rig: &rig::Rig, key: &str) -> Response<Bytes> {
    let uri = format!("http://{}/kv/{key}", rig.store.address);
    let request = Request::get(uri).body(Full::default()).expect("the request is valid");
    rig.http.send(request).await.expect("the store answers")
}

/// Replaces a value of the store.
async fn put(rig: &rig::Rig, key: &str, value: Vec<u8>) {
    loop {
        let standing = get(rig, key).await;
        let revision =
            standing.headers().get("x-revision").map_or("0", |r| r.to_str().expect("text"));
        let uri = format!("http://{}/kv/{key}?expect={revision}", rig.store.address);
        let body = Full::new(Bytes::from(value.clone()));
        let request = Request::put(uri).body(body).expect("the request is valid");
        // Nodes write their tables meanwhile.
        if rig.http.send(request).await.expect("the store answers").status() == 200 {
            return;
        }
    }
}

/// Returns the configuration with another revision.
fn with_revision(config: &Value, revision: u64) -> Value {
    let mut next = config.clone();
    next["revision"] = revision.into();
    next
}

/// Checks that all nodes live, serve requests, and put the next configuration into force.
async fn check(rig: &mut rig::Rig, config: &Value, revision: u64, written: &[String]) {
    put(rig, CONFIG, with_revision(config, revision).to_string().into_bytes()).await;
    let written_at = Instant::now();
    for (name, node) in &mut rig.nodes {
        let ended = node.child.try_wait().expect("it is this process's child");
        assert_eq!(ended, None, "{name} ended after {written:?}");
    }
    let names: Vec<String> = rig.nodes.keys().cloned().collect();
    for name in names {
        while rig.state(&rig.nodes[&name]).await["revision"] != revision {
            assert!(written_at.elapsed() < IN_FORCE, "{name} after {written:?}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        let id = format!("{name}-{revision}");
        let answer = rig.get(&name, &id, 50).await.expect("the node answers");
        assert!(rig::is_whole(&id, 50, &answer), "{answer:?} of {name} after {written:?}");
    }
}

async fn play(seed: u64) {
    let mut draw = Gen::from_size_and_seed(DRAW_SIZE, seed);
    let mut rig = rig::Rig::start(&["dakar"], 2).await;
    let config: Value = serde_json::from_slice(get(&rig, CONFIG).await.body()).expect("JSON");
    let mut revision = config["revision"].as_u64().expect("a number");
    let mut written = Vec::new();
    for number in 0..VALUES {
        let value = odd::value(&mut draw, &with_revision(&config, revision));
        // Configurations are told from each other by their revisions, which rise.
        let parsed = serde_json::from_slice::<snapshot::Snapshot>(&value);
        if !parsed.is_ok_and(|snapshot| snapshot.revision.0 > revision) {
            written.push(odd::beginning(&value));
            put(&rig, CONFIG, value).await;
        }
        if bool::arbitrary(&mut draw) {
            let value = odd::value(&mut draw, &json!({ "a": 1 }));
            put(&rig, &format!("odd/{number}"), value).await;
        }
        // Only nodes write tables, each for the epoch after the last; what can be read would be one.
        let table = get(&rig, TABLE).await;
        let table = serde_json::from_slice::<Value>(table.body()).unwrap_or(Value::Null);
        let value = odd::value(&mut draw, &table);
        if serde_json::from_slice::<table::Table>(&value).is_err() {
            written.push(format!("{TABLE} = {}", odd::beginning(&value)));
            put(&rig, TABLE, value).await;
        }
        if number % BATCH == BATCH - 1 {
            revision += 1;
            check(&mut rig, &config, revision, &written).await;
        }
    }
}

/// Guards against a value that ends each node that reads it, or keeps it from what is written later.
#[tokio::test(flavor = "multi_thread")]
async fn lost_odd_values_in_the_store_end_no_owner() {
    let seed = std::env::var("YOKESPOKE_SEED").ok().and_then(|seed| seed.parse().ok());
    let count = std::env::var("YOKESPOKE_SEEDS").ok().and_then(|count| count.parse().ok());
    let seeds = match seed {
        Some(first) => (first..first + count.unwrap_or(1)).collect(),
        None => SEEDS.to_vec(),
    };
    for seed in seeds {
        println!("seed {seed}");
        play(seed).await;
    }
}

/// Guards against calling the store without a pause as long as the value cannot be read.
#[tokio::test(flavor = "multi_thread")]
async fn a_configuration_that_cannot_be_read_is_not_asked_for_again_and_again() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let gateway = rig.start_gateway("dakar", "dakar-1");
    put(&rig, CONFIG, b"odd".to_vec()).await;
    tokio::time::sleep(COUNTED).await;
    let calls = |counters: store::Counters| counters.gets + counters.waits;
    let before = calls(rig.store.counters());
    tokio::time::sleep(COUNTED).await;
    let made = calls(rig.store.counters()) - before;
    assert!(made <= MOST_CALLS, "{made} calls in {COUNTED:?}");
    let lines = gateway.events("item-malformed").len();
    assert_eq!(lines, 1, "it is logged once");
}

/// Guards against a configuration that is missed because the store's answer was cut short.
#[tokio::test(flavor = "multi_thread")]
async fn config_a_value_that_was_cut_short_is_read_again() {
    let mut rig = rig::Rig::start(&["dakar"], 1).await;
    let config: Value = serde_json::from_slice(get(&rig, CONFIG).await.body()).expect("JSON");
    let revision = config["revision"].as_u64().expect("a number") + 1;
    rig.store.faults.cut_values(1);
    check(&mut rig, &config, revision, &[]).await;
    assert_eq!(rig.store.faults.values_to_cut(), 0);
}

/// Guards against the same at a gateway that follows the declarations.
#[tokio::test(flavor = "multi_thread")]
async fn config_a_gateway_reads_a_value_again_that_was_cut_short() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let gateway = rig.start_gateway("dakar", "dakar-1");
    let config: Value = serde_json::from_slice(get(&rig, CONFIG).await.body()).expect("JSON");
    let revision = config["revision"].as_u64().expect("a number") + 1;
    // One for the node, which follows it too.
    rig.store.faults.cut_values(2);
    put(&rig, CONFIG, with_revision(&config, revision).to_string().into_bytes()).await;
    let written_at = Instant::now();
    let is_in_force = async |_: &rig::Rig| {
        let events = gateway.events("config-adopted");
        events.iter().any(|event| event["version"] == revision.to_string())
    };
    rig.wait("it is in force", is_in_force).await;
    assert!(written_at.elapsed() < IN_FORCE, "{:?}", written_at.elapsed());
}

/// Guards against a list or a report that ends its reader.
#[tokio::test(flavor = "multi_thread")]
async fn odd_lists_of_vms_and_reports_end_no_reader() {
    let draw = sync::Mutex::new(Gen::from_size_and_seed(DRAW_SIZE, SEEDS[0]));
    let server = raw::Server::start(net::Ipv4Addr::LOCALHOST, move |request| {
        let sound = match request.target() {
            "/vms" => json!({ "vms": { "127.0.0.1": "live", "127.0.0.2": "leaving" } }),
            _ => json!({ "draining": false, "in_flight": 0, "slots": 4, "uptime_ms": 1 }),
        };
        let body = odd::value(&mut draw.lock().expect("no panic"), &sound);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        raw::Answer { bytes: [head.into_bytes(), body].concat(), end: raw::End::Open }
    });
    let server = server.await.expect("the server starts");
    let http: vmlist::Client = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let reports: probes::Http = legacy::Client::builder(rt::TokioExecutor::new()).build_http();
    let mut read = (0, 0);
    for _ in 0..500 {
        read.0 += usize::from(vmlist::read(&http, server.address).await.is_ok());
        let report = probes::probe(&reports, server.address, "/report").await;
        read.1 += usize::from(report.is_some());
    }
    println!("{read:?} of 500 could be read");
}
