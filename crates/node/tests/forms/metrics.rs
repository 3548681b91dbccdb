//! What a gateway shows to operators: metrics and the state dump.

use std::collections;
use std::time::Duration;

use node::gateway::control;
use node::gateway::metrics;
use serde_json::Value;

use crate::client;
use crate::fixture;
use crate::rig;
use crate::store;

#[test]
fn metrics_as_text() {
    let metrics = metrics::Metrics::default();
    metrics.requests.add(3);
    metrics.latency.record(Duration::from_millis(20));
    fixture::assert_is("metrics.txt", metrics.text().as_bytes());
}

/// Returns every path of keys in `value`; the elements of a list share one.
fn keys(value: &Value, path: &str, found: &mut collections::BTreeSet<String>) {
    match value {
        Value::Object(fields) => {
            for (key, value) in fields {
                let path = format!("{path}.{key}");
                found.insert(path.clone());
                keys(value, &path, found);
            }
        }
        Value::Array(elements) => {
            elements.iter().for_each(|e| keys(e, &format!("{path}[]"), found))
        }
        _ => {}
    }
}

#[tokio::test]
async fn a_gateway_s_metrics_and_dump() {
    assert_eq!((control::METRICS, control::DUMP), ("/metrics", "/dump"));
    let rig = rig::Rig::start(&rig::routes()).await;
    let _desk = rig.upstream("i-0", "desk", "north-1").await;
    let door = store::open(&rig).await;
    let gateway = rig.gateway("n-1", "north-1", &door).await;
    assert_eq!(gateway.caller().await.get("/read/a", "id").await.status, 200);
    let mut client = client::Client::connect(gateway.peers).await;
    client.write(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let answer = client.read().await;
    assert_eq!(answer.header("content-type"), Some("text/plain; version=0.0.4"));
    assert_eq!(
        names(&answer.text()),
        names(&String::from_utf8_lossy(&fixture::read("metrics.txt")))
    );
    client.write(b"GET /dump HTTP/1.1\r\nHost: a\r\n\r\n").await;
    let answer = client.read().await;
    assert_eq!(answer.header("content-type"), Some("application/json"));
    let dump: Value = serde_json::from_slice(&answer.body).expect("JSON");
    let mut found = collections::BTreeSet::new();
    keys(&dump, "", &mut found);
    let lines: String = found.iter().map(|path| format!("{path}\n")).collect();
    fixture::assert_is("dump-keys.txt", lines.as_bytes());
    assert_eq!((&dump["me"]["node"], &dump["upstreams"][0]["id"]), (&"n-1".into(), &"i-0".into()));
    assert_eq!(dump["splits"][0]["millionths"], serde_json::json!({ "north": 1_000_000 }));
}

/// Returns the names and types of metrics, without their values.
fn names(text: &str) -> Vec<&str> {
    let is_type = |line: &str| line.starts_with('#');
    let name =
        |line| if is_type(line) { line } else { line.rsplit_once(' ').map_or(line, |l| l.0) };
    text.lines().map(name).collect()
}
