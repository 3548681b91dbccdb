//! Schedule of promises at this node, by organisation or by service.
//!
//! A schedule holds nothing of organisations and services that refuse nobody.

use std::collections;
use std::time::{Duration, Instant};

use crate::dispatch::reservation::book;
use crate::dispatch::reservation::caller::{Caller, Return};

/// Most organisations or services with promises at a time; callers of others get none.
const MAX_SCOPES: usize = 128;

/// Time that a refused caller is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Promise {
    /// Time after which it may retry.
    pub retry_after: Duration,
    /// Whether room is reserved for it then. If not, the time is the expected end of the surge.
    pub is_kept: bool,
}

/// Counts of events since they were last taken.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Refused callers that were promised room.
    pub promised: u64,
    /// Returns that were admitted for a promise.
    pub redeemed: u64,
    /// Promises that nobody redeemed in time.
    pub lapsed: u64,
    /// Refused callers that were promised nothing.
    pub refused_unpromised: u64,
    /// Returns that came as told and were refused.
    pub refused_as_told: u64,
}

/// Promises by scope: an organisation or a service.
#[derive(Clone, Debug)]
pub struct Schedule<S> {
    books: collections::BTreeMap<S, book::Book>,
    /// Resolution of the times that callers are told.
    resolution: Duration,
    counts: Counts,
}

impl<S: Ord + Clone> Schedule<S> {
    /// Creates a schedule without promises; callers are told times in multiples of `resolution`.
    #[must_use]
    pub fn new(resolution: Duration) -> Self {
        Self { books: collections::BTreeMap::new(), resolution, counts: Counts::default() }
    }

    /// Returns the time that a refused caller is told, while this node admits `room_per_second`
    /// requests of `scope`, which is `ratio` of all.
    pub fn promise(
        &mut self,
        scope: &S,
        caller: &Caller,
        (room_per_second, ratio): (f64, f64),
        now: Instant,
    ) -> Promise {
        if self.books.len() >= MAX_SCOPES && !self.books.contains_key(scope) {
            self.counts.refused_unpromised += 1;
            let (_, longest) = book::WAIT_LIMITS;
            let retry_after = (caller.max_wait() + self.resolution).min(longest);
            return Promise { retry_after, is_kept: false };
        }
        let book = self.books.entry(scope.clone()).or_insert_with(|| book::Book::new(now));
        self.counts.lapsed += book.expire(now);
        book.record_refusal(caller, room_per_second, ratio, now);
        if book.returned(caller, now) == Return::AsTold {
            self.counts.refused_as_told += 1;
        }
        match book.promise(caller, room_per_second, self.resolution, now) {
            Some(offer) => {
                self.counts.promised += u64::from(offer.is_new);
                Promise { retry_after: offer.wait, is_kept: true }
            }
            None => {
                self.counts.refused_unpromised += 1;
                let retry_after = book.surge_end(caller, self.resolution, now);
                Promise { retry_after, is_kept: false }
            }
        }
    }

    /// Returns the requests per second for which room of `scope` is reserved; newcomers do not get
    /// it.
    #[must_use]
    pub fn reserved(&self, scope: &S, now: Instant) -> f64 {
        self.books.get(scope).map_or(0.0, |book| book.reserved(now))
    }

    /// Returns whether a request is a return, and whether it comes as told.
    #[must_use]
    pub fn returned(&self, scope: &S, caller: &Caller, now: Instant) -> Return {
        let book = self.books.get(scope);
        book.map_or_else(|| caller.returned(), |book| book.returned(caller, now))
    }

    /// Returns whether a request would redeem a promise of `scope` now.
    #[must_use]
    pub fn is_redeemable(&self, scope: &S, caller: &Caller, now: Instant) -> bool {
        self.books.get(scope).is_some_and(|book| book.redeemable(caller, now).is_some())
    }

    /// Redeems a promise of `scope` if the caller comes as told and one is due.
    pub fn redeem(&mut self, scope: &S, caller: &Caller, now: Instant) -> bool {
        let Some(book) = self.books.get_mut(scope) else { return false };
        self.counts.lapsed += book.expire(now);
        let is_redeemed = book.redeem(caller, now);
        self.counts.redeemed += u64::from(is_redeemed);
        is_redeemed
    }

    /// Decides whether a request without a promise is admitted, if newcomers are at `ratio`; `None`
    /// if it counts as a newcomer itself.
    pub fn admits_return(
        &mut self,
        scope: &S,
        caller: &Caller,
        ratio: f64,
        now: Instant,
    ) -> Option<bool> {
        let book = self.books.get_mut(scope)?;
        match book.returned(caller, now) {
            Return::First | Return::Unknown => None,
            Return::Early | Return::AsTold | Return::Late => {
                Some(book.admits_return(caller, ratio))
            }
        }
    }

    /// Removes what has lapsed.
    pub fn tick(&mut self, now: Instant) {
        for book in self.books.values_mut() {
            self.counts.lapsed += book.expire(now);
        }
        self.books.retain(|_, book| !book.is_over(now));
    }

    /// Returns the number of promises that are neither redeemed nor lapsed.
    #[must_use]
    pub fn pending(&self) -> usize {
        self.books.values().map(book::Book::pending).sum()
    }

    /// Returns whether nothing is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.books.is_empty()
    }

    /// Returns the counts since the last call.
    pub fn take_counts(&mut self) -> Counts {
        std::mem::take(&mut self.counts)
    }
}
