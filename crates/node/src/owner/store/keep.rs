//! Keeping up with the store: configuration and the region's table, read, watched and written.
//!
//! Every node reads both once when it starts. After that only the first two nodes of each region
//! watch, so that the store's calls grow with the regions and not with the fleet; the others learn
//! from their peers.

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
use crate::owner::decisions;
use crate::owner::view;

/// Time that one watch waits.
const WATCH: Duration = Duration::from_secs(25);

/// Pause after a call that failed, doubled up to [`LONGEST_PAUSE`].
const PAUSE: Duration = Duration::from_millis(250);

/// Longest pause after calls that failed; also how late the end of an outage may be noticed.
const LONGEST_PAUSE: Duration = Duration::from_secs(4);

/// A change that an operator asks for.
#[derive(Debug)]
pub struct Wish {
    /// The change.
    pub change: change::Change,
    /// Where its outcome goes.
    pub reply: oneshot::Sender<accept::Outcome>,
}

/// What the duty works with.
#[derive(Debug)]
pub struct Keeper<S> {
    store: sync::Arc<S>,
    decisions: decisions::Handle,
    region: id::Region,
}

impl<S: edge::Store> Keeper<S> {
    /// Makes a keeper.
    #[must_use]
    pub fn new(store: S, decisions: decisions::Handle, region: id::Region) -> Self {
        Self { store: sync::Arc::new(store), decisions, region }
    }

    /// Works until the rings close.
    pub async fn run(
        self,
        tables: mpsc::Receiver<sync::Arc<table::Table>>,
        wishes: mpsc::Receiver<Wish>,
    ) {
        tokio::join!(
            self.follow_config(),
            self.follow_table(),
            self.write_tables(tables),
            self.grant(wishes)
        );
    }

    async fn follow_config(&self) {
        self.follow(accept::KEY, |value| match value.map(accept::parse) {
            Some(Some(standing)) => {
                let event = event::Event::Configure { snapshot: standing.snapshot };
                let _ = self.decisions.tell(event);
            }
            Some(None) => log::error!(key = accept::KEY; "store-value-malformed"),
            None => {}
        })
        .await;
    }

    async fn follow_table(&self) {
        let key = key_of(&self.region);
        self.follow(&key, |value| match value.map(parse_table) {
            Some(Some(table)) => self.tell_table(sync::Arc::new(table)),
            Some(None) => log::error!(key = key.as_str(); "store-value-malformed"),
            None => self.tell_table(sync::Arc::new(table::Table::empty(&self.region))),
        })
        .await;
    }

    /// Reads a value once, then watches it whenever this node is a watcher. `tell` gets each value,
    /// or none when the first read found no value.
    async fn follow(&self, key: &str, tell: impl Fn(Option<&edge::Value>)) {
        let mut views = self.decisions.views();
        let mut seen = None;
        let mut pause = PAUSE;
        loop {
            let value = match seen {
                None => self.store.get(key).await,
                Some(after) => {
                    until_watcher(&mut views).await;
                    self.store.next(key, after, WATCH).await
                }
            };
            match value {
                Ok(value) => {
                    pause = PAUSE;
                    if value.is_some() || seen.is_none() {
                        tell(value.as_ref());
                    }
                    seen = value.map(|v| v.revision).or(seen).or(Some(0));
                }
                Err(_) => self.rest(&mut pause, key).await,
            }
        }
    }

    async fn write_tables(&self, mut tables: mpsc::Receiver<sync::Arc<table::Table>>) {
        let key = key_of(&self.region);
        while let Some(next) = tables.recv().await {
            let Ok(standing) = self.store.get(&key).await else { continue };
            let version = standing.as_ref().map_or(0, |value| value.revision);
            let before = standing.and_then(|value| parse_table(&value));
            let epoch = before.as_ref().map_or(epoch::Epoch(0), |table| table.epoch);
            // The proposal was made for the epoch before it; another may have come in between.
            if epoch.next() != next.epoch {
                before.into_iter().for_each(|table| self.tell_table(sync::Arc::new(table)));
                continue;
            }
            let Ok(bytes) = serde_json::to_vec(&*next) else { continue };
            if let Ok(edge::Put::Written(_)) =
                self.store.put(&key, Bytes::from(bytes), version).await
            {
                let seats = next.listed.len();
                log::info!(region = self.region.as_str(), epoch = next.epoch.0, seats; "table-written");
                self.tell_table(next);
            }
        }
    }

    async fn grant(&self, mut wishes: mpsc::Receiver<Wish>) {
        while let Some(wish) = wishes.recv().await {
            let view = self.decisions.view();
            let facts = check::facts::Facts {
                wall: self.decisions.clock().wall(),
                in_use: view.in_use.clone(),
            };
            let (outcome, snapshot) = accept::apply(&*self.store, &wish.change, &facts).await;
            if let Some(snapshot) = snapshot {
                let _ = self.decisions.tell(event::Event::Configure { snapshot });
            }
            log_outcome(&wish.change, &outcome);
            let _ = wish.reply.send(outcome);
        }
    }

    fn tell_table(&self, table: sync::Arc<table::Table>) {
        let _ = self.decisions.tell(event::Event::Adopt { table, is_stored: true });
    }

    async fn rest(&self, pause: &mut Duration, key: &str) {
        if *pause == PAUSE {
            log::warn!(key; "store-unavailable");
        }
        tokio::time::sleep(*pause).await;
        *pause = (*pause * 2).min(LONGEST_PAUSE);
    }
}

/// Waits until this node is one that watches for its region.
async fn until_watcher(views: &mut watch::Receiver<sync::Arc<view::View>>) {
    let _ = views.wait_for(|view| view.is_watcher).await;
}

fn key_of(region: &id::Region) -> String {
    format!("table/{region}")
}

fn parse_table(value: &edge::Value) -> Option<table::Table> {
    serde_json::from_slice(&value.bytes).ok()
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
