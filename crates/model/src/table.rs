//! A region's membership table, as it lies in the store.

use serde::{Deserialize, Serialize};

use crate::epoch;
use crate::id;
use crate::seat;

/// Earlier epochs a table may carry; a join waits when there would be more.
pub const MOST_PAST: usize = 24;

/// The nodes of a region, by epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Table {
    /// The region.
    pub region: id::Region,
    /// Grows by one with every rewrite.
    pub epoch: epoch::Epoch,
    /// The nodes of this epoch.
    pub seats: Vec<seat::Seat>,
    /// Nodes that may still use shares of an earlier epoch.
    pub departed: Vec<seat::Departed>,
    /// Earlier epochs that some node may still act on, oldest first.
    pub past: Vec<Past>,
}

/// The nodes of an earlier epoch.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
    /// The epoch.
    pub epoch: epoch::Epoch,
    /// Its nodes.
    pub keys: Vec<seat::Key>,
}

impl Table {
    /// Makes the table of a region that has no node yet.
    #[must_use]
    pub fn empty(region: &id::Region) -> Self {
        Self {
            region: region.clone(),
            epoch: epoch::Epoch(0),
            seats: Vec::new(),
            departed: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Returns the seat of `key`.
    #[must_use]
    pub fn seat(&self, key: &seat::Key) -> Option<&seat::Seat> {
        self.seats.iter().find(|s| s.key == *key)
    }

    /// Returns the seat of the node called `node`.
    #[must_use]
    pub fn seat_of(&self, node: &id::Node) -> Option<&seat::Seat> {
        self.seats.iter().find(|s| s.key.node == *node)
    }

    /// Returns the lowest epoch that some node may still act on.
    #[must_use]
    pub fn lowest(&self) -> epoch::Epoch {
        let seats = self.seats.iter().map(|s| s.settled);
        let departed = self.departed.iter().map(|d| d.settled);
        seats.chain(departed).min().unwrap_or(self.epoch).min(self.epoch)
    }

    /// Returns the next table: `joins` added, `leaves` moved to the departed, `ended` forgotten.
    #[must_use]
    pub fn next(&self, joins: &[seat::Seat], leaves: &[seat::Key], ended: &[seat::Key]) -> Self {
        let epoch = self.epoch.next();
        let mut next = self.clone();
        next.epoch = epoch;
        if !self.seats.is_empty() {
            let keys = self.seats.iter().map(|s| s.key.clone()).collect();
            next.past.push(Past { epoch: self.epoch, keys });
        }
        for seat in self.seats.iter().filter(|s| leaves.contains(&s.key)) {
            next.departed.push(seat::Departed {
                key: seat.key.clone(),
                peers: seat.peers,
                settled: seat.settled,
                last: self.epoch,
            });
        }
        next.seats.retain(|s| !leaves.contains(&s.key));
        next.departed.retain(|d| !ended.contains(&d.key));
        for join in joins {
            next.seats.push(self.seat_again(join, epoch));
            next.departed.retain(|d| d.key != join.key);
        }
        next.seats.sort_by(|a, b| a.key.cmp(&b.key));
        next.forget_past();
        next
    }

    /// Seats a node; one that departed and was never proved to have ended keeps its reserved past.
    fn seat_again(&self, join: &seat::Seat, epoch: epoch::Epoch) -> seat::Seat {
        let before = self.departed.iter().find(|d| d.key == join.key);
        let settled = before.map_or(epoch, |d| d.settled);
        seat::Seat { settled, ..join.clone() }
    }

    /// Drops the earlier epochs that nobody may act on any more.
    fn forget_past(&mut self) {
        let lowest = self.lowest();
        self.past.retain(|p| p.epoch >= lowest);
    }
}
