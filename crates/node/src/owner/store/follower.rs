//! Follows the store: the configuration and the region's table, read, watched and written.
//!
//! Every node reads both once when it starts. After that only the first two nodes of each region
//! watch, so that the store's calls grow with the regions and not with the fleet; the others learn
//! from their peers. Owns the pauses after failures. Relies on [`accept`] for what may be written.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use model::change;
use model::check;
use model::epoch;
use model::id;
use model::table;
use steer::ownership::event;
use tokio::sync::{mpsc, oneshot, watch};

use crate::common::store::accept;
use crate::common::store::edge;
use crate::owner::handle;
use crate::owner::view;

/// Time that one watch waits.
///
/// A watch that is never answered delays a configuration that no peer has. With the time for an answer (2 s), a
/// pause and a call, the delay is 7.3 s at most, below the 8 s in which a configuration must be in force. Not
/// measured; docs/CAPACITY.md counts the calls.
const WATCH: Duration = Duration::from_secs(3);

/// Pause after a call that failed or a value that cannot be read; doubled up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after calls that failed; also how late the end of an outage may be noticed. Not
/// measured; with a call that is never answered and the next one it stays below 8 s.
const LONGEST_PAUSE: Duration = Duration::from_secs(3);

/// An operator's change that is to be written.
#[derive(Debug)]
pub struct Write {
    /// The change.
    pub change: change::Change,
    /// Where its outcome goes.
    pub reply: oneshot::Sender<accept::Outcome>,
}

/// Follows the store for one node.
#[derive(Debug)]
pub struct Follower<S> {
    store: sync::Arc<S>,
    handle: handle::Handle,
    region: id::Region,
}

impl<S: edge::Store> Follower<S> {
    /// Makes a follower.
    #[must_use]
    pub fn new(store: S, handle: handle::Handle, region: id::Region) -> Self {
        Self { store: sync::Arc::new(store), handle, region }
    }

    /// Works until the rings close.
    pub async fn run(
        self,
        tables: mpsc::Receiver<sync::Arc<table::Table>>,
        writes: mpsc::Receiver<Write>,
    ) {
        tokio::join!(
            self.follow_config(),
            self.follow_table(),
            self.write_tables(tables),
            self.apply_writes(writes)
        );
    }

    async fn follow_config(&self) {
        self.follow(accept::KEY, |value| {
            let standing = accept::parse(value?);
            Some(standing.map(|s| event::Event::Configure { snapshot: s.snapshot }))
        })
        .await;
    }

    async fn follow_table(&self) {
        self.follow(&key_of(&self.region), |value| {
            let table = match value {
                Some(value) => parse_table(value),
                None => Ok(table::Table::empty(&self.region)),
            };
            Some(table.map(adopted))
        })
        .await;
    }

    /// Reads a value once, then watches it whenever this node is a watcher.
    ///
    /// `event` makes the event of each value, or of none when the first read found none. It is not repeated, so it
    /// is delivered, not just sent.
    async fn follow(
        &self,
        key: &str,
        event: impl Fn(Option<&edge::Value>) -> Option<serde_json::Result<event::Event>>,
    ) {
        let mut views = self.handle.views();
        let mut seen = None;
        let mut malformed = None;
        let mut pause = PAUSE;
        loop {
            let value = match seen {
                None => self.store.get(key).await,
                Some(after) => {
                    until_watcher(&mut views).await;
                    self.store.next(key, after, WATCH).await
                }
            };
            let value = match value {
                Ok(value) => value,
                Err(error) => {
                    rest(&mut pause, key, error).await;
                    continue;
                }
            };
            let is_news = value.is_some() || seen.is_none();
            match is_news.then(|| event(value.as_ref())).flatten() {
                Some(Ok(event)) => self.handle.deliver(event).await,
                // The answer may have been cut short, so that the value is read again.
                Some(Err(error)) => {
                    let revision = value.map(|value| value.revision);
                    if malformed != revision {
                        malformed = revision;
                        log_malformed(key, &error);
                    }
                    seen = seen.or(Some(0));
                    lengthen(&mut pause).await;
                    continue;
                }
                None => {}
            }
            pause = PAUSE;
            seen = value.map(|v| v.revision).or(seen).or(Some(0));
        }
    }

