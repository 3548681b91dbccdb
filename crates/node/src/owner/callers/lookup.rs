//! Look-ups: which nodes a caller should use, in order, and a ticket.

use std::net;

use http::{Response, StatusCode};
use model::id;
use serde::Serialize;

use crate::common::body;
use crate::owner::callers::respond;
use crate::owner::handle;
use crate::owner::settings;
use crate::owner::view;

/// Path of look-ups.
pub const PATH: &str = "/yokespoke/v1/lookup";

/// Nodes of the nearest region in an answer.
const NEAREST: usize = 2;

/// Nodes in an answer.
const MOST: usize = 4;

/// The answer to a look-up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Answer {
    /// The service.
    pub service: id::Service,
    /// The host to ask for.
    pub host: String,
    /// The caller's place.
    pub place: id::Place,
    /// The nodes to use, best first.
    pub nodes: Vec<Node>,
    /// How long the answer may be cached, in milliseconds.
    pub cache_ms: u64,
    /// A ticket for one request that must run at most once, to be sent to the first node.
    pub ticket: String,
}

/// A node to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Node {
    /// Its name.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Where it listens for callers.
    pub address: net::SocketAddr,
}

/// Answers a look-up.
#[must_use]
pub fn answer(
    query: &str,
    caller: net::IpAddr,
    handle: &handle::Handle,
    limits: &settings::Limits,
) -> Response<body::Body> {
    let view = handle.view();
    let name = query.split('&').find_map(|pair| pair.strip_prefix("service="));
    let Some(name) = name else {
        return error(StatusCode::BAD_REQUEST, "expected `?service=NAME`");
    };
    let Some(service) = view.config.snapshot.services.get(name) else {
        return error(StatusCode::NOT_FOUND, "no service has this name");
    };
    let place = view.config.place_of(caller);
    let nodes = nodes(&view, &place, caller);
    if nodes.is_empty() {
        return error(StatusCode::SERVICE_UNAVAILABLE, "no node is ready");
    }
    let answer = Answer {
        service: service.spec.name.clone(),
        host: service.spec.host.clone(),
        place,
        nodes,
        cache_ms: u64::try_from(limits.lookup_cache.as_millis()).unwrap_or(u64::MAX),
        ticket: handle.issue().to_string(),
    };
    match serde_json::to_value(&answer) {
        Ok(value) => respond::json(StatusCode::OK, &value),
        Err(_) => error(StatusCode::INTERNAL_SERVER_ERROR, "the answer cannot be written"),
    }
}

/// Returns the nodes for a caller: two of its nearest region, then one of each further region.
///
/// Callers of one region are spread over its nodes by their address.
#[must_use]
pub fn nodes(view: &view::View, place: &id::Place, caller: net::IpAddr) -> Vec<Node> {
    let place = view.config.snapshot.places.get(place).map(|p| &p.spec);
    let linked = place.into_iter().flat_map(|p| p.links_by_delay()).map(|l| &l.region);
    let mut regions: Vec<&id::Region> = linked.collect();
    let others = std::iter::once(&view.region).chain(view.nodes.keys());
    for region in others {
        if !regions.contains(&region) {
            regions.push(region);
        }
    }
    let mut found = Vec::new();
    for region in regions {
        let count = if found.is_empty() { NEAREST } else { 1 };
        found.extend(some_of(view, region, caller).into_iter().take(count));
    }
    found.truncate(MOST);
    found
}

fn some_of(view: &view::View, region: &id::Region, caller: net::IpAddr) -> Vec<Node> {
    let nodes = view.nodes.get(region).into_iter().flatten();
    let nodes = nodes.filter(|n| n.is_alive && !n.is_leaving);
    let mut nodes: Vec<Node> = nodes
        .map(|n| Node { node: n.key.node.clone(), region: region.clone(), address: n.callers })
        .collect();
    if !nodes.is_empty() {
        let start = spread(caller) % nodes.len();
        nodes.rotate_left(start);
    }
    nodes
}

/// Returns a number that spreads callers evenly.
fn spread(caller: net::IpAddr) -> usize {
    use std::hash::BuildHasher as _;
    let hash = std::hash::BuildHasherDefault::<std::hash::DefaultHasher>::default();
    usize::try_from(hash.hash_one(caller) >> 33).unwrap_or(0)
}

fn error(status: StatusCode, message: &str) -> Response<body::Body> {
    respond::json(status, &serde_json::json!({ "error": message }))
}
