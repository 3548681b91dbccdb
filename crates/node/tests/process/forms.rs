//! The forms of the resource API, the watch, the dump and the gateway's addresses for operators.
//!
//! What the calls do stands in `api.rs`; the forms of changes, refusals and resources for
//! themselves in the tests of the model.

use std::collections;
use std::net;
use std::path;

use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use model::refusal;
use model::revision;
use node::common::store::accept;
use serde_json::{Value, json};

use crate::rig;

const CAP: &str = r#"{"name": "pace", "service": "catalogue", "share": 10, "window": "10s"}"#;
const PLACE: &str = r#"{"name": "quai", "blocks": ["127.0.0.0/8"],
    "links": [{"region": "dakar", "delay": "3ms"}]}"#;

const ROUTE: &str = r#"{"name": "reads", "host": "find.example", "prefix": "/items/",
    "repetition": "idempotent", "timeout": "3s", "target_latency": "1s",
    "parts": [{"service": "catalogue"}]}"#;

/// Compares a text with a fixture, whole.
fn same(name: &str, text: &str) {
    let file = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/forms").join(name);
    let expected = std::fs::read_to_string(file).expect("the fixture is there");
    assert_eq!(text, expected, "{name}");
}

/// A call of the resource API, and what its answer shows.
struct Call {
    token: &'static str,
    method: &'static str,
    path: &'static str,
    header: (&'static str, &'static str),
    body: &'static str,
}

/// Sorts the keys, whose order depends on how the JSON library was built.
fn sorted(value: Value) -> Value {
    match value {
        Value::Array(items) => items.into_iter().map(sorted).collect(),
        Value::Object(fields) => {
            let fields: collections::BTreeMap<_, _> = fields.into_iter().collect();
            fields.into_iter().map(|(key, inner)| (key, sorted(inner))).collect()
        }
        other => other,
    }
}

const NO_HEADER: (&str, &str) = ("accept", "*/*");

fn call(method: &'static str, path: &'static str, body: &'static str) -> Call {
    Call { token: rig::TOKEN, method, path, header: NO_HEADER, body }
}

impl Call {
    fn with(self, name: &'static str, value: &'static str) -> Self {
        Self { header: (name, value), ..self }
    }

    fn by(self, token: &'static str) -> Self {
        Self { token, ..self }
    }

    /// Makes the call, and returns it with status, type, tag and body.
    async fn transcript(&self, rig: &rig::Rig) -> String {
        let node = rig.nodes.values().next().expect("a node");
        let request = Request::builder()
            .method(self.method)
            .uri(format!("http://{}{}", node.operators, self.path))
            .header("authorization", format!("Bearer {}", self.token))
            .header(self.header.0, self.header.1)
            .body(Full::from(self.body))
            .expect("the request is valid");
        let response = rig.http.send(request).await.expect("the node answers");
        let mut text = format!("{} {}\n{}", self.method, self.path, response.status());
        for name in ["content-type", "etag"] {
            if let Some(value) = response.headers().get(name) {
                text.push_str(&format!("\n{name}: {}", value.to_str().expect("it is text")));
            }
        }
        let body: Value = serde_json::from_slice(response.body()).expect("the body is JSON");
        text + &format!("\n{:#}\n\n", sorted(body))
    }
}

async fn transcript(rig: &rig::Rig, calls: &[Call]) -> String {
    let mut all = String::new();
    for call in calls {
        all.push_str(&call.transcript(rig).await);
        // The standing of what was changed has to be the same at the next call.
        rig.wait("all is in force", async |rig| is_in_force(rig).await).await;
    }
    all
}

async fn is_in_force(rig: &rig::Rig) -> bool {
    let (_, item) = rig.operate("GET", "/v1/services/catalogue", "").await;
    item["in_force"] == true
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_of_the_resource_api() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let mut all = transcript(&rig, &refused()).await;
    all.push_str(&transcript(&rig, &accepted()).await);
    rig.store.faults.set_outage(true);
    let unavailable = [call("PUT", "/v1/caps/pace", CAP)];
    all.push_str(&unavailable[0].transcript(&rig).await);
    same("api.txt", &all);
}

