//! The platform's metadata store over HTTP, with listeners that can fail.
//!
//! It owns the running servers and the clock of leases; the rules are those of
//! [`crate::platform::items`], the faults those of [`crate::platform::listener`]. It relies on the
//! platform's adapter for paths and forms.

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time::{Duration, Instant};

use ::platform::headers;
use ::platform::store::{item, lease, paths};
use axum::Json;
use axum::extract::{Path, Query, State};
use axum::http::StatusCode;
use axum::response::{IntoResponse, Response};
use axum::routing;
use tokio::sync::watch;

use crate::loopback;
use crate::platform::calls;
use crate::platform::items;
use crate::platform::listener;
use crate::server;

/// Longest time a watch waits; not measured.
const LONGEST_WAIT: Duration = Duration::from_secs(30);

/// Time between two checks for expired leases; not measured.
const LEASE_CHECK: Duration = Duration::from_millis(50);

/// Time for which a silent listener holds a call, past any timeout of a caller; not measured.
const SILENCE: Duration = Duration::from_secs(60);

/// A running store.
#[derive(Debug)]
pub struct Store {
    ip: net::Ipv4Addr,
    shared: sync::Arc<Shared>,
    servers: sync::Mutex<Vec<server::Server>>,
}

#[derive(Debug)]
struct Shared {
    items: sync::Mutex<items::Items>,
    revision: watch::Sender<u64>,
    /// What stale reads answer; what latest ones do when there is none.
    old: sync::Mutex<Option<item::Page>>,
    calls: sync::Mutex<calls::Calls>,
}

/// What a handler needs: the store, and the listener that was called.
#[derive(Clone, Debug)]
struct Context {
    shared: sync::Arc<Shared>,
    listener: sync::Arc<listener::Listener>,
}

type Queries = Query<collections::HashMap<String, String>>;

impl Store {
    /// Starts an empty store without listeners, inside a runtime, on the address of this process.
    #[must_use]
    pub fn start() -> Self {
        Self::start_at(loopback::address())
    }

    /// Starts an empty store without listeners, inside a runtime.
    #[must_use]
    pub fn start_at(ip: net::Ipv4Addr) -> Self {
        let (revision, _) = watch::channel(0);
        let shared = sync::Arc::new(Shared {
            items: sync::Mutex::default(),
            revision,
            old: sync::Mutex::default(),
            calls: sync::Mutex::default(),
        });
        tokio::spawn(expire(sync::Arc::downgrade(&shared)));
        Self { ip, shared, servers: sync::Mutex::default() }
    }

    /// Returns the address on which its listeners open.
    #[must_use]
    pub fn ip(&self) -> net::Ipv4Addr {
        self.ip
    }

    /// Opens a listener on a free port.
    ///
    /// # Errors
    ///
    /// Fails when no address can be listened on.
    pub async fn open(&self) -> io::Result<sync::Arc<listener::Listener>> {
        let socket = tokio::net::TcpListener::bind((self.ip, 0)).await?;
        let listener = sync::Arc::new(listener::Listener::new(socket.local_addr()?));
        let context = Context {
            shared: sync::Arc::clone(&self.shared),
            listener: sync::Arc::clone(&listener),
        };
        let router = axum::Router::new()
            .route(paths::RANGE, routing::get(range))
            .route(paths::WATCH, routing::get(watch_changes))
            .route(paths::WRITE, routing::post(write))
            .route(paths::LEASE, routing::post(grant))
            .route(&format!("{}/{{lease}}", paths::KEEP), routing::post(renew))
            .route(&format!("{}/{{lease}}", paths::END_LEASE), routing::delete(end))
            .layer(axum::middleware::map_response_with_state(context.clone(), name_era))
            .with_state(context);
        let refused = sync::Arc::default();
        let server = server::Server::serve(socket, router, server::MANY, refused)?;
        lock(&self.servers).push(server);
        Ok(listener)
    }

