//! History of a copy: after which revisions it knows every change one by one.
//!
//! A copy that was read whole lacks what was written and removed again since the one before it. Of two such readings
//! only the time between them is lost: a node that is as far as the first, or as the second, is told what changed
//! since, and needs no whole copy.

use std::collections;

/// Gaps that are remembered; the oldest are forgotten with all that was before them.
const MAX_GAPS: usize = 32;

/// Writes that are remembered; whoever is further behind has all entries looked through.
const MAX_WRITES: usize = 2_048;

/// What a copy knows of the changes of one era.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Revision before which nothing is known.
    floor: u64,
    /// Revisions between which changes are not known, without the first and the last of each.
    gaps: collections::VecDeque<(u64, u64)>,
    /// The latest writes: their revisions, and the keys that were written.
    writes: collections::BTreeSet<(u64, String)>,
    /// Revision after which every write is among them.
    writes_after: u64,
}

impl History {
    /// Returns a history that begins at a revision.
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

    /// Notes that the changes between two revisions are not known one by one.
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

    /// Notes that a key was written.
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

    /// Returns the keys that were written after `revision`, some of them more than once or removed since; none
    /// where that is no longer known.
    #[must_use]
    pub fn written_after(&self, revision: u64) -> Option<collections::BTreeSet<&str>> {
        let writes = self.writes.range((revision + 1, String::new())..);
        (revision >= self.writes_after).then(|| writes.map(|(_, key)| key.as_str()).collect())
    }

    /// Forgets what was before a revision.
    pub fn forget(&mut self, revision: u64) {
        self.floor = self.floor.max(revision);
    }
}
