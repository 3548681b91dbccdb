//! Registry of the requests in flight, and the counts of a stop.

use std::cell;
use std::collections;
use std::rc;
use std::time::Instant;

use crate::gateway::proxy::in_flight::entry::Entry;
use crate::gateway::proxy::in_flight::phase::Phases;
use crate::gateway::proxy::in_flight::request::Request;
use crate::gateway::proxy::in_flight::tally::{End, Tallies, Tally};

/// The requests in flight.
#[derive(Debug, Default)]
pub struct Registry {
    next: cell::Cell<u64>,
    entries: cell::RefCell<collections::BTreeMap<u64, Entry>>,
    /// How requests ended since the signal; `None` unless the process stops.
    tallies: cell::RefCell<Option<Tallies>>,
    is_closed: cell::Cell<bool>,
}

impl Registry {
    /// Adds a request that arrived at `arrived`, until the handle is dropped.
    #[must_use]
    pub fn enter(self: &rc::Rc<Self>, arrived: Instant) -> Request {
        let number = self.next.get();
        self.next.set(number + 1);
        self.entries.borrow_mut().insert(number, Entry::new(arrived));
        Request::new(rc::Rc::clone(self), number, arrived)
    }

    /// Returns the number of requests in flight.
    #[must_use]
    pub fn len(&self) -> usize {
        self.entries.borrow().len()
    }

    /// Returns whether no request is in flight.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.entries.borrow().is_empty()
    }

    /// Returns the requests in flight, in the order in which they arrived.
    #[must_use]
    pub fn entries(&self) -> Vec<Entry> {
        self.entries.borrow().values().cloned().collect()
    }

    /// Returns the numbers of requests in flight by phase.
    #[must_use]
    pub fn phases(&self) -> Phases {
        let mut phases = Phases::default();
        self.entries.borrow().values().for_each(|entry| phases.add(entry.phase()));
        phases
    }

    /// Counts how requests end from now on.
    pub fn begin_stop(&self) {
        *self.tallies.borrow_mut() = Some(Tallies::default());
    }

    /// Returns whether the process stops.
    #[must_use]
    pub fn is_stopping(&self) -> bool {
        self.tallies.borrow().is_some()
    }

    /// Counts what is in flight as unfinished. Requests that are dropped later have been reported.
    pub fn close(&self, now: Instant) {
        self.is_closed.set(true);
        let mut tallies = self.tallies.borrow_mut();
        let tallies = tallies.get_or_insert_default();
        self.entries.borrow().values().for_each(|entry| tallies.add(entry, End::Exit, now));
    }

    /// Returns whether [`Self::close`] was called.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.is_closed.get()
    }

    /// Returns how the requests of each route ended since the signal, for a bounded number of routes.
    #[must_use]
    pub fn tallies(&self) -> collections::BTreeMap<String, Tally> {
        self.tallies.borrow().as_ref().map(|tallies| tallies.by_route.clone()).unwrap_or_default()
    }

    /// Returns the number of requests since the signal that got a response which was not delivered.
    #[must_use]
    pub fn undelivered(&self) -> usize {
        self.tallies.borrow().as_ref().map_or(0, |tallies| tallies.undelivered)
    }

    /// Calls `read` with the entry of a request, if it is in flight.
    pub(super) fn read(&self, number: u64, read: impl FnOnce(&Entry)) {
        if let Some(entry) = self.entries.borrow().get(&number) {
            read(entry);
        }
    }

    /// Calls `change` with the entry of a request, if it is in flight.
    pub(super) fn update(&self, number: u64, change: impl FnOnce(&mut Entry)) {
        if let Some(entry) = self.entries.borrow_mut().get_mut(&number) {
            change(entry);
        }
    }

    /// Removes a request that ended so, and counts it if the process stops and has not reported it.
    pub(super) fn leave(&self, number: u64, end: End) {
        let Some(entry) = self.entries.borrow_mut().remove(&number) else { return };
        let mut tallies = self.tallies.borrow_mut();
        match tallies.as_mut() {
            Some(tallies) if !self.is_closed() => tallies.add(&entry, end, Instant::now()),
            _ => {}
        }
    }
}
