//! Follows yokespoke's own declarations in the store, in place of the platform's items.
//!
//! Owns the watch and the change from declarations to what the dispatcher uses.

use std::collections;
use std::rc;
use std::sync;
use std::time::{Duration, Instant, SystemTime};

use model::discovery;
use model::drain;
use model::id;
use model::organisation;
use model::routing;
use model::snapshot;
use model::upstream;

use crate::common::store::accept;
use crate::common::store::client;
use crate::common::store::edge;
use crate::common::store::edge::Store as _;
use crate::gateway::state;
use crate::gateway::state::update;

/// Longest time one watch waits.
///
/// One that the store never answers delays a configuration until it is given up.
const WAIT: Duration = Duration::from_secs(3);

/// Period at which drains are checked, which begin and end by the time of day.
const DRAIN_LOOK: Duration = Duration::from_secs(1);

/// Pause after a call that failed, or after a configuration that cannot be read.
const PAUSE: Duration = Duration::from_secs(1);

/// Follows the declarations until the task ends.
pub async fn run(state: rc::Rc<state::State>, client: client::Client) {
    let mut latest: Option<accept::Standing> = None;
    let mut malformed = None;
    loop {
        let after = latest.as_ref().map_or(0, |standing| standing.version);
        let value = look_meanwhile(&state, latest.as_ref(), next(&client, after)).await;
        match value {
            Ok(value) => {
                state.store_reached(None);
                state.confirm(Instant::now());
                match value.map(|value| (value.revision, accept::parse(&value))) {
                    Some((_, Ok(standing))) => {
                        put_in_force(&state, &standing.snapshot);
                        latest = Some(standing);
                    }
                    // The last good one stays in force. The response may have been cut short, so that the value is
                    // read again.
                    Some((revision, Err(error))) => {
                        if malformed.replace(revision) != Some(revision) {
                            record_malformed(&state, revision, &error);
                        }
                        look_meanwhile(&state, latest.as_ref(), tokio::time::sleep(PAUSE)).await;
                    }
                    None => {}
                }
            }
            Err(error) => {
                state.store_reached(Some(&error));
                look_meanwhile(&state, latest.as_ref(), tokio::time::sleep(PAUSE)).await;
            }
        }
    }
}

/// Waits for `work`, and meanwhile puts into force which drains have begun or ended.
async fn look_meanwhile<T>(
    state: &state::State,
    latest: Option<&accept::Standing>,
    work: impl Future<Output = T>,
) -> T {
    tokio::pin!(work);
    loop {
        tokio::select! {
            done = &mut work => return done,
            () = tokio::time::sleep(DRAIN_LOOK) => {
                if let Some(standing) = latest {
                    put_in_force(state, &standing.snapshot);
                }
            }
        }
    }
}

async fn next(client: &client::Client, after: u64) -> Result<Option<edge::Value>, edge::Error> {
    match after {
        0 => match client.get(accept::KEY).await? {
            Some(value) => Ok(Some(value)),
            None => client.next(accept::KEY, 0, WAIT).await,
        },
        after => client.next(accept::KEY, after, WAIT).await,
    }
}

/// Records a configuration that cannot be read.
fn record_malformed(state: &state::State, revision: u64, error: &serde_json::Error) {
    state.metrics.malformed_items.add(1);
    let (error, source) = (error.to_string(), update::Source::Declarations.as_str());
    log::error!(key = accept::KEY, revision, error = error.as_str(), source; "item-malformed");
}

fn put_in_force(state: &state::State, snapshot: &snapshot::Snapshot) {
    let wall = SystemTime::now();
    let active: Vec<&drain::Drain> =
        snapshot.drains.values().map(|d| &*d.spec).filter(|d| d.is_active(wall)).collect();
    let halls = snapshot.evacuations.values().map(|e| e.spec.hall.clone()).collect();
    state.adopt(update::Update {
        source: update::Source::Declarations,
        revision: snapshot.revision.0,
        routing: Some(sync::Arc::new(routing(snapshot))),
        upstreams: Some(update::Upstreams::All(upstreams(snapshot, &active))),
        evacuated: Some(halls),
    });
}

/// Returns the declared routes and the rules of services.
fn routing(snapshot: &snapshot::Snapshot) -> routing::Routing {
    let routes = snapshot.routes.values().map(|stored| (*stored.spec).clone()).collect();
    let services = snapshot.services.iter().map(|(name, stored)| {
        let rules = routing::ServiceRules {
            health_check_path: None,
            max_connections: None,
            cold_start: Duration::ZERO,
            cold_rate: None,
            shed: stored.spec.shed.clone(),
        };
        (name.clone(), rules)
    });
    let services: collections::BTreeMap<_, _> = services.collect();
    let limits = routing::CallerLimits::default();
    let routing = routing::Routing::new(snapshot.revision.0, routes, services, limits);
    if snapshot.organisations.is_empty() {
        return routing;
    }
    let declared = snapshot.organisations.values().map(|stored| (*stored.spec).clone());
    match organisation::Index::new(declared) {
        Ok(organisations) => routing.with_organisations(organisations),
        Err((first, second)) => {
            // Checks refuse such declarations, so this would be a bug; no key is accepted then.
            let (first, second) = (first.as_str(), second.as_str());
            log::error!(first, second; "organisations-share-a-key");
            routing.with_organisations(organisation::Index::default())
        }
    }
}

/// Returns the declared upstreams; those of an active drain take no more work.
fn upstreams(
    snapshot: &snapshot::Snapshot,
    active: &[&drain::Drain],
) -> Vec<sync::Arc<discovery::Entry>> {
    let services = snapshot.services.values().map(|stored| &*stored.spec);
    let declared = services.flat_map(|s| s.upstreams.iter().map(|u| (&s.name, u)));
    let entry = |(service, upstream): (&id::Service, &upstream::Upstream)| discovery::Entry {
        // An upstream's own name is unique in its service only.
        id: id::Upstream::new(&format!("{service}/{}", upstream.name)),
        service: service.clone(),
        address: upstream.address,
        hall: upstream.hall.clone(),
        version: None,
        slots: upstream.slots,
        state: match active.iter().any(|drain| drain.target.contains(upstream)) {
            true => discovery::State::Draining,
            false => discovery::State::Ready,
        },
        cold_left: Duration::ZERO,
        born: 0,
    };
    declared.map(entry).map(sync::Arc::new).collect()
}
