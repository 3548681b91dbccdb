//! Rulings: which requests are held back, since when, and until when.
//!
//! Owns the rulings in force and those that were lifted, within bounds. The one with the greater number holds, so that what an
//! operator lifted is not restored by the report of a node that does not know of it yet.

use std::collections;
use std::time::{Duration, Instant};

use model::fingerprint::{Content, Fingerprint, Head, Scope};

/// Time without such a request after which it is no longer held back.
const QUIET: Duration = Duration::from_secs(600);

/// Time for which it is remembered after that: one more crash is enough to hold it back again.
const REMEMBERED: Duration = Duration::from_secs(24 * 3_600);

/// Rulings that are kept; the one that was not asked for the longest goes first.
const MOST_RULINGS: usize = 256;

/// Whether requests are held back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ruling {
    /// Grows with each decision on the same requests; milliseconds since 1970 where nothing was decided before.
    pub number: u64,
    /// Whether they are held back; else they were, and are no longer.
    pub is_held: bool,
    /// Crashes that showed it.
    pub crashes: u32,
    /// When it was decided.
    pub since: Instant,
    /// When such a request last came, at any node.
    pub asked: Instant,
}

impl Ruling {
    /// Returns the time for which requests are still held back if none comes; none when they are not.
    #[must_use]
    pub fn left(&self, now: Instant) -> Option<Duration> {
        let left = QUIET.checked_sub(now.saturating_duration_since(self.asked))?;
        (self.is_held && !left.is_zero()).then_some(left)
    }

    /// Returns whether it is of no more use: no such request has come for long, and every node knows that it was lifted.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.asked) >= QUIET
    }
}

/// Rulings by the requests that they are about.
#[derive(Clone, Debug, Default)]
pub struct Rulings(collections::BTreeMap<Scope, Ruling>);

impl Rulings {
    /// Returns whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// Returns whether there is one on a request of this head.
    #[must_use]
    pub fn contains_head(&self, head: Head) -> bool {
        let contents = Content::range_with_head(head);
        let first = Scope { content: *contents.start(), caller: None };
        self.0.range(first..).next().is_some_and(|(scope, _)| contents.contains(&scope.content))
    }

    /// Returns the ruling that holds a request back, if one does.
    #[must_use]
    pub fn holding(&self, request: &Fingerprint, now: Instant) -> Option<(Scope, Ruling)> {
        let scopes = scopes_of(request);
        let mut known = scopes.into_iter().filter_map(|scope| Some((scope, *self.0.get(&scope)?)));
        known.find(|(_, ruling)| ruling.left(now).is_some())
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

    /// Returns the rulings that hold requests back.
    pub fn in_force(&self, now: Instant) -> impl Iterator<Item = (&Scope, &Ruling)> {
        self.0.iter().filter(move |(_, ruling)| ruling.left(now).is_some())
    }

    /// Records that a request came that is held back.
    pub fn asked(&mut self, scope: &Scope, now: Instant) {
        if let Some(ruling) = self.0.get_mut(scope) {
            ruling.asked = now;
        }
    }

    /// Records a decision of this node at the time of day `unix_millis`; returns it.
    pub fn decide(
        &mut self,
        scope: Scope,
        is_held: bool,
        crashes: u32,
        unix_millis: u64,
        now: Instant,
    ) -> Ruling {
        let before = self.0.get(&scope).map_or(0, |ruling| ruling.number);
        let number = unix_millis.max(before + 1);
        let ruling = Ruling { number, is_held, crashes, since: now, asked: now };
        self.0.insert(scope, ruling);
        self.bound();
        ruling
    }

    /// Applies the decision of another node; returns whether that changed which requests are held back.
    pub fn merge(&mut self, scope: Scope, reported: Ruling, now: Instant) -> bool {
        let Some(known) = self.0.get_mut(&scope) else {
            self.0.insert(scope, reported);
            self.bound();
            return reported.left(now).is_some();
        };
        known.asked = known.asked.max(reported.asked);
        if reported.number <= known.number {
            return false;
        }
        let was_held = known.left(now).is_some();
        *known = Ruling { asked: known.asked, ..reported };
        known.left(now).is_some() != was_held
    }

    /// Holds a request back again that was held back before, since an upstream crashed under it; returns the ruling.
    pub fn hold_again(
        &mut self,
        request: &Fingerprint,
        unix_millis: u64,
        now: Instant,
    ) -> Option<(Scope, Ruling)> {
        let mut scopes = scopes_of(request).into_iter();
        let lapsed = |scope: &Scope| {
            self.0.get(scope).is_some_and(|ruling| ruling.is_held && ruling.left(now).is_none())
        };
        let scope = scopes.find(lapsed)?;
        let crashes = self.0.get(&scope)?.crashes.saturating_add(1);
        Some((scope, self.decide(scope, true, crashes, unix_millis, now)))
    }

    /// Forgets what is too old.
    pub fn expire(&mut self, now: Instant) {
        let is_recent = |r: &Ruling| now.saturating_duration_since(r.asked) < QUIET + REMEMBERED;
        self.0.retain(|_, ruling| is_recent(ruling));
    }

    fn bound(&mut self) {
        while self.0.len() > MOST_RULINGS {
            let oldest = self.0.iter().min_by_key(|(_, ruling)| ruling.asked);
            let Some((&oldest, _)) = oldest else { return };
            self.0.remove(&oldest);
        }
    }
}

/// Returns the scopes that a request belongs to.
fn scopes_of(request: &Fingerprint) -> [Scope; 2] {
    [Scope::from(*request), Scope { content: request.content, caller: None }]
}
