//! Status of this node's copy of the store.
//!
//! Collects what confirms the copy: responses of the store and heartbeats of other nodes. [`freshness`] determines
//! the status, and the dispatcher acts on it.

use std::time::{Duration, Instant};

use platform::field;
use steer::dispatch::fleet::{freshness, gossip, store_call};

use crate::gateway::member;
use crate::gateway::state::State;

impl State {
    /// Returns whether this node's copy of the store is up to date.
    #[must_use]
    pub fn copy_status(&self) -> freshness::Status {
        self.dispatcher.borrow().copy_status()
    }

    /// Returns the age of the latest confirmation; `None` if there is none.
    #[must_use]
    pub fn copy_age(&self, now: Instant) -> Option<Duration> {
        self.freshness.get().age(now)
    }

    /// Records that the copy contains every change up to `until`.
    pub fn confirm(&self, until: Instant) {
        let now = Instant::now();
        let mut freshness = self.freshness.get();
        freshness.confirm(until, now);
        self.freshness.set(freshness);
        self.update_copy_status(now);
    }

    /// Records a confirmation by a heartbeat.
    ///
    /// A node of the previous version reports only whether it reaches the store; its copy is assumed to be as old as
    /// the longest watch.
    pub(in crate::gateway) fn record_peer_copy(&self, member: &member::Member, now: Instant) {
        if member.position() > self.replica.borrow().at() {
            return;
        }
        let age = match member.copy {
            Some(copy) => copy.age,
            None => member.is_store_reached.then(|| store_call::watch(self.store_bound())),
        };
        if let Some(until) = age.and_then(|age| now.checked_sub(age)) {
            self.confirm(until);
        }
    }

    /// Records confirmations by the latest heartbeats, after the copy has reached a later position.
    pub(super) fn record_peer_copies(&self, now: Instant) {
        let at = self.replica.borrow().at();
        let until = self.members.borrow().complete_until(at, now);
        if let Some(until) = until {
            self.confirm(until);
        }
    }

    /// Forgets all confirmations, because the process was paused until `now`.
    pub fn reset_freshness(&self, now: Instant) {
        let mut freshness = self.freshness.get();
        freshness.reset(now);
        self.freshness.set(freshness);
        self.update_copy_status(now);
    }

    /// Updates the status of the copy, and logs a change.
    pub(super) fn update_copy_status(&self, now: Instant) {
        let contact = || self.members.borrow().contact(now);
        let mut freshness = self.freshness.get();
        let status = freshness.update(contact, self.store_bound(), now);
        self.freshness.set(freshness);
        let before = self.copy_status();
        if status == before {
            return;
        }
        self.dispatcher.borrow_mut().set_copy_status(status);
        let age_ms = freshness.age(now).map(field::whole_millis);
        let revision = self.replica.borrow().at().revision;
        let (status_name, before_name) = (status.as_str(), before.as_str());
        log::info!(status = status_name, before = before_name, age_ms, revision; "copy-status-changed");
        if status == freshness::Status::Current {
            self.confirmed.notify_waiters();
            self.beat.notify_one();
        }
    }

    /// Returns what this node reports of its copy to other nodes.
    pub(super) fn copy_report(&self, now: Instant) -> freshness::Report {
        let is_current = self.copy_status() == freshness::Status::Current;
        freshness::Report {
            age: self.copy_age(now).filter(|_| is_current),
            has_far_contact: self.members.borrow().has_far_contact(now),
        }
    }

    /// Records that the copy of the store is complete.
    pub(super) fn complete(&self, now: Instant) {
        if !self.is_complete.replace(true) {
            self.completed.set(Some(now));
            self.update_nodes();
        }
    }

    /// Waits until the copy is confirmed after the start, for [`freshness::CONFIRMATION_WAIT`] at most.
    ///
    /// Until then this node cannot tell which upstreams are cold.
    pub async fn wait_for_confirmation(&self) {
        if self.copy_status() != freshness::Status::Unconfirmed {
            return;
        }
        let Some(completed) = self.completed.get() else { return };
        let until = completed + freshness::CONFIRMATION_WAIT;
        // Without a confirmation in time, upstreams are checked before requests are sent to them.
        let _ = tokio::time::timeout_at(until.into(), self.confirmed.notified()).await;
    }

    /// Returns whether registered nodes count as alive before their first heartbeat.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let near = self.members.borrow().near_count();
        now.saturating_duration_since(self.started) < gossip::near_dead_after(near)
    }
}