    /// Writes a value as the operator or an upstream does; returns the revision.
    pub fn put(&self, key: &str, value: &[u8]) -> u64 {
        let put = item::Put { key: key.to_owned(), value: value.to_vec(), lease: 0 };
        let write = item::Write { put: vec![put], ..item::Write::default() };
        self.write(&write)
    }

    /// Removes a key; returns the revision.
    pub fn remove(&self, key: &str) -> u64 {
        let write = item::Write { remove: vec![key.to_owned()], ..item::Write::default() };
        self.write(&write)
    }

    /// Removes all keys of a prefix in one change, as when leases expire together.
    pub fn remove_all(&self, prefix: &str) -> u64 {
        let write = item::Write { remove: self.keys(prefix), ..item::Write::default() };
        self.write(&write)
    }

    fn write(&self, write: &item::Write) -> u64 {
        let written = self.shared.change(|items| items.write(write));
        written.expect("a write without conditions and leases is not refused")
    }

    /// Forgets the history so far, so that watches from before fail.
    pub fn forget(&self) {
        self.shared.change(items::Items::forget);
    }

    /// Lets stale reads answer from now on what the store holds now.
    pub fn age(&self) {
        let items = lock(&self.shared.items);
        *lock(&self.shared.old) = Some(page(&items, ""));
    }

    /// Copies what the store holds now.
    #[must_use]
    pub fn copy(&self) -> items::Items {
        lock(&self.shared.items).clone()
    }

    /// Goes back to a copy, as a store does that lost its newest seconds; answers name the next era
    /// from now on.
    pub fn restore(&self, copy: &items::Items) {
        self.shared.change(|items| items.restore(copy));
    }

