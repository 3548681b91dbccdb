//! The resource API.
//!
//! Owns the routes and the checks of a request's form. Relies on [`access`] for who may, and on the
//! store's follower for changes.

use std::collections;
use std::sync;
use std::time::Duration;

use axum::Json;
use axum::body;
use axum::extract::{Path, Query, Request, State};
use axum::middleware;
use axum::response::{IntoResponse, Response};
use axum::routing;
use http::{HeaderMap, Method, StatusCode, header};
use model::change;
use model::document;
use model::resource;
use model::revision;
use serde_json::json;
use tokio::sync::{mpsc, oneshot};

use crate::common::store::accept;
use crate::common::store::client;
use crate::owner::handle;
use crate::owner::operators::access;
use crate::owner::operators::dump;
use crate::owner::operators::problem::Problem;
use crate::owner::operators::status;
use crate::owner::operators::stream;
use crate::owner::settings;
use crate::owner::stats;
use crate::owner::store::follower;

/// Largest body of a change: a store's value.
const LARGEST_BODY: usize = 1 << 20;

/// Longest time for this node to act on a change that it has written.
const READ_WRITTEN: Duration = Duration::from_secs(1);

/// Header by which an operator names an operation.
const OPERATION: &str = "yokespoke-operation";

/// What the operators' context works with.
#[derive(Clone, Debug)]
pub struct Context {
    /// The decisions.
    pub handle: handle::Handle,
    /// Where changes go; when full, the operator has to try again.
    pub writes: mpsc::Sender<follower::Write>,
    /// The tokens.
    pub access: access::Access,
    /// Calls to the store.
    pub calls: sync::Arc<client::Calls>,
    /// Figures of the callers' context.
    pub stats: sync::Arc<stats::Stats>,
}

type Shared = sync::Arc<Context>;

/// Returns the routes of the operators' context.
pub fn router(context: Context) -> axum::Router {
    let context: Shared = sync::Arc::new(context);
    axum::Router::new()
        .route("/v1/state", routing::get(state))
        .route("/v1/changes", routing::post(apply))
        .route("/v1/operations/{operation}", routing::get(operation))
        .route("/v1/{kind}", routing::get(list))
        .route("/v1/{kind}/{name}", routing::get(get).put(put).delete(delete))
        .layer(middleware::from_fn_with_state(sync::Arc::clone(&context), admit))
        .layer(axum::extract::DefaultBodyLimit::max(LARGEST_BODY))
        .with_state(context)
}

/// Lets a request pass whose token allows its method.
async fn admit(
    State(context): State<Shared>,
    request: Request,
    next: middleware::Next,
) -> Response {
    let Some(operator) = context.access.check(request.headers()) else {
        let problem = Problem::new(StatusCode::UNAUTHORIZED, "expected a valid bearer token");
        return problem.into_response();
    };
    let is_read = request.method() == Method::GET;
    if !is_read && operator.may != settings::May::Write {
        let message = format!("operator {} may only read", operator.name);
        return Problem::new(StatusCode::FORBIDDEN, message).into_response();
    }
    if !is_read {
        let (method, path) = (request.method().as_str(), request.uri().path());
        log::info!(operator = operator.name.as_str(), method, path; "operator-write");
    }
    next.run(request).await
}

async fn state(State(context): State<Shared>) -> Result<Json<dump::Dump>, Problem> {
    let pressure = context.handle.pressure();
    let (calls, figures) = (context.calls.counts(), context.stats.figures());
    let dump = context.handle.look(move |s| dump::Dump::new(s, pressure, calls, figures)).await;
    dump.map(Json).ok_or_else(Problem::busy)
}

async fn list(
    State(context): State<Shared>,
    Path(kind): Path<String>,
    Query(query): Query<collections::BTreeMap<String, String>>,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    if query.get("watch").is_some_and(|value| value == "true") {
        return Ok(stream::watch(kind, context.handle.views()));
    }
    let view = context.handle.view();
    let resources = view.config.snapshot.resources().into_iter();
    let items: Vec<status::Item> = resources
        .filter(|(_, r)| r.kind() == kind)
        .map(|(revision, r)| status::Item::new(&view, revision, r))
        .collect();
    let answer = json!({ "revision": view.config.revision(), "items": items });
    Ok(Json(answer).into_response())
}

async fn get(
    State(context): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    let view = context.handle.view();
    let found = view.config.snapshot.resource(kind, &name);
    let (revision, found) = found.ok_or_else(|| Problem::missing(&format!("{kind} {name}")))?;
    let tag = [(header::ETAG, etag(view.config.revision()))];
    Ok((tag, Json(status::Item::new(&view, revision, found))).into_response())
}

