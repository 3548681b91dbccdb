//! Eras of a copy: what is kept of it when the store was restored from a copy of its own, and when the doubt ends.
//!
//! Relies on [`store_restore`] for what holds of two values whose revisions cannot be compared.

use platform::fact;
use platform::store::item;
use steer::dispatch::fleet::store_restore;

use crate::gateway::replica::changes::Changes;
use crate::gateway::replica::entry::{self, Entry};
use crate::gateway::replica::history;
use crate::gateway::replica::{MOST_REMOVED, Replica, redacted};

impl Replica {
    /// Takes the copy from which the store came back; what is known otherwise is kept, and in doubt.
    pub(super) fn begin_era(&mut self, page: item::Page, changes: &mut Changes) {
        let removed = std::mem::take(&mut self.removed);
        let removed = removed.into_iter().map(|((_, key), content)| (key, content));
        self.removed_before.extend(removed);
        self.removed_before.retain(|key, _| !self.entries.contains_key(key));
        while self.removed_before.len() > MOST_REMOVED {
            self.removed_before.pop_first();
        }
        self.outdated.clear();
        self.is_in_doubt = !self.entries.is_empty();
        self.at = page.position();
        self.history = history::History::since(page.at);
        for item in page.items {
            self.is_in_doubt |= item.era < self.at.era;
            self.reconcile(item, changes);
        }
    }

    /// Takes an item of the copy, if nothing newer is known of its key.
    fn reconcile(&mut self, item: item::Item, changes: &mut Changes) {
        let fact = fact::read(&item.key, &item.value);
        let copy =
            fact.as_ref().map_or(store_restore::Content::Undated, |f| entry::content(f, &item));
        if item.is_removed {
            // Another node knows that it ended, and what the copy says of its age.
            if !self.entries.contains_key(&item.key) {
                self.removed_before.entry(item.key).or_insert(copy);
            }
            return;
        }
        let stands = match (self.entries.get(&item.key), self.removed_before.get(&item.key)) {
            (Some(known), _) if known.item.era >= item.era => {
                known.item.position() < item.position()
            }
            (Some(known), _) => store_restore::replaces(known.content(), copy),
            (None, Some(removed)) => store_restore::overrides_removal(*removed, copy, false),
            (None, None) => true,
        };
        match stands {
            true => self.put(item, fact, changes),
            // What another node has in doubt is not what the store holds.
            false if item.era < self.at.era => {}
            false => {
                self.outdated.insert(item.key.clone(), redacted(item));
            }
        }
    }

    /// Takes an item that another node has in doubt, unless this one knows better.
    pub(super) fn take_doubtful(&mut self, item: item::Item, changes: &mut Changes) {
        let is_known = self.entries.contains_key(&item.key)
            || self.removed_before.contains_key(&item.key)
            || self.outdated.contains_key(&item.key)
            || self.removed.keys().any(|(_, removed)| *removed == item.key);
        if self.is_in_doubt && !is_known && !item.is_removed {
            let fact = fact::read(&item.key, &item.value);
            self.put(item, fact, changes);
        }
    }

    /// Ends the doubt: what was not written again is gone, and what stands in the store still is so.
    pub fn end_doubt(&mut self) -> Changes {
        let mut changes = Changes::default();
        self.is_in_doubt = false;
        let outdated = std::mem::take(&mut self.outdated);
        let is_lacking = |e: &&Entry| {
            let is_before = e.item.era < self.at.era && e.item.key != fact::CONFIG;
            is_before && !outdated.contains_key(&e.item.key)
        };
        let lacking: Vec<String> =
            self.entries.values().filter(is_lacking).map(|e| e.item.key.clone()).collect();
        for key in lacking {
            let content = self.forget(&key, &mut changes);
            self.removed_before.extend(content.map(|content| (key, content)));
        }
        for (key, item) in outdated {
            let removed = self.removed_before.get(&key).copied();
            let fact = fact::read(&item.key, &item.value);
            let copy =
                fact.as_ref().map_or(store_restore::Content::Undated, |f| entry::content(f, &item));
            match removed
                .is_some_and(|removed| store_restore::overrides_removal(removed, copy, true))
            {
                true => self.put(item, fact, &mut changes),
                // It may be read again, and is as old then as now.
                false => {
                    self.outdated.insert(key, item);
                }
            }
        }
        changes
    }
}
