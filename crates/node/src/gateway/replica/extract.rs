//! Extracts of a copy: what another node lacks.

use platform::fact;
use platform::store::{item, position};
use wire::gateway::extract;

use crate::gateway::replica::entry::Entry;
use crate::gateway::replica::{Changes, Replica};

impl Replica {
    /// Returns what has changed after `after`; everything when that is no longer known.
    #[must_use]
    pub fn extract(&self, after: position::Position) -> extract::Extract {
        let is_known = after.era == self.at.era && self.history.contains(after.revision);
        let is_whole = !is_known || after.revision == 0;
        let written = if is_whole { None } else { self.history.written_after(after.revision) };
        let entries: Box<dyn Iterator<Item = &Entry>> = match written {
            Some(keys) => Box::new(keys.into_iter().filter_map(|key| self.entries.get(key))),
            None => Box::new(self.entries.values()),
        };
        let is_news = |i: &&item::Item| is_whole || i.position() > after;
        let mut items: Vec<item::Item> =
            entries.map(|entry| &entry.item).filter(is_news).cloned().collect();
        match is_whole {
            true => items.extend(self.outdated.values().map(|i| self.marked(i))),
            false => items.extend(self.removed_after(after.revision)),
        }
        let (at, era) = (self.at.revision, self.at.era);
        extract::Extract {
            page: item::Page { items, more: false, at, era },
            is_whole,
            fleet: self.fleet.map_or(0, |fleet| fleet.0.get()),
        }
    }

    /// Returns an item that does not stand; the entry of an upstream that ended is marked as removed, with what it says of its age, since a
    /// node that starts does not know that it ended.
    fn marked(&self, item: &item::Item) -> item::Item {
        let is_entry = item.key.starts_with(fact::UPSTREAMS);
        let has_ended = is_entry && !self.entries.contains_key(&item.key);
        item::Item { is_removed: has_ended, ..item.clone() }
    }

    fn removed_after(&self, after: u64) -> impl Iterator<Item = item::Item> {
        self.removed.range((after + 1, String::new())..).map(|((revision, key), _)| item::Item {
            key: key.clone(),
            value: Vec::new(),
            revision: *revision,
            is_removed: true,
            lease: 0,
            era: self.at.era,
        })
    }

    /// Merges what another node sent.
    pub fn merge_extract(&mut self, extract: extract::Extract) -> Changes {
        match extract.is_whole {
            true => self.replace(extract.page),
            false => self.merge(extract.page),
        }
    }
}
