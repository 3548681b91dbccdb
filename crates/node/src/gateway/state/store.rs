//! The store as this node finds it: its calls, whether it answers, and whether this node watches it.
//!
//! Relies on [`store_calls`] for the record of calls, and on the dispatcher for what a failed one means for
//! entries that vanish.

use std::time::{Duration, Instant};

use platform::store::error;
use steer::dispatch::fleet::{freshness, store_call};

use crate::gateway::state::State;
use crate::gateway::store_calls;

impl State {
    /// Makes a call to the platform's store; the dispatcher learns of one that fails.
    ///
    /// # Errors
    ///
    /// Fails as the call does.
    pub async fn call_store<T>(
        &self,
        kind: store_calls::Kind,
        call: impl Future<Output = Result<T, error::Error>>,
    ) -> Result<T, error::Error> {
        let began = Instant::now();
        let outcome = self.calls.run(kind, &self.metrics, call).await;
        if outcome.as_ref().is_err_and(|error| !error.is_answer()) {
            self.dispatcher.borrow_mut().source_failed(began);
        }
        outcome
    }

    /// Returns the bound on this node's waits for the store.
    #[must_use]
    pub fn store_bound(&self) -> Duration {
        store_call::bound(&self.settings.borrow().bounds())
    }

    /// Returns whether this node watches the store.
    #[must_use]
    pub fn is_watching(&self) -> bool {
        self.is_watching.get()
    }

    /// Returns whether the store answered this node last time, and this node watches it or has just started.
    #[must_use]
    pub fn is_store_reached(&self) -> bool {
        self.me.borrow().is_store_reached
    }

    /// Returns whether this node or another living one reaches the store, and its copy is current.
    #[must_use]
    pub fn is_store_known(&self) -> bool {
        if self.copy_status() != freshness::Status::Current {
            return false;
        }
        let members = self.members.borrow();
        self.is_store_reached() || members.alive(Instant::now()).any(|m| m.is_store_reached)
    }

    /// Records that the store answered a stale read, which does not show that this node reaches it.
    pub fn store_answered(&self) {
        self.is_store_answering.set(true);
    }

    /// Records whether the store answers, and logs and announces a change.
    pub fn store_reached(&self, failure: Option<&dyn std::error::Error>) {
        let is_reached = failure.is_none();
        let was_answering = self.is_store_answering.replace(is_reached);
        let was_reached = self.set_store_reached(is_reached);
        if was_answering == is_reached && was_reached == is_reached {
            return;
        }
        match failure {
            None => log::info!(revision = self.replica.borrow().at().revision; "store-reached"),
            Some(error) => {
                let error = error.to_string();
                log::warn!(error = error.as_str(); "store-lost");
            }
        }
        self.beat.notify_one();
    }

    /// Records whether this node watches the store itself, and logs a change.
    ///
    /// A node that does not watch does not report that it reaches the store, since it would not notice otherwise.
    pub fn set_watching(&self, watching: bool) {
        if !watching {
            self.is_store_answering.set(false);
            self.set_store_reached(false);
        }
        if self.is_watching.replace(watching) == watching {
            return;
        }
        let reaching = self.reaching().len();
        log::info!(watching, reaching; "watching-changed");
    }

    /// Sets what this node reports about the store; returns what it reported before.
    fn set_store_reached(&self, is_reached: bool) -> bool {
        std::mem::replace(&mut self.me.borrow_mut().is_store_reached, is_reached)
    }
}
