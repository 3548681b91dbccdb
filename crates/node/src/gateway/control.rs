//! Responses to other nodes and operators: changes, metrics and the state dump.
//!
//! Defines the paths of the metrics and the dump, and the dump's format.

use std::net;
use std::time::Instant;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use model::fingerprint;
use model::id;
use platform::field;
use platform::store::position;
use steer::dispatch::dispatcher;
use steer::dispatch::incarnation;
use steer::dispatch::quarantine::ruling::Ruling;
use steer::dispatch::upstream;

use crate::gateway::directory;
use crate::gateway::peer;
use crate::gateway::slots;
use crate::gateway::state;
use crate::gateway::store_calls;

/// Path of the metrics.
pub const METRICS: &str = "/metrics";

/// Maximum number of organisations in the state dump.
const MOST_NAMED: usize = 50;

/// Path of the state dump.
pub const DUMP: &str = "/dump";

/// Path that ends the quarantine of requests; the query is their fingerprint.
pub const RELEASE: &str = "/quarantine/release";

/// Responds to a request at the address for peers.
#[must_use]
pub fn answer(state: &state::State, request: &Request<Incoming>) -> Response<Full<Bytes>> {
    match request.uri().path() {
        peer::CHANGES => changes(state, request.uri().query().unwrap_or_default()),
        METRICS => {
            state.update_gauges(Instant::now());
            let text = state.metrics.text() + &slots::metrics_text(state);
            with_type("text/plain; version=0.0.4", text.into_bytes())
        }
        DUMP => with_type("application/json", dump(state)),
        RELEASE if request.method() == Method::POST => {
            release(state, request.uri().query().unwrap_or_default())
        }
        RELEASE => status(StatusCode::METHOD_NOT_ALLOWED),
        _ => status(StatusCode::NOT_FOUND),
    }
}

fn changes(state: &state::State, after: &str) -> Response<Full<Bytes>> {
    let Ok(after) = after.parse::<position::Position>() else {
        return status(StatusCode::BAD_REQUEST);
    };
    let replica = state.replica.borrow();
    match replica.is_complete() {
        false => status(StatusCode::SERVICE_UNAVAILABLE),
        true => match state.extracts.borrow_mut().get(&replica, after) {
            Ok(bytes) => with_type("application/octet-stream", bytes),
            Err(error) => {
                log_not_written("changes", &error);
                status(StatusCode::INTERNAL_SERVER_ERROR)
            }
        },
    }
}

fn release(state: &state::State, fingerprint: &str) -> Response<Full<Bytes>> {
    let Some(scope) = fingerprint::Scope::parse(fingerprint) else {
        return status(StatusCode::BAD_REQUEST);
    };
    let is_held = state.quarantine.borrow().held(Instant::now()).any(|(held, _)| *held == scope);
    if !is_held {
        return status(StatusCode::NOT_FOUND);
    }
    state.release(scope);
    status(StatusCode::OK)
}

/// Returns the quarantined requests.
fn held(state: &state::State, now: Instant) -> Vec<serde_json::Value> {
    let millis = |at: Instant| field::whole_millis(now.saturating_duration_since(at));
    let quarantine = state.quarantine.borrow();
    let ruling = |(scope, ruling): (&fingerprint::Scope, &Ruling)| {
        serde_json::json!({
            "fingerprint": scope.to_string(),
            "crashes": ruling.crashes,
            "held_ms": millis(ruling.since),
            "asked_ms_ago": millis(ruling.last_request),
        })
    };
    quarantine.held(now).map(ruling).collect()
}

/// Returns the state dump.
fn dump(state: &state::State) -> Vec<u8> {
    let now = Instant::now();
    let dispatcher = state.dispatcher.borrow();
    let members = state.members.borrow();
    let alive: Vec<&str> = members.alive(now).map(|m| m.node.as_str()).collect();
    let unreached = dispatcher.unreached_groups();
    let unreached: Vec<String> =
        unreached.map(|(service, region)| format!("{service}@{region}")).collect();
    let replica = state.replica.borrow();
    let mut dump = serde_json::json!({
        "me": *state.me.borrow(),
        "store_reached": state.is_store_reached(),
        "store_calls": store_calls(state, now),
        "copy_status": state.copy_status().as_str(),
        "copy_age_ms": state.copy_age(now).map(field::whole_millis),
        "revision": replica.at().revision,
        "store_era": replica.at().era,
        "fleet": state.fleet().map(|fleet| fleet.to_string()),
        "config_version": state.routing().map(|r| r.version),
        "evacuated": dispatcher.evacuated().iter().map(id::Hall::as_str).collect::<Vec<_>>(),
        "peers_alive": alive,
        "named_to_callers": named_to_callers(state),
        "groups_unreached": unreached,
        "organisations_near_limit": near_limit(state),
        "quarantine": held(state, now),
        "splits": splits(&dispatcher),
        "demand": demand(&dispatcher),
        "upstreams": upstreams(&dispatcher, now),
    });
    let slots = slots::dump_entries(state, now);
    if !slots.is_empty() {
        dump["slots"] = slots.into();
    }
    serde_json::to_vec_pretty(&dump).unwrap_or_else(|error| {
        log_not_written("dump", &error);
        Vec::new()
    })
}

