//! A region's membership table as stored in the store.

use serde::{Deserialize, Serialize};

use crate::epoch;
use crate::id;
use crate::member;

/// Maximum number of earlier epochs in a table, which bounds its size in the store. A join that
/// would exceed it is delayed.
pub const MAX_PAST_EPOCHS: usize = 24;

/// The membership of a region in the current and earlier epochs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// Name of the region.
    pub region: id::Region,
    /// Current epoch; every rewrite of the table increases it by one.
    pub epoch: epoch::Epoch,
    /// Nodes of the current epoch.
    #[serde(rename = "seats")]
    pub listed: Vec<member::Listed>,
    /// Nodes that left but may still use shares of an earlier epoch.
    pub departed: Vec<member::Departed>,
    /// Earlier epochs that some node may still use, oldest first.
    pub past: Vec<PastEpoch>,
}

/// The nodes of an earlier epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastEpoch {
    /// Number of the epoch.
    pub epoch: epoch::Epoch,
    /// Nodes of the epoch.
    pub keys: Vec<member::Key>,
}

impl Table {
    /// Creates the table of a region without nodes.
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

    /// Returns the entry of `key` in the current epoch.
    #[must_use]
    pub fn find(&self, key: &member::Key) -> Option<&member::Listed> {
        self.listed.iter().find(|s| s.key == *key)
    }

    /// Returns the lowest epoch that some node may still use.
    #[must_use]
    pub fn lowest_epoch_in_use(&self) -> epoch::Epoch {
        let listed = self.listed.iter().map(|s| s.settled);
        let departed = self.departed.iter().map(|d| d.settled);
        listed.chain(departed).min().unwrap_or(self.epoch).min(self.epoch)
    }

    /// Returns the table of the next epoch.
    ///
    /// Adds `joins` to the listed nodes, moves `leaves` to the departed nodes and removes `ended`
    /// from the departed nodes.
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
            next.past.push(PastEpoch { epoch: self.epoch, keys });
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
        next.prune_past();
        next
    }

    /// Lists a node; one that departed and was never proved to have ended keeps its reserved past.
    fn relist(&self, join: &member::Listed, epoch: epoch::Epoch) -> member::Listed {
        let before = self.departed.iter().find(|d| d.key == join.key);
        let settled = before.map_or(epoch, |d| d.settled);
        member::Listed { settled, ..join.clone() }
    }

    /// Removes the earlier epochs that no node may use any more.
    fn prune_past(&mut self) {
        let lowest = self.lowest_epoch_in_use();
        self.past.retain(|p| p.epoch >= lowest);
    }
}
