//! The view: what the decisions publish for other threads to read.
//!
//! Owns a node's state at one moment, as one immutable value that is swapped. Relies on `model` only.

use std::collections;
use std::net;
use std::sync;

use bytes::Bytes;
use model::blocks;
use model::check;
use model::id;
use model::member;
use model::revision;
use model::service;
use model::snapshot;

/// The state of a node at one moment.
#[derive(Clone, Debug)]
pub struct View {
    /// This node.
    pub me: member::Key,
    /// Its region.
    pub region: id::Region,
    /// Whether it may serve callers.
    pub is_ready: bool,
    /// Whether it is stopping.
    pub is_leaving: bool,
    /// Whether it has handed everything over and may exit.
    pub is_done: bool,
    /// The configuration.
    pub config: sync::Arc<Config>,
    /// The nodes that are known, this one among them, by region.
    pub nodes: collections::BTreeMap<id::Region, Vec<Node>>,
    /// Live nodes that hold a lower revision.
    pub lagging: Vec<id::Node>,
    /// Slots in use by each service in each region.
    pub in_use: collections::BTreeMap<id::Service, check::context::SlotUsage>,
    /// Whether this node is one that watches the store for its region.
    pub is_watcher: bool,
}

/// A configuration, prepared for look-ups.
#[derive(Clone, Debug)]
pub struct Config {
    /// The configuration.
    pub snapshot: sync::Arc<snapshot::Snapshot>,
    /// The same as bytes, for peers.
    pub document: Bytes,
    /// Client blocks of all places.
    pub blocks: blocks::Table,
    /// Services by host, in small letters.
    hosts: collections::HashMap<String, id::Service>,
}

/// A node that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Node {
    /// Which incarnation of which node.
    pub key: member::Key,
    /// Where it listens for callers.
    pub callers: net::SocketAddr,
    /// Where it listens for peers.
    pub peers: net::SocketAddr,
    /// Whether it may be given work.
    pub is_alive: bool,
    /// Whether it is stopping.
    pub is_leaving: bool,
}

impl Config {
    /// Prepares a configuration.
    #[must_use]
    pub fn new(snapshot: sync::Arc<snapshot::Snapshot>) -> Self {
        let document = serde_json::to_vec(&*snapshot).unwrap_or_else(|error| {
            // It would be a bug; peers then find no document and ask another node.
            let (revision, error) = (snapshot.revision.0, error.to_string());
            log::error!(revision, error = error.as_str(); "configuration-not-written");
            Vec::new()
        });
        let document = Bytes::from(document);
        let services = snapshot.services.values();
        let hosts =
            services.map(|s| (s.spec.host.to_ascii_lowercase(), s.spec.name.clone())).collect();
        let blocks = blocks::Table::new(snapshot.places.values().map(|s| &*s.spec));
        Self { snapshot, document, blocks, hosts }
    }

    /// Returns the revision.
    #[must_use]
    pub fn revision(&self) -> revision::Revision {
        self.snapshot.revision
    }

    /// Returns the service that callers ask for by `host`, which may carry a port.
    #[must_use]
    pub fn service_of(&self, host: &str) -> Option<&sync::Arc<service::Service>> {
        let name = match host.rsplit_once(':') {
            Some((name, port)) if port.bytes().all(|b| b.is_ascii_digit()) => name,
            _ => host,
        };
        let service = self.hosts.get(&name.to_ascii_lowercase())?;
        self.snapshot.services.get(service).map(|s| &s.spec)
    }

    /// Returns the place of a caller; callers outside every block share one name.
    #[must_use]
    pub fn place_of(&self, caller: net::IpAddr) -> id::Place {
        self.blocks.find(caller).cloned().unwrap_or_else(|| id::Place::new(ELSEWHERE))
    }
}

/// The place of callers outside every declared block.
pub const ELSEWHERE: &str = "elsewhere";

impl View {
    /// Makes the view of a node that knows nothing yet.
    #[must_use]
    pub fn first(me: member::Key, region: id::Region) -> Self {
        Self {
            me,
            region,
            is_ready: false,
            is_leaving: false,
            is_done: false,
            config: sync::Arc::new(Config::new(sync::Arc::default())),
            nodes: collections::BTreeMap::new(),
            lagging: Vec::new(),
            in_use: collections::BTreeMap::new(),
            is_watcher: true,
        }
    }

    /// Returns the node called `name`.
    #[must_use]
    pub fn node(&self, name: &id::Node) -> Option<&Node> {
        self.nodes.values().flatten().find(|n| n.key.node == *name)
    }
}
