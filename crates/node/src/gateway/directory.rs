//! Look-ups: which nodes a caller should use.

use std::net;
use std::rc;
use std::time::{Duration, Instant};

use model::id;
use platform::directory;

use crate::gateway::member;
use crate::gateway::state;

/// Longest time for which callers should use an answer: short, so that a node that leaves is soon
/// left alone.
const LOOKUP_CACHE: Duration = Duration::from_secs(1);

/// Answers a look-up: the living nodes of the caller's region, else of the regions that may serve
/// the host, else of any.
#[must_use]
pub fn answer(state: &state::State, query: &str) -> Vec<u8> {
    state.metrics.lookups.add(1);
    let query = directory::Query::parse(query);
    let region = id::Region::new(&query.region);
    let nodes = serving(state);
    let homes = state.routing().map(|r| r.home_regions(&query.name)).unwrap_or_default();
    let near = in_regions(&nodes, std::slice::from_ref(&region));
    let chosen = match (near.is_empty(), in_regions(&nodes, &homes)) {
        (false, _) => near,
        (true, home) if !home.is_empty() => home,
        (true, _) => match listed(state, &homes) {
            home if !home.is_empty() => home,
            _ => nodes.iter().map(|m| m.callers).collect(),
        },
    };
    let cache = state.settings.borrow().bounds().lookup_cache.min(LOOKUP_CACHE);
    directory::answer(&chosen, cache)
}

/// Returns the nodes that serve callers and do not leave, this one included.
fn serving(state: &state::State) -> Vec<rc::Rc<member::Member>> {
    let members = state.members.borrow();
    let me = state.me.borrow();
    let others = members.alive(Instant::now());
    others
        .chain([&*me])
        .filter(|m| m.is_ready && !m.is_leaving)
        .map(|m| rc::Rc::new(m.clone()))
        .collect()
}

fn in_regions(nodes: &[rc::Rc<member::Member>], regions: &[id::Region]) -> Vec<net::SocketAddr> {
    nodes.iter().filter(|m| regions.contains(&m.region)).map(|m| m.callers).collect()
}

/// Returns the nodes of `regions` that the store lists, for regions none of whose nodes is heard here.
fn listed(state: &state::State, regions: &[id::Region]) -> Vec<net::SocketAddr> {
    let members = state.members.borrow();
    let listed = members.listed().filter(|(_, listed)| regions.contains(&listed.region));
    listed.map(|(_, listed)| listed.callers).collect()
}
