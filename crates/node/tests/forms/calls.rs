//! Calls to the two stores: methods, paths, bodies, and what answers mean.

use std::io::{BufRead as _, BufReader};
use std::process;
use std::sync;
use std::time::Duration;

use axum::response::Response;
use bytes::Bytes;
use model::table;
use node::common::store::client as own;
use node::common::store::edge::{self, Store as _};
use node::gateway::member;
use platform::store::{client, error, item, lease};

use crate::fixture;
use crate::recorder::{self, answer};
use crate::rig;

/// Time for a call's answer.
const CALL_TIME: Duration = Duration::from_secs(5);

/// Time for which a watch is held here, so that it is not asked again at once.
const HOLD: Duration = Duration::from_millis(200);

fn platform_answers(_: &str, path: &str, body: &[u8]) -> Response {
    let json = [("content-type", "application/json")];
    match path {
        "/yokespoke/kv-range" => {
            let item = r#"{"key":"a","value":"YQ==","revision":3}"#;
            answer(200, &json, &format!(r#"{{"items":[{item}],"more":false,"at":4}}"#))
        }
        "/yokespoke/kv-watch" => {
            std::thread::sleep(HOLD);
            let item = r#"{"key":"a","revision":5,"gone":true}"#;
            answer(200, &json, &format!(r#"{{"events":[{item}],"at":5}}"#))
        }
        "/yokespoke/kv-txn" if body.escape_ascii().to_string().contains("taken") => {
            let item = r#"{"key":"taken","value":"YQ==","revision":3}"#;
            answer(412, &json, &format!(r#"{{"items":[{item}]}}"#))
        }
        "/yokespoke/kv-txn" => answer(200, &json, r#"{"revision":6}"#),
        "/yokespoke/kv-lease" => answer(200, &json, r#"{"lease":7,"ttl_time":"12000ms"}"#),
        "/yokespoke/kv-keep/8" => answer(404, &[], ""),
        "/yokespoke/kv-keep/9" => answer(503, &[], ""),
        _ => answer(200, &json, "{}"),
    }
}

fn write_of(key: &str) -> item::Write {
    item::Write {
        expected_rev: vec![item::Expected { key: key.to_owned(), revision: 2 }],
        put: vec![item::Put { key: key.to_owned(), value: b"node-1".to_vec(), lease: 7 }],
        remove: vec!["gone".to_owned()],
    }
}

#[tokio::test]
async fn calls_to_the_platform_s_store() {
    let store = recorder::Recorder::start(platform_answers).await;
    let client = client::Client::new(store.address);
    let item = |key: &str, value: &[u8], revision, is_removed| item::Item {
        key: key.to_owned(),
        value: value.to_vec(),
        revision,
        is_removed,
        lease: 0,
        era: 0,
    };
    let page = client.range("a b/", client::Freshness::Latest, CALL_TIME).await.expect("a page");
    assert_eq!((page.items, page.at), (vec![item("a", b"a", 3, false)], 4));
    let page = client.watch("", 4, Duration::from_secs(20), CALL_TIME).await.expect("a page");
    assert_eq!((page.items, page.at), (vec![item("a", b"", 5, true)], 5));
    assert_eq!(client.write(&write_of("free"), CALL_TIME).await, Ok(6));
    let conflict = error::Error::Conflict(vec![item("taken", b"a", 3, false)]);
    assert_eq!(client.write(&write_of("taken"), CALL_TIME).await, Err(conflict));
    let held = |number| lease::Held { number, era: 0 };
    assert_eq!(client.lease(Duration::from_secs(12), CALL_TIME).await, Ok(held(7)));
    assert_eq!(client.renew(held(7), CALL_TIME).await, Ok(()));
    assert_eq!(client.renew(held(8), CALL_TIME).await, Err(error::Error::NoLease));
    assert_eq!(client.renew(held(9), CALL_TIME).await, Err(error::Error::Refused(503)));
    assert_eq!(client.end_lease(7, CALL_TIME).await, Ok(()));
    fixture::assert_is("calls-platform.txt", store.transcript().as_bytes());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_gateway_enters_itself_in_the_platform_s_store() {
    let store = recorder::Recorder::start(platform_answers).await;
    let rig = rig::Rig::start(&[]).await;
    let gateway = rig.gateway_at("n-1", "north-1", store.address, &[]).await;
    let find = |path: &str| store.calls().into_iter().find(|call| call.head.contains(path));
    rig::until("it is entered", async || find("kv-txn").is_some()).await;
    let lease = find("kv-lease").expect("a lease was asked for");
    assert_eq!(lease.head, "POST /yokespoke/kv-lease application/json");
    assert_eq!(lease.body, br#"{"ttl_time":"12000ms"}"#);
    let range = find("kv-range").expect("the store was read");
    assert_eq!(range.head, "GET /yokespoke/kv-range?path_prefix=&stale=1 application/json");
    let call = find("kv-txn").expect("an entry was written");
    let write: item::Write = serde_json::from_slice(&call.body).expect("a write");
    let (put, others) = write.put.split_first().expect("an entry");
    assert_eq!((put.key.as_str(), put.lease, others.len()), ("nodes/n-1", 7, 0));
    assert!(write.expected_rev.is_empty() && write.remove.is_empty());
    let entry: member::Member = serde_json::from_slice(&put.value).expect("a member");
    assert_eq!((entry.callers, entry.peers), (gateway.callers, gateway.peers));
    assert_eq!(put.value, serde_json::to_vec(&entry).expect("it can be written"));
}

fn own_answers(method: &str, path: &str, _: &[u8]) -> Response {
    let revision = [("x-revision", "5")];
    match (method, path) {
        ("GET", "/kv/config") => answer(200, &revision, "value"),
        ("GET", "/kv/watched") => answer(304, &[], ""),
        ("GET", "/kv/faulty") => answer(500, &[], ""),
        ("GET", _) => answer(404, &[], ""),
        (_, "/kv/config") => answer(409, &[], ""),
        (_, "/kv/closed") => answer(503, &[], ""),
        (_, "/kv/faulty") => answer(500, &[], ""),
        _ => answer(200, &revision, ""),
    }
}

#[tokio::test]
async fn calls_to_yokespoke_s_own_store() {
    let store = recorder::Recorder::start(own_answers).await;
    let client = own::Client::new(store.address, sync::Arc::default());
    let value = edge::Value { revision: 5, bytes: Bytes::from("value") };
    let wait = Duration::from_secs(25);
    assert_eq!(client.get("config").await, Ok(Some(value.clone())));
    assert_eq!(client.get("table/dakar").await, Ok(None));
    assert_eq!(client.get("faulty").await, Err(edge::Error::Refused));
    assert_eq!(client.next("config", 4, wait).await, Ok(Some(value)));
    assert_eq!(client.next("watched", 5, wait).await, Ok(None));
    let put = |key: &'static str| client.put(key, Bytes::from("{}"), 0);
    assert_eq!(put("table/dakar").await, Ok(edge::Put::Written(5)));
    assert_eq!(put("config").await, Ok(edge::Put::Conflict));
    assert_eq!(put("closed").await, Err(edge::Error::Refused));
    assert_eq!(put("faulty").await, Err(edge::Error::Lost));
    fixture::assert_is("calls-own.txt", store.transcript().as_bytes());
}

/// A process that ends with the test.
struct Process(process::Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn empty_answers(method: &str, _: &str, _: &[u8]) -> Response {
    match method {
        "PUT" => answer(200, &[("x-revision", "5")], ""),
        _ => answer(404, &[], ""),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_node_writes_its_region_s_table() {
    let store = recorder::Recorder::start(empty_answers).await;
    let settings = format!(
        "node: dakar-0\nregion: dakar\nhall: dakar-1\nstore: {}\nlisten:\n  \
         callers: 127.0.0.1:0\n  operators: 127.0.0.1:0\n  peers: 127.0.0.1:0\n",
        store.address
    );
    let folder = tempfile::tempdir().expect("a temporary folder");
    let file = folder.path().join("node.yaml");
    std::fs::write(&file, settings).expect("settings are written");
    let mut command = process::Command::new(env!("CARGO_BIN_EXE_yokespoked"));
    let command = command.arg("--settings").arg(&file).stdout(process::Stdio::piped());
    let mut node = Process(command.spawn().expect("the node starts"));
    let stdout = node.0.stdout.take().expect("standard output is piped");
    std::thread::spawn(move || BufReader::new(stdout).lines().map_while(Result::ok).count());
    let find = |head: &str| store.calls().into_iter().find(|call| call.head == head);
    rig::until("the table is written", async || find("PUT /kv/table/dakar?expect=0 -").is_some())
        .await;
    assert!(find("GET /kv/config -").is_some() && find("GET /kv/table/dakar -").is_some());
    let call = find("PUT /kv/table/dakar?expect=0 -").expect("it was written");
    let table: table::Table = serde_json::from_slice(&call.body).expect("a table");
    assert_eq!((table.epoch.0, table.listed.len()), (1, 1));
    assert_eq!(call.body, serde_json::to_vec(&table).expect("it can be written"));
}
