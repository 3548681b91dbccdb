//! A rig: stand-ins in this process, and nodes as processes of their own.

#[path = "../gateway/program.rs"]
mod program;

use std::collections;
use std::io::{BufRead as _, BufReader};
use std::net;
use std::process;
use std::sync;
use std::sync::atomic;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use node::owner::operators::access;
use serde_json::Value;
use standin::{client, loopback, pattern, record, store, upstream, vms};

/// The operators' token.
pub const TOKEN: &str = "rig-token";

/// A token that may only read.
pub const READER: &str = "rig-reader";

/// Host of the service.
pub const HOST: &str = "catalogue.example";

/// Longest time that the rig waits for anything.
const PATIENCE: Duration = Duration::from_secs(60);

/// Upstreams in each region, and the slots of each.
const UPSTREAMS: usize = 3;
const SLOTS: u32 = 4;

/// Limits of nodes, where a test needs no others.
const LIMITS: &str = "lookup_cache: 300ms, stop_time: 30s, head_time: 1s";

/// Last byte from which on addresses are those of nodes; upstreams have the ones below.
const NODES_FROM: u8 = 100;

/// Stand-ins and nodes.
pub struct Rig {
    pub store: store::Store,
    pub vms: vms::Vms,
    pub truth: sync::Arc<record::Record>,
    pub nodes: collections::BTreeMap<String, Process>,
    pub http: client::Client,
    upstreams: Vec<upstream::Upstream>,
    folder: tempfile::TempDir,
    /// Network of its addresses, by its second and third byte.
    network: [u8; 2],
    /// Limits of its nodes, as in their settings.
    limits: &'static str,
}

/// A node's process.
pub struct Process {
    pub callers: net::SocketAddr,
    pub operators: net::SocketAddr,
    pub peers: net::SocketAddr,
    pub child: process::Child,
    log: sync::Arc<sync::Mutex<Vec<String>>>,
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Process {
    /// Sends a signal to the process.
    pub fn signal(&self, signal: &str) {
        let status = process::Command::new("kill")
            .args([&format!("-{signal}"), &self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success(), "the process is there");
    }

    /// Returns the most memory that the process has held, in kilobytes.
    pub fn peak_memory_kb(&self) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.expect("the process is there");
        let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
        let number = line.and_then(|line| line.split_whitespace().next()?.parse().ok());
        number.expect("the system tells the memory of processes")
    }

    /// Returns the lines of its log of one event, as pairs of key and value.
    pub fn events(&self, event: &str) -> Vec<Event> {
        let log = self.log.lock().expect("no reader panics");
        let events = log.iter().map(|line| pairs(line));
        events.filter(|pairs| pairs.get("event").is_some_and(|e| e == event)).collect()
    }
}

/// A line of a log, as pairs of key and value.
pub type Event = collections::BTreeMap<String, String>;

fn pairs(line: &str) -> Event {
    let pairs = line.split(' ').filter_map(|pair| pair.split_once('='));
    pairs.map(|(key, value)| (key.to_owned(), value.to_owned())).collect()
}

impl Rig {
    /// Starts `nodes` nodes in each of `regions`, with the service declared and in force.
    pub async fn start(regions: &[&str], nodes: usize) -> Self {
        Self::start_with(regions, nodes, LIMITS).await
    }

    /// Starts as [`Self::start`] does, with these limits in the settings of the nodes.
    pub async fn start_with(regions: &[&str], nodes: usize, limits: &'static str) -> Self {
        // Another deployment may take a port that this one frees, in this process or another.
        let own = loopback::next();
        let [_, high, middle, _] = own.octets();
        let any = net::SocketAddr::from((own, 0));
        let mut rig = Self {
            store: store::Store::start(any).await.expect("the store starts"),
            vms: vms::Vms::start(any, Duration::from_millis(500)).await.expect("the list starts"),
            truth: sync::Arc::new(record::Record::default()),
            nodes: collections::BTreeMap::new(),
            http: client::Client::new(None),
            upstreams: Vec::new(),
            folder: tempfile::tempdir().expect("a folder can be made"),
            network: [high, middle],
            limits,
        };
        for region in regions {
            rig.start_upstreams(region).await;
        }
        for region in regions {
            for number in 0..nodes {
                rig.start_node(region, number, nodes);
            }
        }
        rig.wait("all nodes are listed", async |rig| rig.all_listed(nodes).await).await;
        let declared = rig.declare(&rig.service()).await;
        assert_eq!(declared["state"], "accepted", "{declared}");
        rig.wait("the service is in force", async |rig| rig.in_force().await).await;
        rig.wait("homes have their slots", async |rig| rig.all_borrowed().await).await;
        rig
    }

