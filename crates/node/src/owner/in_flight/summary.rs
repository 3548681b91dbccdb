//! How requests ended since a node began to stop, by service.

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::owner::in_flight::phase::Phase;
use crate::owner::in_flight::{self, Outcome};

/// Why a request is no longer in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// It ended by itself, or its caller left.
    Ended,
    /// The node exits.
    CutOff,
}

/// How the requests of one service ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Requests that an upstream answered.
    pub answered: usize,
    /// Those of them whose whole answer has left the node.
    pub delivered: usize,
    /// Requests that were not run.
    pub refused: usize,
    /// Requests that may have run, and got no whole answer.
    pub failed: usize,
    /// Requests whose callers left before the head of the response.
    pub abandoned: usize,
    /// Requests that the exit cuts off.
    pub unfinished: usize,
    /// Longest time from the arrival of a request to its end.
    pub longest: Duration,
}

impl Counts {
    fn count(&mut self, state: &in_flight::State, end: End, now: Instant) {
        match (state.outcome, end) {
            (Some(Outcome::Answered(_)), _) => self.answered += 1,
            (Some(Outcome::Refused(_)), _) => self.refused += 1,
            (Some(Outcome::Failed(_)), _) => self.failed += 1,
            (None, End::Ended) => self.abandoned += 1,
            (None, End::CutOff) => {}
        }
        let is_delivered = state.phase == Phase::Delivered;
        let is_answered = matches!(state.outcome, Some(Outcome::Answered(_)));
        self.delivered += usize::from(is_answered && is_delivered);
        self.unfinished += usize::from(end == End::CutOff);
        self.longest = self.longest.max(now.saturating_duration_since(state.arrived));
    }

    /// Returns the requests that were answered and whose answer has not left the node whole.
    #[must_use]
    pub fn undelivered(&self) -> usize {
        self.answered - self.delivered
    }
}

/// How requests ended, by service; those that named none share one entry.
#[derive(Clone, Debug, Default)]
pub struct Summary {
    by_service: collections::BTreeMap<Option<id::Service>, Counts>,
}

impl Summary {
    /// Counts a request that ended at `now`.
    pub fn count(&mut self, state: &in_flight::State, end: End, now: Instant) {
        self.by_service.entry(state.service.clone()).or_default().count(state, end, now);
    }

    /// Returns the counts by service.
    #[must_use]
    pub fn by_service(&self) -> &collections::BTreeMap<Option<id::Service>, Counts> {
        &self.by_service
    }
}
