//! The stand-ins and nodes of a running example.
//!
//! It owns their start, their readiness and their stop; it relies on [`super::example`] for what to
//! start.

use std::collections;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use model::change;
use model::id;
use model::resource;
use node::common::logging;
use node::common::store::accept;
use node::owner::operators::access;
use node::owner::settings;
use standin::record;
use standin::store;
use standin::upstream;
use standin::vms;

use crate::client;
use crate::demo::owners::example;

/// Nodes in each region.
const NODES: usize = 4;

/// How far the VM list lags.
const LAG: Duration = Duration::from_secs(1);

/// How far an upstream's reports lag.
const REPORT_LAG: Duration = Duration::from_millis(500);

/// Time for which callers of the demo may cache a look-up.
const LOOKUP_CACHE: Duration = Duration::from_secs(1);

/// Time for the fleet to become ready.
const START_TIME: Duration = Duration::from_secs(20);

/// Time between two checks that it is ready.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// A running example.
#[derive(Debug)]
pub struct Fleet {
    /// The store.
    pub store: store::Store,
    /// The VM list.
    pub vms: vms::Vms,
    /// What ran at the upstreams.
    pub record: sync::Arc<record::Record>,
    /// The upstreams, by service and name.
    pub upstreams: collections::BTreeMap<(id::Service, id::Upstream), upstream::Upstream>,
    /// The nodes, by name.
    pub nodes: collections::BTreeMap<String, node::owner::node::Node>,
    /// The operators' token.
    pub token: String,
}

/// How far a starting fleet has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Every node is listed and knows every other.
    Listed,
    /// The declarations are in force.
    InForce,
    /// Every owner has all slots of its upstreams.
    Borrowed,
}

impl Stage {
    fn describe(self) -> &'static str {
        match self {
            Self::Listed => "the nodes do not all know each other",
            Self::InForce => "the declarations are not in force everywhere",
            Self::Borrowed => "the homes do not have all their slots",
        }
    }
}

impl Fleet {
    /// Starts everything, applies the example's declarations and waits until they are in force.
    ///
    /// # Errors
    ///
    /// Fails when an address is taken or the fleet does not become ready.
    pub async fn start(example: &example::Example) -> anyhow::Result<Self> {
        let any = net::SocketAddr::from((net::Ipv4Addr::LOCALHOST, 0));
        let store = store::Store::start(any).await?;
        let vms = vms::Vms::start(any, LAG).await?;
        let record = sync::Arc::new(record::Record::default());
        let mut fleet = Self {
            store,
            vms,
            record,
            upstreams: collections::BTreeMap::new(),
            nodes: collections::BTreeMap::new(),
            token: client::new_operation(),
        };
        let resources = fleet.start_upstreams(example).await?;
        fleet.start_nodes(example)?;
        fleet.wait(Stage::Listed).await?;
        fleet.declare(resources).await?;
        fleet.wait(Stage::InForce).await?;
        fleet.wait(Stage::Borrowed).await?;
        Ok(fleet)
    }

    /// Returns a client of a living node's address for operators.
    ///
    /// # Errors
    ///
    /// Fails when no node is left.
    pub fn operator(&self) -> anyhow::Result<client::Client> {
        let node = self.nodes.values().next_back();
        let node = node.ok_or_else(|| anyhow::anyhow!("no node is left"))?;
        Ok(client::Client::with_token(node.listen.operators, &self.token))
    }

    /// Applies one step as an operator would.
    ///
    /// # Errors
    ///
    /// Fails when the node does not answer.
    pub async fn apply(&self, step: change::Step) -> anyhow::Result<accept::Outcome> {
        let operation = client::new_operation();
        let change = change::Change { operation, expected: None, steps: vec![step] };
        self.operator()?.apply(&change).await
    }

    /// Stops the nodes and stand-ins.
    pub async fn stop(&mut self) {
        for (_, node) in std::mem::take(&mut self.nodes) {
            node.kill();
        }
        self.store.stop();
        self.vms.stop();
        for upstream in self.upstreams.values() {
            upstream.stop();
        }
    }

