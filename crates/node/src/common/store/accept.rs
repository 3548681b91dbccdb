//! Accepting a change: compare-and-swap of the whole configuration.
//!
//! Owns what is reported about a change whose write was lost. Relies on [`acceptance`] for whether a
//! change is valid.

use std::sync;
use std::time::Duration;

use bytes::Bytes;
use model::acceptance;
use model::change;
use model::check;
use model::refusal;
use model::revision;
use model::snapshot;
use serde::{Deserialize, Serialize};

use crate::common::store::edge;

/// Key of the configuration.
pub const KEY: &str = "config";

/// Times a change is tried against other operators' changes, or read back after a lost answer.
const TRIES: u32 = 6;

/// Pause before the configuration is read again after a lost answer; it doubles.
const PAUSE: Duration = Duration::from_millis(100);

/// What became of a change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "state", rename_all = "kebab-case")]
pub enum Outcome {
    /// It is accepted, and will be in force everywhere within seconds.
    Accepted {
        /// The revision it made.
        revision: revision::Revision,
    },
    /// It was refused; nothing of it is in force.
    Refused {
        /// Why.
        refusal: refusal::Refusal,
    },
    /// The store's answer was lost: ask again by the operation's id.
    Unknown {
        /// The operation's id.
        operation: String,
    },
    /// The store cannot be reached; nothing was written.
    Unavailable,
}

/// A configuration as it stands in the store.
#[derive(Clone, Debug)]
pub struct Standing {
    /// The store's revision of the value; 0 when there is none.
    pub version: u64,
    /// The configuration.
    pub snapshot: sync::Arc<snapshot::Snapshot>,
}

/// Reads the configuration.
///
/// # Errors
///
/// Fails when the store does not answer, or holds what is no configuration.
pub async fn read<S: edge::Store>(store: &S) -> Result<Standing, edge::Error> {
    let value = store.get(KEY).await?;
    match value {
        None => Ok(Standing { version: 0, snapshot: sync::Arc::default() }),
        Some(value) => parse(&value).map_err(|error| {
            let error = error.to_string();
            log::error!(key = KEY, error = error.as_str(); "store-value-malformed");
            edge::Error::Refused
        }),
    }
}

/// Reads a configuration's value.
///
/// # Errors
///
/// Fails when it is malformed; callers log it with the key.
pub fn parse(value: &edge::Value) -> serde_json::Result<Standing> {
    let snapshot = serde_json::from_slice(&value.bytes)?;
    Ok(Standing { version: value.revision, snapshot: sync::Arc::new(snapshot) })
}

/// How a write of the configuration ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Write {
    /// It took effect.
    Done,
    /// Another revision stands; nothing was written.
    Conflict,
    /// The configuration cannot be encoded, which would be a bug.
    Unwritable,
    /// The store did not take it.
    Refused,
    /// It may have taken effect.
    Lost,
}

async fn write<S: edge::Store>(store: &S, next: &snapshot::Snapshot, expected: u64) -> Write {
    let bytes = match serde_json::to_vec(next) {
        Ok(bytes) => Bytes::from(bytes),
        Err(error) => {
            let error = error.to_string();
            log::error!(error = error.as_str(); "configuration-not-written");
            return Write::Unwritable;
        }
    };
    match store.put(KEY, bytes, expected).await {
        Ok(edge::Put::Written(_)) => Write::Done,
        Ok(edge::Put::Conflict) => Write::Conflict,
        Err(edge::Error::Refused) => Write::Refused,
        Err(edge::Error::Lost) => Write::Lost,
    }
}

/// What is known of the writes of one change so far.
struct Attempts {
    /// Revision on which the latest write was sent whose answer was lost.
    sent_on: Option<u64>,
    pause: Duration,
}

impl Attempts {
    fn new() -> Self {
        Self { sent_on: None, pause: PAUSE }
    }

    async fn wait(&mut self) {
        tokio::time::sleep(self.pause).await;
        self.pause *= 2;
    }

    /// Returns what is reported when no more is tried.
    fn given_up(&self, change: &change::Change) -> Outcome {
        match self.sent_on {
            Some(_) => Outcome::Unknown { operation: change.operation.clone() },
            None => Outcome::Unavailable,
        }
    }
}

/// Applies a change, and returns the configuration too when it was accepted.
///
/// A write whose answer is lost is looked for by its operation's id. It is never called refused
/// unless it is known that it did not and will not take effect.
pub async fn apply<S: edge::Store>(
    store: &S,
    change: &change::Change,
    facts: &check::context::Context,
) -> (Outcome, Option<sync::Arc<snapshot::Snapshot>>) {
    let mut attempts = Attempts::new();
    for _ in 0..TRIES {
        let standing = match read(store).await {
            Ok(standing) => standing,
            Err(_) if attempts.sent_on.is_none() => break,
            Err(_) => {
                attempts.wait().await;
                continue;
            }
        };
        if let Some(revision) = standing.snapshot.operation(&change.operation) {
            return (Outcome::Accepted { revision }, Some(standing.snapshot));
        }
        let next = match acceptance::apply(&standing.snapshot, change, facts) {
            Ok(next) => next,
            // A lost write may yet land, but only on the value that it expected.
            Err(_) if attempts.sent_on == Some(standing.version) => break,
            Err(refusal) => return (Outcome::Refused { refusal }, None),
        };
        match write(store, &next, standing.version).await {
            Write::Done => {
                let outcome = Outcome::Accepted { revision: next.revision };
                return (outcome, Some(sync::Arc::new(next)));
            }
            Write::Conflict => {}
            // An earlier write may have landed; then this is reported as not known.
            Write::Unwritable => break,
            Write::Refused if attempts.sent_on.is_none() => break,
            Write::Refused | Write::Lost => {
                attempts.sent_on = Some(standing.version);
                attempts.wait().await;
            }
        }
    }
    (attempts.given_up(change), None)
}