/// Calls that change nothing, at revision 1.
fn refused() -> Vec<Call> {
    vec![
        call("GET", "/v1/caps", "").by("wrong"),
        call("PUT", "/v1/caps/pace", CAP).by(rig::READER),
        call("GET", "/v1/caps", "").by(rig::READER),
        call("GET", "/v1/caps/pace", ""),
        call("GET", "/v1/cakes", ""),
        call("GET", "/v1/cakes/x", ""),
        call("GET", "/v1/operations/never", ""),
        call("PUT", "/v1/caps/other", CAP),
        call("PUT", "/v1/caps/pace", "name: pace\ncolour: blue\n"),
        call("PUT", "/v1/caps/pace", CAP).with("if-match", "1"),
        call("PUT", "/v1/caps/pace", CAP).with("if-match", "\"9\""),
        call("PUT", "/v1/caps/pace", "{name: pace, service: none, share: 1, window: 0s}"),
        call("DELETE", "/v1/caps/pace", ""),
        call("POST", "/v1/changes", r#"{"operation": "", "steps": []}"#),
        call("POST", "/v1/changes", r#"{"operation": "a", "steps": [], "colour": 1}"#),
    ]
}

/// Calls that are accepted one after another, from revision 2 on, and reads of what they made.
fn accepted() -> Vec<Call> {
    const STEPS: &str = r#"{"operation": "both", "expected": 3, "steps": [
        {"step": "delete", "kind": "cap", "name": "pace"},
        {"step": "put", "resource": {"kind": "evacuation", "name": "works", "hall": "dakar-1"}}]}"#;
    vec![
        call("PUT", "/v1/caps/pace", CAP).with("yokespoke-operation", "first"),
        call("GET", "/v1/operations/first", ""),
        call("GET", "/v1/caps/pace", ""),
        call("PUT", "/v1/places/quai", PLACE).with("if-match", "\"2\""),
        call("GET", "/v1/places", ""),
        call("POST", "/v1/changes", STEPS),
        call("GET", "/v1/evacuations", ""),
        call("DELETE", "/v1/evacuations/works", ""),
        call("GET", "/v1/evacuations", ""),
    ]
}

/// The states of a change that a test of the process does not meet at will.
#[test]
fn states_of_a_change() {
    let refusal = refusal::Refusal::Missing { resource: "cap pace".to_owned() };
    let states = [
        accept::Outcome::Accepted { revision: revision::Revision(5) },
        accept::Outcome::Refused { refusal },
        accept::Outcome::Unknown { operation: "first".to_owned() },
        accept::Outcome::Unavailable,
    ];
    let expected = json!([
        { "state": "accepted", "revision": 5 },
        { "state": "refused", "refusal": { "refused": "missing", "resource": "cap pace" } },
        { "state": "unknown", "operation": "first" },
        { "state": "unavailable" },
    ]);
    assert_eq!(serde_json::to_value(states).expect("it can be written"), expected);
}

#[tokio::test(flavor = "multi_thread")]
async fn lines_of_a_watch() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let _ = rig.operate("PUT", "/v1/places/quai", PLACE).await;
    let node = rig.nodes.values().next().expect("a node");
    let request = Request::get(format!("http://{}/v1/places?watch=true", node.operators))
        .header("authorization", format!("Bearer {}", rig::TOKEN))
        .body(Full::default())
        .expect("the request is valid");
    let response = rig.http.open(request).await.expect("the node answers");
    let kind = response.headers()["content-type"].to_str().expect("it is text").to_owned();
    let mut stream = response.into_body();
    let mut text = String::new();
    // One change after the other is read, as the stream may leave out what stood between.
    read_until(&mut stream, &mut text, "3ms").await;
    let _ = rig.operate("PUT", "/v1/places/quai", &PLACE.replace("3ms", "4ms")).await;
    read_until(&mut stream, &mut text, "4ms").await;
    let _ = rig.operate("DELETE", "/v1/places/quai", "").await;
    read_until(&mut stream, &mut text, "\"delete\"").await;
    // An item comes once more when its standing changes; that one is told apart by nothing else.
    let mut lines: Vec<String> = text.lines().map(in_force).collect();
    lines.dedup();
    same("watch.txt", &format!("{kind}\n{}\n", lines.join("\n")));
}