/// Returns the addresses that a look-up for a caller in this node's region names.
fn named_to_callers(state: &state::State) -> Vec<String> {
    let region = state.me.borrow().region.clone();
    let named = directory::addresses(state, &region, &directory::Wanted::default());
    named.iter().map(net::SocketAddr::to_string).collect()
}

/// Returns the organisations that are near their limits at this node.
fn near_limit(state: &state::State) -> Vec<String> {
    let quotas = state.quotas.borrow();
    quotas.near().take(MOST_NAMED).map(ToString::to_string).collect()
}

/// Returns the pending calls to the store and the time since its latest response.
fn store_calls(state: &state::State, now: Instant) -> serde_json::Value {
    let waited = |kind| state.calls.waiting(kind, now).map(field::whole_millis);
    let waiting =
        store_calls::Kind::ALL.map(|kind| (kind.as_str().to_owned(), waited(kind).into()));
    let waiting: serde_json::Map<String, serde_json::Value> = waiting.into_iter().collect();
    serde_json::json!({
        "answered_ms_ago": state.calls.since_answer(now).map(field::whole_millis),
        "waiting_ms": waiting,
    })
}

fn upstreams(dispatcher: &dispatcher::Dispatcher, now: Instant) -> Vec<serde_json::Value> {
    let upstream = |u: &upstream::Upstream| {
        serde_json::json!({
            "id": u.entry.id.as_str(),
            "service": u.entry.service.as_str(),
            "address": u.entry.address.to_string(),
            "hall": u.entry.hall.as_str(),
            "usable": u.is_usable(now),
            "lapsed": u.lapsed_until.is_some(),
            "cold": u.slow_start.is_cold(now),
            "ejected": u.health.is_ejected(now),
            "in_flight": u.load.in_flight(),
            "requests": u.load.requests(now),
            "failures": u.health.failure_rate(now),
            "limit": limit(dispatcher, u, now),
            "leaving": leaving(dispatcher, u, now),
            "rests_ms": u.rests_until.map(|until| field::whole_millis(until.saturating_duration_since(now))),
        })
    };
    dispatcher.upstreams().map(upstream).collect()
}

/// Returns the limit that an upstream announces, its origin, and this node's usage; null if there
/// is no limit.
fn limit(
    dispatcher: &dispatcher::Dispatcher,
    upstream: &upstream::Upstream,
    now: Instant,
) -> serde_json::Value {
    let millis = |at: Instant| field::whole_millis(now.saturating_duration_since(at));
    let observation = dispatcher.limits().observation(upstream.key);
    let account = dispatcher.limits().account(upstream.key);
    let shown = observation.and_then(|observation| Some((observation, observation.limit?)));
    shown.map_or(serde_json::Value::Null, |(observation, rate)| {
        serde_json::json!({
            "per_second": rate.per_second(),
            "named_ms": millis(observation.since),
            "observed_ms_ago": millis(observation.at),
            "reported_by": observation.by.as_ref().map(id::Node::as_str),
            "asked_here": account.map(|account| account.asked.get(now)),
            "sent_here": account.map(|account| account.admitted.get(now)),
            "owed": account.map(|account| account.bucket.debt()),
        })
    })
}

/// Returns when an upstream announced that it is leaving, and the node that reported it; null if it did not.
fn leaving(
    dispatcher: &dispatcher::Dispatcher,
    upstream: &upstream::Upstream,
    now: Instant,
) -> serde_json::Value {
    let observed = dispatcher.leavings().get(&incarnation::Incarnation::of(&upstream.entry));
    observed.map_or(serde_json::Value::Null, |observation| {
        serde_json::json!({
            "observed_ms_ago": field::whole_millis(now.saturating_duration_since(observation.at)),
            "reported_by": observation.by.as_ref().map(id::Node::as_str),
        })
    })
}

fn splits(dispatcher: &dispatcher::Dispatcher) -> Vec<serde_json::Value> {
    let part = |(region, part): (&id::Region, u32)| (region.as_str().to_owned(), part.into());
    let splits = dispatcher.splits().map(|(service, split)| {
        let parts: serde_json::Map<String, serde_json::Value> = split.parts().map(part).collect();
        serde_json::json!({ "service": service.as_str(), "millionths": parts })
    });
    splits.collect()
}

/// Returns the demand by service and region; services whose upstreams are all in one region have none.
fn demand(dispatcher: &dispatcher::Dispatcher) -> Vec<serde_json::Value> {
    let demand = dispatcher.demand();
    let rate = |(service, region, per_second): (&id::Service, &id::Region, f64)| {
        let share = demand.shares(service).and_then(|shares| shares.get(region));
        serde_json::json!({
            "service": service.as_str(),
            "region": region.as_str(),
            "per_second": per_second,
            "share_used": share,
        })
    };
    demand.rates().map(rate).collect()
}

/// Logs a response that could not be encoded, which would be a bug.
fn log_not_written(answer: &str, error: &dyn std::error::Error) {
    let error = error.to_string();
    log::error!(answer, error = error.as_str(); "answer-not-written");
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn with_type(kind: &'static str, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    response.headers_mut().insert(header::CONTENT_TYPE, header::HeaderValue::from_static(kind));
    response
}
