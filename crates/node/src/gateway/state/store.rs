//! The store as this node finds it: its calls, whether it answers, and whether this node watches it.
//!
//! Relies on [`store_calls`] for the record of calls, and on the dispatcher for what a failed one means for
//! entries that vanish.

use std::time::Instant;

use platform::store::error;

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

    /// Returns whether the store answered last time.
    #[must_use]
    pub fn is_store_reached(&self) -> bool {
        self.me.borrow().is_store_reached
    }

    /// Records whether the store answers, and logs a change.
    pub fn store_reached(&self, failure: Option<&dyn std::error::Error>) {
        let is_reached = failure.is_none();
        let was_reached = std::mem::replace(&mut self.me.borrow_mut().is_store_reached, is_reached);
        match failure {
            None if !was_reached => {
                log::info!(revision = self.replica.borrow().at(); "store-reached");
            }
            Some(error) if was_reached => {
                let error = error.to_string();
                log::warn!(error = error.as_str(); "store-lost");
            }
            _ => {}
        }
    }

    /// Records whether this node watches the store itself, and logs a change.
    pub fn set_watching(&self, watching: bool) {
        if self.is_watching.replace(watching) != watching {
            let reaching = self.reaching().len();
            log::info!(watching, reaching; "watching-changed");
        }
    }
}
