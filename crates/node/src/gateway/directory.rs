//! Look-ups: names the nodes that a caller should use.
//!
//! Relies on [`steer::dispatch::fleet::lookup`] for the choice, and on [`platform::directory`] for the
//! format of queries and answers.

use std::net;
use std::time::Instant;

use model::id;
use platform::directory;
use steer::dispatch::connectivity::report;
use steer::dispatch::fleet::{active_set, lookup};

use crate::gateway::state;

/// What a look-up asks for, as far as the choice depends on it.
#[derive(Clone, Debug, Default)]
pub struct Wanted {
    homes: Vec<id::Region>,
    services: Vec<report::Key>,
}

impl Wanted {
    /// Returns what the routes of `host` need.
    fn of_host(state: &state::State, host: &str) -> Self {
        let Some(routing) = state.routing() else { return Self::default() };
        let mut services: Vec<report::Key> =
            routing.services_of_host(host).map(report::Key::of).collect();
        services.sort_unstable();
        services.dedup();
        Self { homes: routing.home_regions(host), services }
    }
}

/// Answers a look-up, by its query.
#[must_use]
pub fn answer(state: &state::State, query: &str) -> Vec<u8> {
    state.metrics.lookups.add(1);
    let query = directory::Query::parse(query);
    let wanted = Wanted::of_host(state, &query.name);
    let chosen = addresses(state, &id::Region::new(&query.region), &wanted);
    directory::answer(&chosen, lookup::cache(&state.settings.borrow().bounds()))
}

/// Returns the addresses in the lookup response for a caller in `region`.
pub fn addresses(
    state: &state::State,
    region: &id::Region,
    wanted: &Wanted,
) -> Vec<net::SocketAddr> {
    let members = state.members.borrow();
    let me = state.me.borrow();
    let own = state.dispatcher.borrow().connectivity_report();
    let now = Instant::now();
    let others = members.heard(now).map(|member| (member, &member.connectivity));
    let serving = others.chain([(&*me, &own)]).filter(|(member, _)| member.is_serving());
    let serving: Vec<lookup::Node<'_>> = serving
        .map(|(member, connectivity)| lookup::Node {
            region: &member.region,
            callers: member.callers,
            report: member.said(),
            reaches_services: connectivity.reaches(&wanted.services),
        })
        .collect();
    let listed = || {
        let listed = members.listed(now).map(|(name, listed, evidence)| {
            let node = lookup::Node {
                region: &listed.region,
                callers: listed.callers,
                report: active_set::Node { name, capacity: 0, requests: 0 },
                reaches_services: true,
            };
            lookup::Listed { node, evidence }
        });
        listed.collect()
    };
    lookup::addresses(region, &wanted.homes, &serving, listed)
}