async fn put(
    State(context): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
    body: body::Bytes,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    let text = text(&body)?;
    let resource = document::read_kind("body", kind, text).map_err(bad_document)?;
    if resource.name() != name {
        let message = format!("the path names {name}, the body {}", resource.name());
        return Err(Problem::new(StatusCode::BAD_REQUEST, message));
    }
    change_one(&context, &headers, change::Step::Put { resource }).await
}

async fn delete(
    State(context): State<Shared>,
    Path((kind, name)): Path<(String, String)>,
    headers: HeaderMap,
) -> Result<Response, Problem> {
    let kind = parse_kind(&kind)?;
    change_one(&context, &headers, change::Step::Delete { kind, name }).await
}

async fn apply(State(context): State<Shared>, body: body::Bytes) -> Result<Response, Problem> {
    let change: change::Change = document::read("body", text(&body)?).map_err(bad_document)?;
    if change.operation.is_empty() || change.operation.len() > MOST_OPERATION {
        let message = "operation: expected an id of 1 to 128 characters";
        return Err(Problem::new(StatusCode::BAD_REQUEST, message));
    }
    submit(&context, change).await
}

/// Longest operation id, in bytes.
const MOST_OPERATION: usize = 128;

async fn operation(
    State(context): State<Shared>,
    Path(operation): Path<String>,
) -> Result<Json<status::Operation>, Problem> {
    let view = context.handle.view();
    let found = status::Operation::find(&view, &operation);
    found.map(Json).ok_or_else(|| {
        let revision = view.config.revision();
        let message = format!(
            "operation {operation} is not among the latest accepted up to revision {revision}"
        );
        Problem::new(StatusCode::NOT_FOUND, message)
    })
}

async fn change_one(
    context: &Context,
    headers: &HeaderMap,
    step: change::Step,
) -> Result<Response, Problem> {
    let operation = headers.get(OPERATION).and_then(|v| v.to_str().ok());
    let operation =
        operation.map_or_else(|| format!("{:016x}", rand::random::<u64>()), str::to_owned);
    let expected = match headers.get(header::IF_MATCH) {
        None => None,
        Some(value) => Some(parse_etag(value).ok_or_else(|| {
            Problem::new(StatusCode::BAD_REQUEST, "If-Match: expected a revision in quotes")
        })?),
    };
    submit(context, change::Change { operation, expected, steps: vec![step] }).await
}

async fn submit(context: &Context, change: change::Change) -> Result<Response, Problem> {
    let operation = change.operation.clone();
    let (reply, outcome) = oneshot::channel();
    let write = follower::Write { change, reply };
    context.writes.try_send(write).map_err(|_| Problem::busy())?;
    // A lost reply means that the process is ending; the write may have been sent.
    let outcome = outcome.await.unwrap_or(accept::Outcome::Unknown { operation });
    if let accept::Outcome::Accepted { revision } = &outcome {
        await_revision(context, *revision).await;
    }
    let status = match &outcome {
        accept::Outcome::Accepted { .. } => StatusCode::OK,
        accept::Outcome::Refused { refusal } => match refusal {
            model::refusal::Refusal::Invalid { .. } => StatusCode::UNPROCESSABLE_ENTITY,
            model::refusal::Refusal::Conflict { .. } => StatusCode::CONFLICT,
            model::refusal::Refusal::Missing { .. } => StatusCode::NOT_FOUND,
        },
        accept::Outcome::Unknown { .. } => StatusCode::ACCEPTED,
        accept::Outcome::Unavailable => StatusCode::SERVICE_UNAVAILABLE,
    };
    Ok((status, Json(outcome)).into_response())
}

/// Waits until this node acts on a revision, so that an operator reads what was just written.
async fn await_revision(context: &Context, revision: revision::Revision) {
    let mut views = context.handle.views();
    let seen = views.wait_for(|view| view.config.revision() >= revision);
    // When it takes longer, the operator reads an older state for a moment.
    let _ = tokio::time::timeout(READ_WRITTEN, seen).await;
}

fn parse_kind(text: &str) -> Result<resource::Kind, Problem> {
    let kind = resource::Kind::ALL.into_iter().find(|kind| kind.plural() == text);
    kind.ok_or_else(|| Problem::missing(&format!("collection {text}")))
}

fn text(body: &[u8]) -> Result<&str, Problem> {
    std::str::from_utf8(body)
        .map_err(|_| Problem::new(StatusCode::BAD_REQUEST, "the body is not UTF-8"))
}

fn bad_document(fault: document::Error) -> Problem {
    Problem::new(StatusCode::BAD_REQUEST, fault.to_string())
}

fn etag(revision: revision::Revision) -> String {
    format!("\"{revision}\"")
}

fn parse_etag(value: &http::HeaderValue) -> Option<revision::Revision> {
    let text = value.to_str().ok()?.trim();
    let number = text.strip_prefix('"')?.strip_suffix('"')?;
    number.parse().ok().map(revision::Revision)
}
