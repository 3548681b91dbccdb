//! Queues: requests that wait at their owner for a slot, fair between places.
//!
//! The order is first in, first out within a place and round robin between places. The
//! [`Owner`](crate::ownership::owner::Owner) decides how long a request may wait.

use std::collections;
use std::time::Instant;

use model::id;

use crate::ownership::request;

/// A queued request.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub offer: request::Offer,
    /// When it is refused if it still waits.
    pub until: Instant,
}

/// The queued requests of one service, by place.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    places: collections::BTreeMap<id::Place, collections::VecDeque<Waiting>>,
    last_served: Option<id::Place>,
    len: usize,
}

impl Queue {
    /// Returns the number of queued requests.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether no request is queued.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Appends a request to the queue of its place.
    pub fn push(&mut self, waiting: Waiting) {
        self.len += 1;
        self.places.entry(waiting.offer.place.clone()).or_default().push_back(waiting);
    }

    /// Removes and returns the first request that `accept` accepts.
    ///
    /// Only the first request of each place is tried, in round-robin order of the places.
    pub fn pop_for<T>(
        &mut self,
        mut accept: impl FnMut(&Waiting) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        for place in self.places_in_order() {
            let Some(queue) = self.places.get_mut(&place) else { continue };
            let Some(found) = queue.front().and_then(&mut accept) else { continue };
            let waiting = queue.pop_front()?;
            if queue.is_empty() {
                self.places.remove(&place);
            }
            self.len -= 1;
            self.last_served = Some(place);
            return Some((waiting, found));
        }
        None
    }

    /// Removes a request by its id.
    pub fn remove(&mut self, id: request::Id) -> Option<Waiting> {
        self.extract(|waiting| waiting.offer.id == id).pop()
    }

    /// Removes and returns all requests whose wait ends by `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiting> {
        self.extract(|waiting| waiting.until <= now)
    }

    /// Removes and returns all requests.
    pub fn clear(&mut self) -> Vec<Waiting> {
        self.extract(|_| true)
    }

    fn extract(&mut self, mut matches: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut found = Vec::new();
        for queue in self.places.values_mut() {
            let (out, kept) = queue.drain(..).partition(|w| matches(w));
            *queue = kept;
            found.extend::<collections::VecDeque<Waiting>>(out);
        }
        self.places.retain(|_, queue| !queue.is_empty());
        self.len -= found.len();
        found
    }

    /// Returns the places in round-robin order, beginning after the last one served.
    fn places_in_order(&self) -> Vec<id::Place> {
        let after = |place: &&id::Place| self.last_served.as_ref().is_none_or(|last| *place > last);
        let first = self.places.keys().filter(after);
        let rest = self.places.keys().filter(|place| !after(place));
        first.chain(rest).cloned().collect()
    }
}
