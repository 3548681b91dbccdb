//! `yokespoke demo --hold`: the example runs until Ctrl-C, to try commands on it.

use std::collections;
use std::net;

use serde::Serialize;

use crate::demo::owners::example;
use crate::demo::owners::fleet;
use crate::exit;
use crate::printer;

/// Where everything is.
#[derive(Debug, Serialize)]
struct Where {
    /// Addresses of the nodes for callers.
    callers: Vec<net::SocketAddr>,
    /// Addresses of the nodes for operators.
    operators: Vec<net::SocketAddr>,
    /// The store.
    store: net::SocketAddr,
    /// Services with their hosts.
    services: collections::BTreeMap<String, String>,
    /// Addresses to send from, by place.
    places: collections::BTreeMap<String, net::IpAddr>,
    /// The operators' token.
    token: String,
}

/// Prints where everything is and waits for Ctrl-C.
///
/// # Errors
///
/// Fails when Ctrl-C cannot be waited for.
pub async fn run(fleet: &fleet::Fleet, example: &example::Example) -> anyhow::Result<exit::Code> {
    let at = Where {
        callers: fleet.nodes.values().map(|n| n.listen.callers).collect(),
        operators: fleet.nodes.values().map(|n| n.listen.operators).collect(),
        store: fleet.store.address,
        services: example.loads.iter().map(|l| (l.service.to_string(), l.host.clone())).collect(),
        places: example.sources.iter().map(|s| (s.place.to_string(), s.from)).collect(),
        token: fleet.token.clone(),
    };
    printer::raw(&serde_yaml_ng::to_string(&at)?);
    tokio::signal::ctrl_c().await?;
    Ok(exit::Code::Done)
}
