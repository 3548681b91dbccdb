//! The store's era as this node knows it, and the doubt after the store was restored from a copy.

use std::time::Instant;

use platform::store::{client, position};
use steer::dispatch::fleet::store_restore;

use crate::gateway::replica;
use crate::gateway::state::{State, update};

impl State {
    /// Logs what the store says beside its answers, where that is new.
    pub fn hear_store(&self, client: &client::Client) {
        for name in client.take_unknown() {
            self.metrics.unknown_headers.record(&name, "store");
        }
        self.note_era(client.era());
    }

    /// Notes an era that the store named, or another node has; logs it where it is new.
    pub(super) fn note_era(&self, era: u64) {
        let before = self.store_era.get();
        if before < era {
            self.store_era.set(era);
            let revision = self.replica.borrow().at().revision;
            log::warn!(era, before, revision; "store-era-changed");
            self.era_changed.notify_one();
        }
    }

    /// Returns the highest era that the store named to this node, or another node has.
    #[must_use]
    pub fn store_era(&self) -> u64 {
        self.store_era.get()
    }

    /// Ends the doubt after a return of the store from a copy, when it is time.
    pub(super) fn end_doubt(&self, now: Instant) {
        let Some(era) = self.replica.borrow().doubtful_era() else {
            self.doubt.set(None);
            return;
        };
        match self.doubt.get() {
            Some((doubted, since)) if doubted == era && store_restore::is_over(since, now) => {
                self.apply(update::Source::Store, replica::Replica::end_doubt);
            }
            Some((doubted, _)) if doubted == era => {}
            _ => self.doubt.set(Some((era, now))),
        }
    }

    /// Reports a position of the copy from now on; returns whether it is a later one.
    pub(super) fn advance(&self, at: position::Position) -> bool {
        let mut me = self.me.borrow_mut();
        let is_ahead = at > me.position();
        (me.at, me.era) = (at.revision, at.era);
        is_ahead
    }
}
