//! Counts of how requests ended after the signal of a stop, by route.

use std::collections;
use std::time::{Duration, Instant};

use crate::gateway::proxy::in_flight::entry::{Entry, Response};

/// Maximum number of routes that a stop counts apart; requests of further ones are not counted.
const MAX_ROUTES: usize = 32;

/// How the requests of one route ended after the signal of a stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    /// Requests that got the response of an upstream, whether or not it was delivered.
    pub answered: usize,
    /// Of these, requests whose response the kernel has taken.
    pub delivered: usize,
    /// Requests that were refused as not executed.
    pub refused: usize,
    /// Requests that failed otherwise.
    pub failed: usize,
    /// Requests whose caller disconnected before the response.
    pub abandoned: usize,
    /// Requests that were still in flight at the exit.
    pub unfinished: usize,
    /// Longest time from the arrival of one of these requests to its end or to the exit.
    pub longest: Duration,
}

impl Tally {
    fn add(&mut self, entry: &Entry, end: End, now: Instant) {
        match (entry.response, end) {
            (Some(Response::Answered(_)), End::Delivered) => {
                self.answered += 1;
                self.delivered += 1;
            }
            (Some(Response::Answered(_)), _) => self.answered += 1,
            (Some(Response::Refused(_)), _) => self.refused += 1,
            (Some(Response::Failed(_)), _) => self.failed += 1,
            (None, End::Exit) => {}
            (None, _) => self.abandoned += 1,
        }
        if end == End::Exit {
            self.unfinished += 1;
        }
        self.longest = self.longest.max(now.saturating_duration_since(entry.arrived));
    }
}

/// How a request left the registry.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum End {
    /// Its response was delivered.
    Delivered,
    /// Its connection ended before its response was delivered.
    Undelivered,
    /// Its caller disconnected before the response, or its response was cut off.
    #[default]
    Broken,
    /// The process exits.
    Exit,
}

/// How requests ended after the signal of a stop, by route.
#[derive(Debug, Default)]
pub(super) struct Tallies {
    pub(super) by_route: collections::BTreeMap<String, Tally>,
    pub(super) undelivered: usize,
}

impl Tallies {
    pub(super) fn add(&mut self, entry: &Entry, end: End, now: Instant) {
        match end {
            End::Undelivered => self.undelivered += 1,
            End::Exit if entry.response.is_some() => self.undelivered += 1,
            End::Exit | End::Delivered | End::Broken => {}
        }
        let route = entry.route_name();
        if let Some(tally) = self.by_route.get_mut(route) {
            tally.add(entry, end, now);
        } else if self.by_route.len() < MAX_ROUTES {
            self.by_route.entry(route.to_owned()).or_default().add(entry, end, now);
        }
    }
}