    /// Starts the upstreams, and returns the declarations with the addresses they listen on.
    async fn start_upstreams(
        &mut self,
        example: &example::Example,
    ) -> anyhow::Result<Vec<resource::Resource>> {
        let mut resources = example.resources.clone();
        for resource in &mut resources {
            let resource::Resource::Service(service) = resource else { continue };
            let load = example.loads.iter().find(|l| l.service == service.name);
            let time = Duration::from_millis(load.map_or(50, |l| u64::from(l.time_ms)));
            for declared in &mut service.upstreams {
                let spec = upstream::Spec {
                    service: service.name.to_string(),
                    name: declared.name.to_string(),
                    region: declared.region.to_string(),
                    hall: declared.hall.to_string(),
                    slots: declared.slots,
                    connections: declared.connections,
                    time,
                    // The example has been running for long; what starts here is only its stand-in.
                    cold_factor: 1.0,
                    report_lag: REPORT_LAG,
                };
                let at = (declared.address.ip(), 0).into();
                let record = sync::Arc::clone(&self.record);
                let started = upstream::Upstream::start(at, spec, record).await?;
                declared.address = started.address;
                self.vms.fill([started.address.ip()]);
                let key = (service.name.clone(), declared.name.clone());
                self.upstreams.insert(key, started);
            }
        }
        Ok(resources)
    }

    fn start_nodes(&mut self, example: &example::Example) -> anyhow::Result<()> {
        let mut seeds = Vec::new();
        for number in 0..NODES * example.regions.len() {
            let region = &example.regions[number % example.regions.len()];
            let hall = format!("{region}-{}", number / example.regions.len() % 2 + 1);
            let ip = net::Ipv4Addr::new(127, 0, 1, u8::try_from(number + 1)?);
            let name = format!("{}-{:02}", example.name, number + 1);
            let settings = self.settings(&name, region, &hall, ip.into(), &seeds);
            let node = node::owner::node::Node::start(&settings)?;
            seeds.push(node.listen.peers);
            seeds.truncate(example.regions.len());
            self.vms.fill([ip.into()]);
            self.nodes.insert(name, node);
        }
        Ok(())
    }

    fn settings(
        &self,
        name: &str,
        region: &id::Region,
        hall: &str,
        ip: net::IpAddr,
        seeds: &[net::SocketAddr],
    ) -> settings::Settings {
        let at = net::SocketAddr::from((ip, 0));
        settings::Settings {
            node: id::Node::new(name),
            region: region.clone(),
            hall: id::Hall::new(hall),
            listen: settings::Listen { callers: at, operators: at, peers: at },
            seeds: seeds.to_vec(),
            store: self.store.address,
            vms: Some(self.vms.address),
            operators: vec![settings::Operator {
                name: "demo".to_owned(),
                token_sha256: access::hash(&self.token),
                may: settings::May::Write,
            }],
            limits: settings::Limits { lookup_cache: LOOKUP_CACHE, ..settings::Limits::default() },
            log: logging::Level::Error,
        }
    }

    async fn declare(&self, resources: Vec<resource::Resource>) -> anyhow::Result<()> {
        let steps = resources.into_iter().map(|resource| change::Step::Put { resource }).collect();
        let change = change::Change { operation: "demo-start".to_owned(), expected: None, steps };
        match self.operator()?.apply(&change).await? {
            accept::Outcome::Accepted { .. } => Ok(()),
            other => anyhow::bail!("the example was not accepted: {other:?}"),
        }
    }

    async fn wait(&self, stage: Stage) -> anyhow::Result<()> {
        let began = Instant::now();
        while !self.has_reached(stage).await {
            anyhow::ensure!(began.elapsed() < START_TIME, "waited too long: {}", stage.describe());
            tokio::time::sleep(LOOK_EVERY).await;
        }
        Ok(())
    }

    async fn has_reached(&self, stage: Stage) -> bool {
        match stage {
            Stage::Listed => self.all_listed().await,
            Stage::InForce => self.all_ready(),
            Stage::Borrowed => self.all_borrowed().await,
        }
    }

    /// Returns whether every node is listed in its region's table and knows every other.
    async fn all_listed(&self) -> bool {
        for node in self.nodes.values() {
            let known = node.handle().look(|state| {
                let core = state.core;
                let table = core.tables.get(&core.me.region);
                let listed = table.map_or(0, |t| t.listed.len());
                (listed, core.members.alive(state.now).count())
            });
            if known.await != Some((NODES, self.nodes.len())) {
                return false;
            }
        }
        true
    }

    fn all_ready(&self) -> bool {
        self.nodes.values().all(|node| {
            let view = node.handle().view();
            view.is_ready && view.config.revision().0 > 0 && view.lagging.is_empty()
        })
    }

    /// Returns whether every owner has all slots of its upstreams.
    async fn all_borrowed(&self) -> bool {
        for node in self.nodes.values() {
            let short = node.handle().look(|state| {
                let core = state.core;
                let led = core.owner.upstreams.values();
                led.filter(|u| u.ledger.allotment.owner() == Some(&core.me.key))
                    .any(|u| u.ledger.capacity(state.now) < u.ledger.slots)
            });
            if short.await != Some(false) {
                return false;
            }
        }
        true
    }
}
