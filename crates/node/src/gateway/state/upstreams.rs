//! Upstreams: how changes of the copy of the store reach the dispatcher.

use std::time::Instant;

use model::discovery;
use model::id;
use steer::dispatch::dispatcher;

use crate::gateway::replica;
use crate::gateway::state::State;
use crate::gateway::state::update;

impl State {
    /// Returns which upstreams changed: all of them while none are in force yet.
    pub(super) fn changed_upstreams(
        &self,
        replica: &replica::Replica,
        changes: &replica::Changes,
    ) -> Option<update::Upstreams> {
        if !self.is_complete.get() {
            return Some(update::Upstreams::All(replica.upstreams().cloned().collect()));
        }
        if changes.upstreams.is_empty() {
            return None;
        }
        let written = changes.upstreams.iter().filter_map(|name| replica.upstream(name));
        let is_gone = |name: &&id::Upstream| replica.upstream(name).is_none();
        Some(update::Upstreams::Changed {
            written: written.cloned().collect(),
            removed: changes.upstreams.iter().filter(is_gone).cloned().collect(),
        })
    }

    /// Waits until an upstream is out of reach, as [`steer::dispatch::connectivity`] defines it.
    pub async fn wait_until_out_of_reach(&self, upstream: &discovery::Entry) {
        loop {
            self.group_lost.notified().await;
            if self.dispatcher.borrow().is_out_of_reach(upstream, Instant::now()) {
                return;
            }
        }
    }

    /// Records that a connection to an upstream could not be opened, or was closed before a response.
    pub fn record_connection_failure(&self, upstream: &discovery::Entry) {
        let mut dispatcher = self.dispatcher.borrow_mut();
        if dispatcher.record_connection_failure(upstream, Instant::now()) {
            self.check_due.notify_one();
        }
    }

    /// Records that an upstream sent more than the responses to its requests.
    pub fn record_surplus(&self, upstream: &discovery::Entry) {
        let id = upstream.id.as_str();
        log::info!(upstream = id; "answer-surplus");
        self.dispatcher.borrow_mut().record_surplus(upstream, Instant::now());
    }
}

/// Puts changed upstreams into force; returns whether any was not in force already.
pub(super) fn adopt(
    dispatcher: &mut dispatcher::Dispatcher,
    upstreams: update::Upstreams,
    now: Instant,
) -> bool {
    match upstreams {
        update::Upstreams::All(entries) => {
            let differs = dispatcher.differs(&entries);
            if differs {
                dispatcher.set_upstreams(entries.into_iter(), now);
            }
            differs
        }
        update::Upstreams::Changed { mut written, mut removed } => {
            written.retain(|entry| dispatcher.is_news(entry));
            removed.retain(|name| dispatcher.is_listed(name));
            let differs = !written.is_empty() || !removed.is_empty();
            if differs {
                dispatcher.update_upstreams(written, &removed, now);
            }
            differs
        }
    }
}