    /// Returns an address of this deployment.
    fn ip(&self, last: u8) -> net::Ipv4Addr {
        let [high, middle] = self.network;
        net::Ipv4Addr::new(127, high, middle, last)
    }

    /// Starts a gateway that follows the declarations.
    pub fn start_gateway(&self, region: &str, hall: &str) -> Process {
        let settings = format!(
            "role: gateway\nnode: gate\nregion: {region}\nhall: {hall}\n\
             halls: {{ {hall}: {region} }}\nlisten:\n  callers: {own}:0\n  \
             ready: {own}:0\n  directory: {own}:0\n  peers: {own}:0\n\
             declarations: {}\n",
            self.store.address,
            own = self.store.address.ip()
        );
        let file = self.folder.path().join("gate.yaml");
        std::fs::write(&file, settings).expect("the settings are written");
        spawn(&file)
    }

    /// Returns the halls that hold upstreams.
    pub fn halls(&self) -> collections::BTreeSet<String> {
        let declared = self.upstreams.iter().map(declaration);
        declared.map(|u| u["hall"].as_str().unwrap_or_default().to_owned()).collect()
    }

    /// Starts one node, or starts it again.
    pub fn start_node(&mut self, region: &str, number: usize, nodes: usize) {
        let name = format!("{region}-{number}");
        let region_number = u8::try_from(region.len()).expect("names are short");
        let last = NODES_FROM + region_number * 10 + u8::try_from(number).expect("nodes are few");
        let ip = self.ip(last);
        self.vms.fill([ip.into()]);
        let seeds: Vec<String> = self.nodes.values().map(|n| format!("\"{}\"", n.peers)).collect();
        let settings = format!(
            "node: {name}\nregion: {region}\nhall: {region}-{}\n\
             listen: {{ callers: \"{ip}:0\", operators: \"{ip}:0\", peers: \"{ip}:0\" }}\n\
             seeds: [{}]\nstore: \"{}\"\nvms: \"{}\"\noperators:\n  \
             - {{ name: rig, token_sha256: {}, may: write }}\n  \
             - {{ name: reader, token_sha256: {} }}\n\
             limits: {{ {} }}\n",
            number % nodes.max(1) % 2 + 1,
            seeds.join(", "),
            self.store.address,
            self.vms.address,
            access::hash(TOKEN),
            access::hash(READER),
            self.limits,
        );
        let file = self.folder.path().join(format!("{name}.yaml"));
        std::fs::write(&file, settings).expect("the settings are written");
        self.nodes.insert(name, spawn(&file));
    }

    /// Sends a request for the service to a node.
    pub async fn get(&self, node: &str, id: &str, bytes: usize) -> anyhow::Result<Response<Bytes>> {
        self.get_by(&self.http, node, id, bytes).await
    }

    /// Sends a request as [`Self::get`] does, over the connections of `client`.
    pub async fn get_by(
        &self,
        client: &client::Client,
        node: &str,
        id: &str,
        bytes: usize,
    ) -> anyhow::Result<Response<Bytes>> {
        let request = Request::get(format!("http://{}/search", self.nodes[node].callers))
            .header("host", HOST)
            .header("x-request-id", id)
            .header("x-answer-bytes", bytes)
            .body(Full::default())?;
        client.send(request).await
    }

    /// Calls the operators' face of the first node.
    pub async fn operate(&self, method: &str, path: &str, body: &str) -> (u16, Value) {
        self.operate_with(TOKEN, method, path, body, &[]).await
    }

