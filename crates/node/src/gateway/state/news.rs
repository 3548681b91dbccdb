//! News of the store: the answers and heartbeats that show how old this node's copy is.
//!
//! [`freshness`] decides what the node may believe of its copy; the dispatcher acts on it.

use std::time::{Duration, Instant};

use platform::field;
use steer::dispatch::fleet::{freshness, gossip, store_call};

use crate::gateway::member;
use crate::gateway::state::State;

impl State {
    /// Returns what this node may believe of its copy of the store.
    #[must_use]
    pub fn belief(&self) -> freshness::Belief {
        self.dispatcher.borrow().belief()
    }

    /// Returns the age of the latest news; `None` if there is none.
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
        self.update_belief(now);
    }

    /// Records the news in a heartbeat.
    ///
    /// A node of the version before reports no age, only whether it reaches the store; its news is as old as the
    /// longest watch.
    pub(in crate::gateway) fn hear_copy(&self, member: &member::Member, now: Instant) {
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

    /// Records the news in the latest heartbeats, after the copy has reached a later position.
    pub(super) fn hear_members(&self, now: Instant) {
        let at = self.replica.borrow().at();
        let until = self.members.borrow().complete_until(at, now);
        if let Some(until) = until {
            self.confirm(until);
        }
    }

    /// Forgets all news, because the process stood still until `now`.
    pub fn forget_news(&self, now: Instant) {
        let mut freshness = self.freshness.get();
        freshness.reset(now);
        self.freshness.set(freshness);
        self.update_belief(now);
    }

    /// Updates what this node believes of its copy, and logs a change.
    pub(super) fn update_belief(&self, now: Instant) {
        let contact = || self.members.borrow().contact(now);
        let mut freshness = self.freshness.get();
        let belief = freshness.update(contact, self.store_bound(), now);
        self.freshness.set(freshness);
        let before = self.belief();
        if belief == before {
            return;
        }
        self.dispatcher.borrow_mut().set_belief(belief);
        let age_ms = freshness.age(now).map(field::whole_millis);
        let revision = self.replica.borrow().at().revision;
        let (belief_name, before_name) = (belief.as_str(), before.as_str());
        log::info!(belief = belief_name, before = before_name, age_ms, revision; "copy-belief-changed");
        if belief == freshness::Belief::Current {
            self.news.notify_waiters();
            self.beat.notify_one();
        }
    }

    /// Returns what this node reports of its copy to other nodes.
    pub(super) fn copy_report(&self, now: Instant) -> freshness::Report {
        let is_current = self.belief() == freshness::Belief::Current;
        freshness::Report {
            age: self.copy_age(now).filter(|_| is_current),
            hears_far: self.members.borrow().hears_far(now),
        }
    }

    /// Records that the copy of the store is complete.
    pub(super) fn complete(&self, now: Instant) {
        if !self.is_complete.replace(true) {
            self.completed.set(Some(now));
            self.update_nodes();
        }
    }

    /// Waits for the first news after the start, for [`freshness::FIRST_NEWS_WAIT`] at most.
    ///
    /// Until then this node does not know which upstreams are cold, and could send them few requests only.
    pub async fn wait_for_news(&self) {
        if self.belief() != freshness::Belief::Unconfirmed {
            return;
        }
        let Some(completed) = self.completed.get() else { return };
        let until = completed + freshness::FIRST_NEWS_WAIT;
        // Without news in time, upstreams are asked whether they are warm.
        let _ = tokio::time::timeout_at(until.into(), self.news.notified()).await;
    }

    /// Returns whether registered nodes count as alive before their first heartbeat.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        let near = self.members.borrow().near_count();
        now.saturating_duration_since(self.started) < gossip::near_dead_after(near)
    }
}
