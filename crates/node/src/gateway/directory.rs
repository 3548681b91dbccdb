//! Look-ups: names the nodes that a caller should use.
//!
//! Relies on [`steer::dispatch::fleet::lookup`] for the choice, and on [`platform::directory`] for the
//! format of queries and answers.

use std::net;
use std::time::Instant;

use model::id;
use platform::directory;
use steer::dispatch::fleet::{active_set, lookup};

use crate::gateway::state;

/// Answers a look-up, by its query.
#[must_use]
pub fn answer(state: &state::State, query: &str) -> Vec<u8> {
    state.metrics.lookups.add(1);
    let query = directory::Query::parse(query);
    let region = id::Region::new(&query.region);
    let homes = state.routing().map_or_else(Vec::new, |r| r.home_regions(&query.name));
    let chosen = addresses(state, &region, &homes);
    directory::answer(&chosen, lookup::cache(&state.settings.borrow().bounds()))
}

/// Returns the addresses that a caller in `region` is told for a host whose home regions are `homes`.
pub fn addresses(
    state: &state::State,
    region: &id::Region,
    homes: &[id::Region],
) -> Vec<net::SocketAddr> {
    let members = state.members.borrow();
    let me = state.me.borrow();
    let serving: Vec<lookup::Node<'_>> = members
        .alive(Instant::now())
        .chain([&*me])
        .filter(|m| m.is_serving())
        .map(|m| lookup::Node { region: &m.region, callers: m.callers, report: m.said() })
        .collect();
    let listed = members.listed().map(|(name, listed)| {
        let report = active_set::Node { name, capacity: 0, requests: 0 };
        lookup::Node { region: &listed.region, callers: listed.callers, report }
    });
    lookup::addresses(region, homes, &serving, listed)
}
