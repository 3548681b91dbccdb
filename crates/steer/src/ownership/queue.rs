//! Queues: requests that wait at their owner for a slot, in fair turn of their places.
//!
//! Owns the order: within a place first come, first served; between places round robin. How long one
//! may wait is decided by its [`Owner`](crate::ownership::owner::Owner).

use std::collections;
use std::time::Instant;

use model::id;

use crate::ownership::request;

/// A request that waits.
#[derive(Clone, Debug)]
pub struct Waiting {
    /// The request.
    pub offer: request::Offer,
    /// When its wait must end.
    pub until: Instant,
}

/// The requests of one service that wait, by place.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    places: collections::BTreeMap<id::Place, collections::VecDeque<Waiting>>,
    turn: Option<id::Place>,
    len: usize,
}

impl Queue {
    /// Returns how many wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Returns whether it is empty.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds a request behind those of its place.
    pub fn push(&mut self, waiting: Waiting) {
        self.len += 1;
        self.places.entry(waiting.offer.place.clone()).or_default().push_back(waiting);
    }

    /// Removes the first request that `accept` takes, asking the places in turn.
    pub fn pop_for<T>(
        &mut self,
        mut accept: impl FnMut(&Waiting) -> Option<T>,
    ) -> Option<(Waiting, T)> {
        for place in self.places_in_turn() {
            let Some(line) = self.places.get_mut(&place) else { continue };
            let Some(found) = line.front().and_then(&mut accept) else { continue };
            let waiting = line.pop_front()?;
            if line.is_empty() {
                self.places.remove(&place);
            }
            self.len -= 1;
            self.turn = Some(place);
            return Some((waiting, found));
        }
        None
    }

    /// Removes a request by its id.
    pub fn remove(&mut self, id: request::Id) -> Option<Waiting> {
        self.extract(|waiting| waiting.offer.id == id).pop()
    }

    /// Removes every request whose wait ends by `now`.
    pub fn expire(&mut self, now: Instant) -> Vec<Waiting> {
        self.extract(|waiting| waiting.until <= now)
    }

    /// Removes every request.
    pub fn clear(&mut self) -> Vec<Waiting> {
        self.extract(|_| true)
    }

    fn extract(&mut self, mut matches: impl FnMut(&Waiting) -> bool) -> Vec<Waiting> {
        let mut found = Vec::new();
        for line in self.places.values_mut() {
            let (out, kept) = line.drain(..).partition(|w| matches(w));
            *line = kept;
            found.extend::<collections::VecDeque<Waiting>>(out);
        }
        self.places.retain(|_, line| !line.is_empty());
        self.len -= found.len();
        found
    }

    /// Returns the places, those after the last served first.
    fn places_in_turn(&self) -> Vec<id::Place> {
        let after = |place: &&id::Place| self.turn.as_ref().is_none_or(|turn| *place > turn);
        let first = self.places.keys().filter(after);
        let rest = self.places.keys().filter(|place| !after(place));
        first.chain(rest).cloned().collect()
    }
}
