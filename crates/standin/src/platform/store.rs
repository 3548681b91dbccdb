//! The platform's metadata store over HTTP, with doors that can fail.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use ::platform::store::{item, lease, paths};
use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing;
use tokio::sync::watch;

use crate::platform::door;
use crate::platform::items;
use crate::server;

/// Longest time a watch waits.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Time between two looks at leases.
const LEASE_LOOK: Duration = Duration::from_millis(50);

/// Time for which a silent door holds a call.
const SILENCE: Duration = Duration::from_secs(60);

/// A running store.
#[derive(Debug)]
pub struct Store {
    shared: sync::Arc<Shared>,
    servers: sync::Mutex<Vec<server::Server>>,
}

#[derive(Debug)]
struct Shared {
    items: sync::Mutex<items::Items>,
    revision: watch::Sender<u64>,
}

/// A door, with what stands behind it.
#[derive(Clone, Debug)]
struct Behind {
    shared: sync::Arc<Shared>,
    door: sync::Arc<door::Door>,
}

type Queries = Query<collections::HashMap<String, String>>;

impl Store {
    /// Starts an empty store without doors, inside a runtime.
    #[must_use]
    pub fn start() -> Self {
        let (revision, _) = watch::channel(0);
        let shared = sync::Arc::new(Shared { items: sync::Mutex::default(), revision });
        tokio::spawn(expire(sync::Arc::downgrade(&shared)));
        Self { shared, servers: sync::Mutex::default() }
    }

    /// Opens a door on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no address can be listened on.
    pub async fn open(&self) -> io::Result<sync::Arc<door::Door>> {
        let listener = tokio::net::TcpListener::bind((net::Ipv4Addr::LOCALHOST, 0)).await?;
        let door = sync::Arc::new(door::Door::new(listener.local_addr()?));
        let behind =
            Behind { shared: sync::Arc::clone(&self.shared), door: sync::Arc::clone(&door) };
        let router = axum::Router::new()
            .route(paths::RANGE, routing::get(range))
            .route(paths::WATCH, routing::get(watch_changes))
            .route(paths::WRITE, routing::post(write))
            .route(paths::LEASE, routing::post(grant))
            .route(&format!("{}/{{lease}}", paths::KEEP), routing::post(keep))
            .route(&format!("{}/{{lease}}", paths::END_LEASE), routing::delete(end))
            .with_state(behind);
        let refused = sync::Arc::default();
        let server = server::Server::serve(listener, router, server::MANY, refused)?;
        lock(&self.servers).push(server);
        Ok(door)
    }

    /// Writes a value as the operator or an upstream does; returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let put = item::Put { key: key.to_owned(), value: value.to_vec(), lease: 0 };
        let write = item::Write { put: vec![put], ..item::Write::default() };
        self.shared.change(|items| items.write(&write).unwrap_or_default())
    }

    /// Removes a key; returns the revision.
    pub fn remove(&self, key: &str) -> u64 {
        let write = item::Write { remove: vec![key.to_owned()], ..item::Write::default() };
        self.shared.change(|items| items.write(&write).unwrap_or_default())
    }

    /// Removes all keys of a prefix in one change, as when leases lapse together.
    pub fn remove_all(&self, prefix: &str) -> u64 {
        let write = item::Write { remove: self.keys(prefix), ..item::Write::default() };
        self.shared.change(|items| items.write(&write).unwrap_or_default())
    }

    /// Forgets the history so far, so that watches from before fail.
    pub fn forget(&self) {
        self.shared.change(items::Items::forget);
    }

    /// Returns the keys of a prefix.
    #[must_use]
    pub fn keys(&self, prefix: &str) -> Vec<String> {
        let items = lock(&self.shared.items);
        items.range(prefix).into_iter().map(|item| item.key).collect()
    }
}

impl Shared {
    fn change<T>(&self, change: impl FnOnce(&mut items::Items) -> T) -> T {
        let mut items = lock(&self.items);
        let changed = change(&mut items);
        self.revision.send_replace(items.revision());
        changed
    }
}

impl Behind {
    /// Returns the answer of a door that does not serve, if it does not.
    async fn turned_away(&self) -> Option<Response> {
        self.door.count();
        match self.door.mode() {
            door::Mode::Open | door::Mode::LosesWrites => None,
            door::Mode::Busy => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            door::Mode::Many => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
            door::Mode::Silent => {
                tokio::time::sleep(SILENCE).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
        }
    }

    /// Keeps silent about a write that was done, if the door loses them.
    async fn written(&self, response: Response) -> Response {
        if self.door.mode() == door::Mode::LosesWrites {
            tokio::time::sleep(SILENCE).await;
        }
        response
    }
}

async fn expire(shared: sync::Weak<Shared>) {
    loop {
        tokio::time::sleep(LEASE_LOOK).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.change(|items| items.expire(Instant::now()));
    }
}

async fn range(State(behind): State<Behind>, Query(query): Queries) -> Response {
    if let Some(response) = behind.turned_away().await {
        return response;
    }
    let items = lock(&behind.shared.items);
    let prefix = query.get("path_prefix").map_or("", String::as_str);
    let page = item::Page { items: items.range(prefix), more: false, at: items.revision() };
    Json(page).into_response()
}

async fn watch_changes(State(behind): State<Behind>, Query(query): Queries) -> Response {
    if let Some(response) = behind.turned_away().await {
        return response;
    }
    let prefix = query.get("path_prefix").map_or("", String::as_str);
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let wait = Duration::from_millis(number("wait_ms")).min(LONGEST_WAIT);
    let until = tokio::time::Instant::now() + wait;
    let mut revisions = behind.shared.revision.subscribe();
    loop {
        let (changes, at) = {
            let items = lock(&behind.shared.items);
            (items.changes(prefix, after), items.revision())
        };
        let Some(events) = changes else { return StatusCode::GONE.into_response() };
        let is_over = tokio::time::Instant::now() >= until;
        if !events.is_empty() || is_over {
            return Json(item::Events { events, at }).into_response();
        }
        let _ = tokio::time::timeout_at(until, revisions.changed()).await;
    }
}

async fn write(State(behind): State<Behind>, Json(write): Json<item::Write>) -> Response {
    if let Some(response) = behind.turned_away().await {
        return response;
    }
    let written = behind.shared.change(|items| items.write(&write));
    let response = match written {
        Ok(revision) => Json(serde_json::json!({ "revision": revision })).into_response(),
        Err(items::Refused::Conflict(items)) => {
            let body = Json(serde_json::json!({ "items": items }));
            (StatusCode::PRECONDITION_FAILED, body).into_response()
        }
        Err(items::Refused::NoLease) => StatusCode::NOT_FOUND.into_response(),
    };
    behind.written(response).await
}

async fn grant(State(behind): State<Behind>, Json(wanted): Json<lease::Wanted>) -> Response {
    if let Some(response) = behind.turned_away().await {
        return response;
    }
    let lease = behind.shared.change(|items| items.lease(wanted.time, Instant::now()));
    let granted = lease::Granted { lease, time: wanted.time };
    behind.written(Json(granted).into_response()).await
}

async fn keep(State(behind): State<Behind>, Path(lease): Path<u64>) -> Response {
    if let Some(response) = behind.turned_away().await {
        return response;
    }
    match behind.shared.change(|items| items.keep(lease, Instant::now())) {
        Some(time) => Json(lease::Wanted { time }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end(State(behind): State<Behind>, Path(lease): Path<u64>) -> Response {
    if let Some(response) = behind.turned_away().await {
        return response;
    }
    match behind.shared.change(|items| items.end_lease(lease)) {
        true => StatusCode::OK.into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