    /// Returns the calls that were answered so far.
    #[must_use]
    pub fn calls(&self) -> calls::Calls {
        *lock(&self.shared.calls)
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

impl Context {
    /// Returns the answer of a listener whose mode refuses the call.
    async fn refusal(&self) -> Option<Response> {
        self.refusal_of(false).await
    }

    /// Returns the answer of a listener whose mode refuses a read; `is_stale` is whether an old answer is enough.
    async fn refusal_of(&self, is_stale: bool) -> Option<Response> {
        self.listener.count();
        match self.listener.mode() {
            listener::Mode::Open | listener::Mode::LosesWrites => None,
            listener::Mode::StaleReads if is_stale => None,
            listener::Mode::Busy => Some(StatusCode::SERVICE_UNAVAILABLE.into_response()),
            listener::Mode::Many => Some(StatusCode::TOO_MANY_REQUESTS.into_response()),
            listener::Mode::Silent | listener::Mode::StaleReads => {
                tokio::time::sleep(SILENCE).await;
                Some(StatusCode::SERVICE_UNAVAILABLE.into_response())
            }
        }
    }

    /// Returns items as the nodes of this listener read them.
    fn read(&self, items: Vec<item::Item>) -> Vec<item::Item> {
        let read =
            |item: item::Item| item::Item { value: self.listener.with_paths(item.value), ..item };
        items.into_iter().map(read).collect()
    }

    /// Answers a write that was done, late if the listener loses the answers of writes.
    async fn answer_write(&self, response: Response) -> Response {
        if self.listener.mode() == listener::Mode::LosesWrites {
            tokio::time::sleep(SILENCE).await;
        }
        response
    }
}

/// Names the era in an answer, refusals among them; the first one has no number, as in stores that
/// are never restored from a copy.
async fn name_era(State(context): State<Context>, mut response: Response) -> Response {
    let era = lock(&context.shared.items).era();
    if era > 0 {
        response.headers_mut().insert(headers::STORE_ERA, era.into());
    }
    response
}

async fn expire(shared: sync::Weak<Shared>) {
    loop {
        tokio::time::sleep(LEASE_CHECK).await;
        let Some(shared) = shared.upgrade() else { return };
        shared.change(|items| items.expire(Instant::now()));
    }
}

async fn range(State(context): State<Context>, Query(query): Queries) -> Response {
    let is_stale = query.get("stale").is_some_and(|stale| stale == "1");
    if let Some(response) = context.refusal_of(is_stale).await {
        return response;
    }
    let items = lock(&context.shared.items);
    let prefix = query.get("path_prefix").map_or("", String::as_str);
    let mut calls = lock(&context.shared.calls);
    let old = match is_stale {
        true => {
            calls.stale_reads += 1;
            lock(&context.shared.old).clone()
        }
        false => {
            calls.reads += 1;
            None
        }
    };
    let mut page = old.unwrap_or_else(|| page(&items, prefix));
    page.items.retain(|item| item.key.starts_with(prefix));
    page.items = context.read(page.items);
    Json(page).into_response()
}

/// Returns all items of a prefix as one page.
fn page(items: &items::Items, prefix: &str) -> item::Page {
    item::Page { items: items.range(prefix), at: items.revision(), ..item::Page::default() }
}

async fn watch_changes(State(context): State<Context>, Query(query): Queries) -> Response {
    if let Some(response) = context.refusal().await {
        return response;
    }
    lock(&context.shared.calls).watches += 1;
    let prefix = query.get("path_prefix").map_or("", String::as_str);
    // An absent or malformed number is 0: no history before it, and no wait.
    let number = |name: &str| query.get(name).and_then(|v| v.parse::<u64>().ok()).unwrap_or(0);
    let after = number("after");
    let wait = Duration::from_millis(number("wait_ms")).min(LONGEST_WAIT);
    let until = tokio::time::Instant::now() + wait;
    let mut revisions = context.shared.revision.subscribe();
    loop {
        let (changes, at) = {
            let items = lock(&context.shared.items);
            (items.changes(prefix, after), items.revision())
        };
        let Some(events) = changes else { return StatusCode::GONE.into_response() };
        let is_over = tokio::time::Instant::now() >= until;
        if !events.is_empty() || is_over {
            let events = context.read(events);
            return Json(item::Events { events, at }).into_response();
        }
        // A change and the end of the wait are distinguished at the loop's start.
        let _ = tokio::time::timeout_at(until, revisions.changed()).await;
    }
}

async fn write(State(context): State<Context>, Json(write): Json<item::Write>) -> Response {
    if let Some(response) = context.refusal().await {
        return response;
    }
    lock(&context.shared.calls).writes += 1;
    let written = context.shared.change(|items| items.write(&write));
    let response = match written {
        Ok(revision) => Json(serde_json::json!({ "revision": revision })).into_response(),
        Err(items::Refused::Conflict(items)) => {
            let body = Json(serde_json::json!({ "items": items }));
            (StatusCode::PRECONDITION_FAILED, body).into_response()
        }
        Err(items::Refused::NoLease) => StatusCode::NOT_FOUND.into_response(),
    };
    context.answer_write(response).await
}

async fn grant(State(context): State<Context>, Json(wanted): Json<lease::Wanted>) -> Response {
    if let Some(response) = context.refusal().await {
        return response;
    }
    lock(&context.shared.calls).writes += 1;
    let lease = context.shared.change(|items| items.lease(wanted.time, Instant::now()));
    let granted = lease::Granted { lease, time: wanted.time };
    context.answer_write(Json(granted).into_response()).await
}

async fn renew(State(context): State<Context>, Path(lease): Path<u64>) -> Response {
    if let Some(response) = context.refusal().await {
        return response;
    }
    lock(&context.shared.calls).renewals += 1;
    match context.shared.change(|items| items.renew(lease, Instant::now())) {
        Some(time) => Json(lease::Wanted { time }).into_response(),
        None => StatusCode::NOT_FOUND.into_response(),
    }
}

async fn end(State(context): State<Context>, Path(lease): Path<u64>) -> Response {
    if let Some(response) = context.refusal().await {
        return response;
    }
    match context.shared.change(|items| items.end_lease(lease)) {
        true => StatusCode::OK.into_response(),
        false => StatusCode::NOT_FOUND.into_response(),
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