    async fn write_tables(&self, mut tables: mpsc::Receiver<sync::Arc<table::Table>>) {
        while let Some(next) = tables.recv().await {
            // The decisions propose the table again as long as it is not in force.
            if let Err(error) = self.write_table(next).await {
                let (region, error) = (self.region.as_str(), format!("{error:#}"));
                log::warn!(region, error = error.as_str(); "table-not-written");
            }
        }
    }

    /// Writes a table if it follows the one that stands; otherwise adopts that one.
    async fn write_table(&self, next: sync::Arc<table::Table>) -> anyhow::Result<()> {
        let key = key_of(&self.region);
        let standing = self.store.get(&key).await?;
        let version = standing.as_ref().map_or(0, |value| value.revision);
        let before = match standing.as_ref().map(parse_table) {
            Some(Ok(table)) => Some(table),
            Some(Err(error)) => {
                // It is replaced like none at all.
                log_malformed(&key, &error);
                None
            }
            None => None,
        };
        let epoch = before.as_ref().map_or(epoch::Epoch(0), |table| table.epoch);
        // The proposal was made for the epoch before it; another may have come in between.
        if epoch.next() != next.epoch {
            if let Some(table) = before {
                self.handle.deliver(adopted(table)).await;
            }
            return Ok(());
        }
        let bytes = Bytes::from(serde_json::to_vec(&*next)?);
        if let edge::Put::Written(_) = self.store.put(&key, bytes, version).await? {
            let seats = next.listed.len();
            log::info!(region = self.region.as_str(), epoch = next.epoch.0, seats; "table-written");
            self.handle.deliver(event::Event::Adopt { table: next, is_stored: true }).await;
        }
        Ok(())
    }

    async fn apply_writes(&self, mut writes: mpsc::Receiver<Write>) {
        while let Some(write) = writes.recv().await {
            let view = self.handle.view();
            let facts = check::context::Context {
                wall: self.handle.clock().wall_time(),
                in_use: view.in_use.clone(),
            };
            let (outcome, snapshot) = accept::apply(&*self.store, &write.change, &facts).await;
            if let Some(snapshot) = snapshot {
                self.handle.deliver(event::Event::Configure { snapshot }).await;
            }
            log_outcome(&write.change, &outcome);
            // Without a receiver the operator has disconnected; the outcome is logged.
            let _ = write.reply.send(outcome);
        }
    }
}

fn adopted(table: table::Table) -> event::Event {
    event::Event::Adopt { table: sync::Arc::new(table), is_stored: true }
}

/// Pauses after a call that failed; the first of several is logged.
async fn rest(pause: &mut Duration, key: &str, error: edge::Error) {
    if *pause == PAUSE {
        let error = error.to_string();
        log::warn!(key, error = error.as_str(); "store-unavailable");
    }
    lengthen(pause).await;
}

/// Waits for `pause`, and makes the next one longer.
async fn lengthen(pause: &mut Duration) {
    tokio::time::sleep(*pause).await;
    *pause = (*pause * 2).min(LONGEST_PAUSE);
}

fn log_malformed(key: &str, error: &serde_json::Error) {
    let error = error.to_string();
    log::error!(key, error = error.as_str(); "store-value-malformed");
}

/// Waits until this node is one that watches for its region.
async fn until_watcher(views: &mut watch::Receiver<sync::Arc<view::View>>) {
    // A closed channel means that the node ends.
    let _ = views.wait_for(|view| view.is_watcher).await;
}

fn key_of(region: &id::Region) -> String {
    format!("table/{region}")
}

fn parse_table(value: &edge::Value) -> serde_json::Result<table::Table> {
    serde_json::from_slice(&value.bytes)
}

fn log_outcome(change: &change::Change, outcome: &accept::Outcome) {
    let operation = change.operation.as_str();
    match outcome {
        accept::Outcome::Accepted { revision } => {
            log::info!(operation, revision = revision.0; "change-accepted");
        }
        accept::Outcome::Refused { refusal } => {
            let why = refusal.to_string();
            log::info!(operation, why = why.as_str(); "change-refused");
        }
        accept::Outcome::Unknown { .. } => log::warn!(operation; "change-unknown"),
        accept::Outcome::Unavailable => log::warn!(operation; "change-unavailable"),
    }
}
