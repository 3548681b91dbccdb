//! Rulings: which requests are held back, since when, and until when.
//!
//! Holds a bounded number of rulings: those in force, and for a time the expired ones and the
//! releases by operators. Of two rulings on the same requests, the one with the greater number wins,
//! so that a request released by an operator is not held back again because of a report from a node
//! that has not received the release yet.

use std::collections;
use std::time::{Duration, Instant};

use model::fingerprint::{Content, Fingerprint, Head, Scope};

/// Time without a matching request after which a ruling expires.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);

/// Time for which an expired ruling is kept; in that time, a single crash is enough to hold the
/// requests back again.
const EXPIRED_RETENTION: Duration = Duration::from_secs(24 * 3_600);

/// Maximum number of rulings; the one whose latest matching request is the oldest is evicted first.
const MAX_RULINGS: usize = 256;

/// A decision on whether the requests of a scope are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ruling {
    /// Version of the ruling, which increases with each decision on the same requests: the time of
    /// the decision in milliseconds since the Unix epoch, or more if that is needed to increase it.
    pub number: u64,
    /// Whether the requests are held back; if false, they were released.
    pub is_held: bool,
    /// Number of crashes that led to the decision.
    pub crashes: u32,
    /// When the decision was made.
    pub since: Instant,
    /// When a matching request last arrived, at any node.
    pub last_request: Instant,
}

impl Ruling {
    /// Returns how long requests remain held back if no more of them arrive, or `None` if they are
    /// not held back.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let remaining =
            IDLE_TIMEOUT.checked_sub(now.saturating_duration_since(self.last_request))?;
        (self.is_held && !remaining.is_zero()).then_some(remaining)
    }

    /// Returns whether the ruling is obsolete: no matching request has arrived for a long time, and
    /// all nodes know if it was released.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_request) >= IDLE_TIMEOUT
    }
}

/// Rulings by scope.
#[derive(Clone, Debug, Default)]
pub struct Rulings(collections::BTreeMap<Scope, Ruling>);

impl Rulings {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether there is a ruling on a request with this head.
    #[must_use]
    pub fn contains_head(&self, head: Head) -> bool {
        let contents = Content::range_with_head(head);
        let first = Scope { content: *contents.start(), caller: None };
        self.0.range(first..).next().is_some_and(|(scope, _)| contents.contains(&scope.content))
    }

    /// Returns the ruling that holds `request` back, if any.
    #[must_use]
    pub fn in_force_for(&self, request: &Fingerprint, now: Instant) -> Option<(Scope, Ruling)> {
        let scopes = scopes_of(request);
        let mut rulings =
            scopes.into_iter().filter_map(|scope| Some((scope, *self.0.get(&scope)?)));
        rulings.find(|(_, ruling)| ruling.remaining(now).is_some())
    }

    /// Returns the ruling on the requests of `scope`.
    #[must_use]
    pub fn get(&self, scope: &Scope) -> Option<&Ruling> {
        self.0.get(scope)
    }

    /// Returns all rulings.
    pub fn iter(&self) -> impl Iterator<Item = (&Scope, &Ruling)> {
        self.0.iter()
    }

    /// Returns the rulings in force.
    pub fn in_force(&self, now: Instant) -> impl Iterator<Item = (&Scope, &Ruling)> {
        self.0.iter().filter(move |(_, ruling)| ruling.remaining(now).is_some())
    }

    /// Records the arrival of a request that is held back.
    pub fn record_request(&mut self, scope: &Scope, now: Instant) {
        if let Some(ruling) = self.0.get_mut(scope) {
            ruling.last_request = now;
        }
    }

    /// Records and returns a decision made by this node at the wall-clock time `unix_millis`.
    pub fn decide(
        &mut self,
        scope: Scope,
        is_held: bool,
        crashes: u32,
        unix_millis: u64,
        now: Instant,
    ) -> Ruling {
        let previous = self.0.get(&scope).map_or(0, |ruling| ruling.number);
        let number = unix_millis.max(previous + 1);
        let ruling = Ruling { number, is_held, crashes, since: now, last_request: now };
        self.0.insert(scope, ruling);
        self.evict();
        ruling
    }

    /// Applies the decision of another node. Returns whether it changed which requests are held
    /// back.
    pub fn merge(&mut self, scope: Scope, reported: Ruling, now: Instant) -> bool {
        let Some(known) = self.0.get_mut(&scope) else {
            self.0.insert(scope, reported);
            self.evict();
            return reported.remaining(now).is_some();
        };
        known.last_request = known.last_request.max(reported.last_request);
        if reported.number <= known.number {
            return false;
        }
        let was_held = known.remaining(now).is_some();
        *known = Ruling { last_request: known.last_request, ..reported };
        known.remaining(now).is_some() != was_held
    }

    /// Holds a request with an expired ruling back again after another crash. Returns the new
    /// ruling, or `None` if there is no expired ruling.
    pub fn reinstate(
        &mut self,
        request: &Fingerprint,
        unix_millis: u64,
        now: Instant,
    ) -> Option<(Scope, Ruling)> {
        let mut scopes = scopes_of(request).into_iter();
        let is_expired = |scope: &Scope| {
            self.0
                .get(scope)
                .is_some_and(|ruling| ruling.is_held && ruling.remaining(now).is_none())
        };
        let scope = scopes.find(is_expired)?;
        let crashes = self.0.get(&scope)?.crashes.saturating_add(1);
        Some((scope, self.decide(scope, true, crashes, unix_millis, now)))
    }

    /// Removes rulings whose retention time has passed.
    pub fn expire(&mut self, now: Instant) {
        let is_retained = |r: &Ruling| {
            now.saturating_duration_since(r.last_request) < IDLE_TIMEOUT + EXPIRED_RETENTION
        };
        self.0.retain(|_, ruling| is_retained(ruling));
    }

    fn evict(&mut self) {
        while self.0.len() > MAX_RULINGS {
            let oldest = self.0.iter().min_by_key(|(_, ruling)| ruling.last_request);
            let Some((&oldest, _)) = oldest else { return };
            self.0.remove(&oldest);
        }
    }
}

/// Returns the scopes that contain `request`.
fn scopes_of(request: &Fingerprint) -> [Scope; 2] {
    [Scope::from(*request), Scope { content: request.content, caller: None }]
}
