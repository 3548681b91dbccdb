//! History: the range of revisions for which a copy knows every change.
//!
//! A whole read of the store does not show the keys that were written and removed again since the previous position of
//! the copy. Only the revisions between these two positions are lost. A node at either position can still be sent the
//! changes since then instead of a whole copy.

use std::collections;

/// Maximum number of gaps; the history starts after the oldest one if there are more.
const MAX_GAPS: usize = 32;

/// Maximum number of recorded writes; an extract for a node further behind visits all entries.
const MAX_WRITES: usize = 2_048;

/// What a copy knows of the changes of one era.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Revision before which no changes are known.
    floor: u64,
    /// Ranges of unknown changes, as the known revisions before and after each.
    gaps: collections::VecDeque<(u64, u64)>,
    /// Revision and key of each recent write.
    writes: collections::BTreeSet<(u64, String)>,
    /// Revision after which `writes` is complete.
    writes_after: u64,
}

impl History {
    /// Creates a history that starts at a revision.
    #[must_use]
    pub fn since(revision: u64) -> Self {
        Self { floor: revision, writes_after: revision, ..Self::default() }
    }

    /// Returns whether every change after `revision` is known.
    #[must_use]
    pub fn contains(&self, revision: u64) -> bool {
        let is_inside = |(from, to): &(u64, u64)| *from < revision && revision < *to;
        revision >= self.floor && !self.gaps.iter().any(is_inside)
    }

    /// Records that the changes between two revisions are unknown.
    pub fn skip(&mut self, from: u64, to: u64) {
        if from >= to {
            return;
        }
        self.gaps.push_back((from, to));
        if self.gaps.len() > MAX_GAPS
            && let Some((_, to)) = self.gaps.pop_front()
        {
            self.forget(to);
        }
    }

    /// Records that a key was written.
    pub fn write(&mut self, revision: u64, key: &str) {
        if revision <= self.writes_after {
            return;
        }
        self.writes.insert((revision, key.to_owned()));
        if self.writes.len() > MAX_WRITES
            && let Some((revision, _)) = self.writes.pop_first()
        {
            self.writes_after = revision;
        }
    }

    /// Returns the keys written after `revision`, which may have been removed since; `None` if the history does not
    /// reach back that far.
    #[must_use]
    pub fn written_after(&self, revision: u64) -> Option<collections::BTreeSet<&str>> {
        let writes = self.writes.range((revision + 1, String::new())..);
        (revision >= self.writes_after).then(|| writes.map(|(_, key)| key.as_str()).collect())
    }

    /// Removes the history before a revision.
    pub fn forget(&mut self, revision: u64) {
        self.floor = self.floor.max(revision);
    }
}
