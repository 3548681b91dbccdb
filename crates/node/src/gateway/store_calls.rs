//! Calls to the platform's store: which wait for an answer, since when, and how they end.
//!
//! Owns the times of this node's calls and logs those that fail. What follows from a failure is up to the
//! tasks that call: [`sync`](crate::gateway::sync) and [`registration`](crate::gateway::registration).

use std::cell;
use std::collections;
use std::time::{Duration, Instant};

use platform::field;
use platform::store::error;

use crate::gateway::metrics;

/// What a call is for; a node makes one call of a kind at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Waits for changes.
    Watch,
    /// Reads everything.
    Read,
    /// Asks for a lease.
    Lease,
    /// Writes this node's entry.
    Entry,
    /// Renews the lease.
    Renewal,
    /// Writes a ruling on requests that crash upstreams, or removes one.
    Ruling,
    /// Writes the number of the fleet.
    Fleet,
    /// Records a stage of a roll-out.
    Rollout,
}

impl Kind {
    /// Every kind.
    pub const ALL: [Self; 8] = [
        Self::Watch,
        Self::Read,
        Self::Lease,
        Self::Entry,
        Self::Renewal,
        Self::Ruling,
        Self::Fleet,
        Self::Rollout,
    ];

    /// Returns the kind as the log key `call` holds it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Watch => "watch",
            Self::Read => "read",
            Self::Lease => "lease",
            Self::Entry => "entry",
            Self::Renewal => "renewal",
            Self::Ruling => "ruling",
            Self::Fleet => "fleet",
            Self::Rollout => "rollout",
        }
    }

    /// Returns the counter of its calls.
    fn counter(self, metrics: &metrics::Metrics) -> &metrics::Counter {
        match self {
            Self::Watch => &metrics.store_watches,
            Self::Read => &metrics.store_reads,
            Self::Lease => &metrics.store_leases,
            Self::Entry => &metrics.store_entries,
            Self::Renewal => &metrics.store_renewals,
            Self::Ruling => &metrics.store_rulings,
            Self::Fleet => &metrics.store_fleets,
            Self::Rollout => &metrics.store_rollouts,
        }
    }
}

/// A call that waits for its answer.
#[derive(Clone, Copy, Debug)]
struct Waiting {
    began: Instant,
    is_logged: bool,
}

/// This node's calls to the store.
#[derive(Debug, Default)]
pub struct Calls {
    waiting: cell::RefCell<collections::BTreeMap<Kind, Waiting>>,
    answered: cell::Cell<Option<Instant>>,
}

impl Calls {
    /// Makes a call and records how it ends.
    ///
    /// # Errors
    ///
    /// Fails as the call does.
    pub async fn run<T>(
        &self,
        kind: Kind,
        metrics: &metrics::Metrics,
        call: impl Future<Output = Result<T, error::Error>>,
    ) -> Result<T, error::Error> {
        metrics.store_calls.add(1);
        kind.counter(metrics).add(1);
        let began = Instant::now();
        self.waiting.borrow_mut().insert(kind, Waiting { began, is_logged: false });
        // Also when this call is dropped.
        let _ended = Ended { calls: self, kind };
        let outcome = call.await;
        match &outcome {
            Err(error) if !error.is_answer() => {
                metrics.store_calls_failed.add(1);
                let (call, error) = (kind.as_str(), error.to_string());
                let waited_ms = field::whole_millis(began.elapsed());
                log::warn!(call, error = error.as_str(), waited_ms; "store-call-failed");
            }
            _ => self.answered.set(Some(Instant::now())),
        }
        outcome
    }

    /// Returns how long ago the store last answered a call of this node; none when it never did.
    #[must_use]
    pub fn since_answer(&self, now: Instant) -> Option<Duration> {
        self.answered.get().map(|at| now.saturating_duration_since(at))
    }

    /// Returns for how long the call of a kind has waited for its answer; none when there is none.
    #[must_use]
    pub fn waiting(&self, kind: Kind, now: Instant) -> Option<Duration> {
        self.waiting.borrow().get(&kind).map(|w| now.saturating_duration_since(w.began))
    }

    /// Logs, once a call, those that have waited for longer than `usual`.
    pub fn log_unanswered(&self, usual: Duration, now: Instant) {
        for (kind, waiting) in self.waiting.borrow_mut().iter_mut() {
            let waited = now.saturating_duration_since(waiting.began);
            if waited > usual && !std::mem::replace(&mut waiting.is_logged, true) {
                log::warn!(call = kind.as_str(), waited_ms = field::whole_millis(waited); "store-call-unanswered");
            }
        }
    }
}

/// Ends the record of a call when it is dropped.
struct Ended<'a> {
    calls: &'a Calls,
    kind: Kind,
}

impl Drop for Ended<'_> {
    fn drop(&mut self) {
        self.calls.waiting.borrow_mut().remove(&self.kind);
    }
}