    /// Calls the operators' face of the first node, with a token and headers.
    pub async fn operate_with(
        &self,
        token: &str,
        method: &str,
        path: &str,
        body: &str,
        headers: &[(&str, &str)],
    ) -> (u16, Value) {
        let node = self.nodes.values().next().expect("a node is left");
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", node.operators))
            .header("authorization", format!("Bearer {token}"));
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let body = Full::new(Bytes::copy_from_slice(body.as_bytes()));
        let request = request.body(body).expect("the request is valid");
        let response = self.http.send(request).await.expect("the node answers");
        let value = serde_json::from_slice(response.body()).unwrap_or(Value::Null);
        (response.status().as_u16(), value)
    }

    /// Puts the service.
    pub async fn declare(&self, service: &Value) -> Value {
        self.operate("PUT", "/v1/services/catalogue", &service.to_string()).await.1
    }

    /// Waits until a node's process has ended, and returns how.
    pub async fn ended(&mut self, node: &str) -> process::ExitStatus {
        let began = Instant::now();
        loop {
            let process = self.nodes.get_mut(node).expect("the node is there");
            if let Some(status) = process.child.try_wait().expect("it is this process's child") {
                return status;
            }
            assert!(began.elapsed() < PATIENCE, "{node} does not end");
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
    }

    /// Leaves the service one upstream; returns its owner, and another node.
    pub async fn with_one_upstream(&self) -> (String, String) {
        let mut service = self.service();
        service["upstreams"].as_array_mut().expect("a list").truncate(1);
        let declared = self.declare(&service).await;
        assert_eq!(declared["state"], "accepted", "{declared}");
        self.wait("the service is in force", async |rig| rig.in_force().await).await;
        self.wait("the owner has every slot", async |rig| rig.owner().await.is_some()).await;
        let owner = self.owner().await.expect("it owns the upstream");
        let other = self.nodes.keys().find(|name| **name != owner).expect("another node");
        (owner, other.clone())
    }

    /// Returns the node that owns the only upstream and may use all its slots.
    async fn owner(&self) -> Option<String> {
        for (name, node) in &self.nodes {
            let state = self.state(node).await;
            let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
            // Upstreams that are no longer declared stay listed, without slots.
            let mut usable = upstreams.iter().filter(|u| u["limit"] != 0);
            let is_owner = usable.next().is_some_and(|u| u["limit"] == SLOTS);
            if is_owner && usable.next().is_none() {
                return Some(name.clone());
            }
        }
        None
    }

    /// Returns the service's declaration.
    pub fn service(&self) -> Value {
        let upstreams: Vec<Value> = self.upstreams.iter().map(declaration).collect();
        serde_json::json!({
            "name": "catalogue",
            "host": HOST,
            "deadline": "3s",
            "hold": "500ms",
            "repeatable": [{ "method": "GET" }],
            "once": [{ "method": "POST", "path": "/handover" }],
            "shed": [429],
            "report": "/report",
            "upstreams": upstreams,
        })
    }

    /// Waits until something holds.
    pub async fn wait(&self, what: &str, holds: impl AsyncFn(&Self) -> bool) {
        let began = Instant::now();
        while !holds(self).await {
            assert!(began.elapsed() < PATIENCE, "waited too long until {what}");
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Returns a node's dump.
    pub async fn state(&self, node: &Process) -> Value {
        let request = Request::get(format!("http://{}/v1/state", node.operators))
            .header("authorization", format!("Bearer {TOKEN}"))
            .body(Full::default())
            .expect("the request is valid");
        match self.http.send(request).await {
            Ok(response) => serde_json::from_slice(response.body()).unwrap_or(Value::Null),
            Err(_) => Value::Null,
        }
    }

    /// Returns whether each region's table has `nodes` listed, at every node.
    pub async fn all_listed(&self, nodes: usize) -> bool {
        for node in self.nodes.values() {
            let state = self.state(node).await;
            let listed = state["seats"].as_array().map_or(0, Vec::len);
            let alive = state["members"]
                .as_array()
                .map_or(0, |members| members.iter().filter(|m| m["is_alive"] == true).count());
            if listed != nodes || alive != self.nodes.len() {
                return false;
            }
        }
        true
    }

    /// Returns whether the slots that nodes may use add up to all there are.
    pub async fn all_borrowed(&self) -> bool {
        let mut usable = 0;
        for node in self.nodes.values() {
            let state = self.state(node).await;
            let upstreams = state["upstreams"].as_array().cloned().unwrap_or_default();
            let home = upstreams.iter().filter(|u| u["home"] == state["node"]);
            usable += home.filter_map(|u| u["limit"].as_u64()).sum::<u64>();
        }
        usable == u64::from(SLOTS) * u64::try_from(self.upstreams.len()).unwrap_or(0)
    }

    /// Returns the connections that upstreams closed because they had too many.
    pub fn over_connections(&self) -> u64 {
        self.upstreams.iter().map(|u| u.refused.load(atomic::Ordering::Relaxed)).sum()
    }

    /// Returns whether every node knows the service as it was declared last.
    pub async fn in_force(&self) -> bool {
        let item = self.operate("GET", "/v1/services/catalogue", "").await.1;
        let mut ready = item["in_force"] == true;
        for node in self.nodes.values() {
            ready &= self.state(node).await["is_ready"] == true;
        }
        ready
    }

    async fn start_upstreams(&mut self, region: &str) {
        for number in 0..UPSTREAMS {
            let last = u8::try_from(self.upstreams.len() + 1).expect("upstreams are few");
            let ip = self.ip(last);
            let spec = upstream::Spec {
                service: "catalogue".to_owned(),
                name: format!("{region}-{number}"),
                region: region.to_owned(),
                hall: format!("{region}-{}", number % 2 + 1),
                slots: SLOTS,
                connections: 28,
                time: Duration::from_millis(30),
                cold_factor: 1.0,
                report_lag: Duration::from_millis(200),
            };
            let truth = sync::Arc::clone(&self.truth);
            let started = upstream::Upstream::start((ip, 0).into(), spec, truth).await;
            self.vms.fill([ip.into()]);
            self.upstreams.push(started.expect("the upstream starts"));
        }
    }
}

fn declaration(upstream: &upstream::Upstream) -> Value {
    let spec = upstream.spec();
    serde_json::json!({
        "name": spec.name,
        "region": spec.region,
        "hall": spec.hall,
        "address": upstream.address,
        "slots": spec.slots,
        "connections": spec.connections,
    })
}

/// Starts a node and learns its addresses from its first line of log.
fn spawn(settings: &std::path::Path) -> Process {
    let mut child = process::Command::new(program::next())
        .arg("--settings")
        .arg(settings)
        .stdout(process::Stdio::piped())
        .spawn()
        .expect("the node starts");
    let stdout = child.stdout.take().expect("standard output is piped");
    let mut lines = BufReader::new(stdout).lines();
    let started = lines
        .by_ref()
        .map_while(Result::ok)
        .find(|line| line.contains("-started "))
        .expect("the node tells where it listens");
    let quiet = std::env::var_os("YOKESPOKE_RIG_LOGS").is_none();
    let log = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let read = sync::Arc::clone(&log);
    std::thread::spawn(move || {
        for line in lines.map_while(Result::ok) {
            if !quiet {
                eprintln!("{line}");
            }
            read.lock().expect("no reader panics").push(line);
        }
    });
    let field = |name: &str| -> Option<net::SocketAddr> {
        let mut pairs = started.split(' ').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).and_then(|(_, value)| value.parse().ok())
    };
    let required = |name: &str| field(name).expect("the line has the address");
    Process {
        callers: required("callers"),
        // A gateway has no face for operators.
        operators: field("operators").unwrap_or_else(|| required("peers")),
        peers: required("peers"),
        child,
        log,
    }
}

/// Returns whether an answer is whole and its own request's.
pub fn is_whole(id: &str, bytes: usize, response: &Response<Bytes>) -> bool {
    response.status().is_success() && pattern::is_whole(id, bytes, response.body())
}