/// Reads on until `word` was read and the line is whole.
async fn read_until(stream: &mut Incoming, text: &mut String, word: &str) {
    while !text.ends_with('\n') || !text.contains(word) {
        let frame = stream.frame().await.expect("the watch goes on").expect("it is whole");
        text.push_str(&String::from_utf8_lossy(&frame.into_data().unwrap_or_default()));
    }
}

/// Returns a line as it is once the resource is in force.
fn in_force(line: &str) -> String {
    let node = r#""in_force":false,"lagging":["dakar-0"]"#;
    line.replace(node, r#""in_force":true,"lagging":[]"#)
}

/// Writes the keys of `value` with the kinds of their values; a list has the keys of all its items.
fn keys(path: &str, value: &Value, found: &mut collections::BTreeSet<String>) {
    let kind = match value {
        Value::Null => "null",
        Value::Bool(_) => "bool",
        Value::Number(_) => "number",
        Value::String(_) => "string",
        Value::Array(items) => {
            items.iter().for_each(|item| keys(&format!("{path}[]"), item, found));
            "list"
        }
        Value::Object(fields) => {
            fields.iter().for_each(|(key, inner)| keys(&format!("{path}.{key}"), inner, found));
            "object"
        }
    };
    found.insert(format!("{path}: {kind}"));
}

fn shape(value: &Value) -> String {
    let mut found = collections::BTreeSet::new();
    keys("", value, &mut found);
    found.into_iter().map(|line| line + "\n").collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_the_dump_of_a_node() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let _ = rig.operate("PUT", "/v1/places/quai", PLACE).await;
    let node = rig.nodes.values().next().expect("a node");
    rig.wait("every part of the dump is filled", async |rig| {
        let _ = rig.get("dakar-0", "r-1", 10).await;
        let state = rig.state(node).await;
        let rates = state["services"][0]["rates"].as_object().is_some_and(|r| !r.is_empty());
        let split = state["splits"].as_array().is_some_and(|splits| !splits.is_empty());
        let upstreams = state["upstreams"].as_array();
        let warm = upstreams.is_some_and(|u| u.iter().all(|u| u["usual_ms"].is_number()));
        rates && split && warm
    })
    .await;
    let mut state = rig.state(node).await;
    // Its keys are verdicts and reasons, which the model's tests hold.
    state["callers"]["failures"] = json!({});
    same("node-dump.txt", &shape(&state));
}

async fn read(rig: &rig::Rig, address: net::SocketAddr, path: &str) -> (String, String) {
    let uri = format!("http://{address}{path}");
    let request = Request::get(uri)
        .header("host", "find.example")
        .body(Full::default())
        .expect("the request is valid");
    let response = rig.http.send(request).await.expect("the gateway answers");
    let kind = response.headers().get("content-type").and_then(|kind| kind.to_str().ok());
    let kind = kind.unwrap_or_default().to_owned();
    (kind, String::from_utf8_lossy(response.body()).into_owned())
}

#[tokio::test(flavor = "multi_thread")]
async fn keys_of_the_dump_and_names_of_the_metrics_of_a_gateway() {
    let rig = rig::Rig::start(&["dakar"], 1).await;
    let _ = rig.operate("PUT", "/v1/routes/reads", ROUTE).await;
    let gateway = rig.start_gateway("dakar", "dakar-1");
    let dump = async || {
        let (kind, text) = read(&rig, gateway.peers, "/dump").await;
        (kind, serde_json::from_str::<Value>(&text).expect("the dump is JSON"))
    };
    rig.wait("the gateway has sent a request", async |_| {
        let _ = read(&rig, gateway.callers, "/items/7").await;
        let state = dump().await.1;
        let filled = |key: &str| state[key].as_array().is_some_and(|items| !items.is_empty());
        filled("upstreams") && filled("splits")
    })
    .await;
    let (kind, state) = dump().await;
    same("gateway-dump.txt", &format!("{kind}\n{}", shape(&state)));
    let (kind, text) = read(&rig, gateway.peers, "/metrics").await;
    let names = text.lines().map(|line| match line.starts_with('#') {
        true => line,
        false => line.rsplit_once(' ').map_or(line, |(name, _)| name),
    });
    let names: Vec<&str> = names.collect();
    same("gateway-metrics.txt", &format!("{kind}\n{}\n", names.join("\n")));
}
