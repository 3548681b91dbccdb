//! A region's membership table, as it lies in the store.

use serde::{Deserialize, Serialize};

use crate::epoch;
use crate::id;
use crate::member;

/// Earlier epochs a table may carry; a join waits when there would be more. Not measured; bounds the
/// table's size in the store.
pub const MOST_PAST: usize = 24;

/// The nodes of a region, by epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The region.
    pub region: id::Region,
    /// Grows by one with every rewrite.
    pub epoch: epoch::Epoch,
    /// The nodes of this epoch.
    #[serde(rename = "seats")]
    pub listed: Vec<member::Listed>,
    /// Nodes that may still use shares of an earlier epoch.
    pub departed: Vec<member::Departed>,
    /// Earlier epochs that some node may still act on, oldest first.
    pub past: Vec<Past>,
}

/// The nodes of an earlier epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The epoch.
    pub epoch: epoch::Epoch,
    /// Its nodes.
    pub keys: Vec<member::Key>,
}

impl Table {
    /// Makes the table of a region that has no node yet.
    #[must_use]
    pub fn empty(region: &id::Region) -> Self {
        Self {
            region: region.clone(),
            epoch: epoch::Epoch(0),
            listed: Vec::new(),
            departed: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Returns the entry of `key`, if this epoch lists it.
    #[must_use]
    pub fn find(&self, key: &member::Key) -> Option<&member::Listed> {
        self.listed.iter().find(|s| s.key == *key)
    }

    /// Returns the lowest epoch that some node may still act on.
    #[must_use]
    pub fn lowest(&self) -> epoch::Epoch {
        let listed = self.listed.iter().map(|s| s.settled);
        let departed = self.departed.iter().map(|d| d.settled);
        listed.chain(departed).min().unwrap_or(self.epoch).min(self.epoch)
    }

    /// Returns the next table: `joins` added, `leaves` moved to the departed, `ended` forgotten.
    #[must_use]
    pub fn next(
        &self,
        joins: &[member::Listed],
        leaves: &[member::Key],
        ended: &[member::Key],
    ) -> Self {
        let epoch = self.epoch.next();
        let mut next = self.clone();
        next.epoch = epoch;
        if !self.listed.is_empty() {
            let keys = self.listed.iter().map(|s| s.key.clone()).collect();
            next.past.push(Past { epoch: self.epoch, keys });
        }
        for listed in self.listed.iter().filter(|s| leaves.contains(&s.key)) {
            next.departed.push(member::Departed {
                key: listed.key.clone(),
                peers: listed.peers,
                settled: listed.settled,
                last: self.epoch,
            });
        }
        next.listed.retain(|s| !leaves.contains(&s.key));
        next.departed.retain(|d| !ended.contains(&d.key));
        for join in joins {
            next.listed.push(self.relist(join, epoch));
            next.departed.retain(|d| d.key != join.key);
        }
        next.listed.sort_by(|a, b| a.key.cmp(&b.key));
        next.forget_past();
        next
    }

    /// Lists a node; one that departed and was never proved to have ended keeps its reserved past.
    fn relist(&self, join: &member::Listed, epoch: epoch::Epoch) -> member::Listed {
        let before = self.departed.iter().find(|d| d.key == join.key);
        let settled = before.map_or(epoch, |d| d.settled);
        member::Listed { settled, ..join.clone() }
    }

    /// Drops the earlier epochs that no node may act on any more.
    fn forget_past(&mut self) {
        let lowest = self.lowest();
        self.past.retain(|p| p.epoch >= lowest);
    }
}
