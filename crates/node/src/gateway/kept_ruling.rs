//! Rulings as the store keeps them, as JSON.
//!
//! Owns the form. It holds no times but that in the number, by which a node works out how old the ruling is.

use std::time::{Duration, Instant};

use model::fingerprint;
use platform::store::position;
use serde::{Deserialize, Serialize};
use steer::dispatch::quarantine::ruling;

/// An entry of the store that keeps a ruling.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Entry {
    /// The requests.
    pub scope: fingerprint::Scope,
    /// The position of the entry's last change.
    pub position: position::Position,
    /// What was decided.
    pub kept: Kept,
}

/// A ruling as the store keeps it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Kept {
    /// Grows with each decision on the same requests; about the time of day of the decision, in milliseconds since 1970.
    pub number: u64,
    /// Whether they are held back.
    pub is_held: bool,
    /// Crashes that showed it.
    pub crashes: u32,
}

impl Kept {
    /// Makes it of a ruling.
    #[must_use]
    pub fn of(ruling: &ruling::Ruling) -> Self {
        let ruling::Ruling { number, is_held, crashes, .. } = *ruling;
        Self { number, is_held, crashes }
    }

    /// Returns the ruling, for a node that reads it at the time of day `unix_millis`.
    ///
    /// Nothing says when such a request last came, so it counts as having come now.
    #[must_use]
    pub fn to_ruling(self, unix_millis: u64, now: Instant) -> ruling::Ruling {
        let Self { number, is_held, crashes } = self;
        let age = Duration::from_millis(unix_millis.saturating_sub(number));
        let since = now.checked_sub(age).unwrap_or(now);
        ruling::Ruling { number, is_held, crashes, since, last_request: now }
    }
}
