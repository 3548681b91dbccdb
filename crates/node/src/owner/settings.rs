//! Settings of a node, read from a YAML file.

use std::net;
use std::path;
use std::time::Duration;

use model::document;
use model::id;
use serde::{Deserialize, Serialize};

use crate::common::logging;
use crate::common::settings;

/// Length of a SHA-256 hash in hexadecimal digits.
const HASH_DIGITS: usize = 64;

/// The settings of a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// The node's name, the same after a restart.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Its hall.
    pub hall: id::Hall,
    /// Where it listens.
    pub listen: Listen,
    /// Nodes to ask first, by where they listen for peers.
    #[serde(default)]
    pub seeds: Vec<net::SocketAddr>,
    /// The platform's store.
    pub store: net::SocketAddr,
    /// The platform's VM list.
    #[serde(default)]
    pub vms: Option<net::SocketAddr>,
    /// Who may use the resource API.
    #[serde(default)]
    pub operators: Vec<Operator>,
    /// Bounds that protect the node.
    #[serde(default)]
    pub limits: Limits,
    /// What is logged.
    #[serde(default)]
    pub log: logging::Level,
}

/// Where a node's three servers listen.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Listen {
    /// For callers.
    pub callers: net::SocketAddr,
    /// For operators.
    pub operators: net::SocketAddr,
    /// For other nodes.
    pub peers: net::SocketAddr,
}

/// Someone who may use the resource API.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Operator {
    /// A name for the log.
    pub name: String,
    /// The SHA-256 hash of the token, in hexadecimal.
    pub token_sha256: String,
    /// What the operator may do.
    #[serde(default)]
    pub may: May,
}

/// What an operator may do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum May {
    /// Read only.
    #[default]
    Read,
    /// Read and change.
    Write,
}

/// Bounds that protect a node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Limits {
    /// Connections from callers at once.
    pub connections: usize,
    /// Requests in flight at once.
    pub requests: usize,
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Time a caller may take to send a request's head.
    #[serde(with = "humantime_serde")]
    pub head_time: Duration,
    /// Time for which a caller's connection may rest between two requests.
    #[serde(with = "humantime_serde")]
    pub idle_time: Duration,
    /// Time for which callers may cache a look-up.
    #[serde(with = "humantime_serde")]
    pub lookup_cache: Duration,
    /// Longest time a planned stop may take.
    #[serde(with = "humantime_serde")]
    pub stop_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            connections: 4_096,
            requests: 8_192,
            head_bytes: 16 * 1_024,
            head_time: Duration::from_secs(5),
            idle_time: Duration::from_secs(60),
            lookup_cache: Duration::from_secs(5),
            stop_time: Duration::from_secs(60),
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails with the file, the line and the field at fault.
    pub fn read(file: &path::Path) -> anyhow::Result<Self> {
        settings::read(file, Self::check)
    }

    /// Checks what the types do not say.
    ///
    /// # Errors
    ///
    /// Fails at the first field that breaks a rule.
    pub fn check(&self, file: &str) -> Result<(), document::Error> {
        let fault = |field: &str, message: &str| settings::fault(file, field, message);
        let name_rule = "expected 1 to 63 letters, digits, `-`, `_` or `.`";
        let names = [
            ("node", self.node.as_str()),
            ("region", self.region.as_str()),
            ("hall", self.hall.as_str()),
        ];
        for (field, name) in names {
            if !id::is_valid(name) {
                return Err(fault(field, name_rule));
            }
        }
        for (index, operator) in self.operators.iter().enumerate() {
            let hash = &operator.token_sha256;
            let is_hash = hash.len() == HASH_DIGITS && hash.chars().all(|c| c.is_ascii_hexdigit());
            if !is_hash {
                let field = format!("operators[{index}].token_sha256");
                return Err(fault(&field, "expected 64 hexadecimal digits"));
            }
        }
        let limits = &self.limits;
        let counts =
            [("limits.connections", limits.connections), ("limits.requests", limits.requests)];
        for (field, count) in counts {
            if count == 0 {
                return Err(fault(field, "expected at least 1"));
            }
        }
        match limits.head_bytes {
            ..8_192 => Err(fault("limits.head_bytes", "expected at least 8192")),
            _ => Ok(()),
        }
    }
}
