//! Allotment: the slots of an upstream that a node may use without a lease, whichever epochs the other
//! nodes act on.
//!
//! The allotment is the node's share, less the slots that other nodes may still use under another epoch
//! of the membership table. [`rendezvous`] ranks the nodes and [`share`] divides the slots among them.
//!
//! Let `W` be the epochs from the lowest that any listed node may still act on up to the newest
//! that this node knows. A node may use the larger of two bounds:
//!
//! - **Floor.** The minimum of this node's shares over `W`. If every node keeps to its floor, all keep
//!   to the shares of the lowest epoch that is acted on, which add up to the slots.
//! - **Remainder.** The slots left over if every other node uses the maximum of its shares in the
//!   epochs it may still act on.
//!
//! Nodes may safely use different bounds. Take the node with the newest epoch among those that use the
//! remainder. It counts nodes with an older epoch with at least what they use. Nodes with a newer epoch
//! keep to their floor, which is at most their share in that node's epoch, which it counts too.

use model::epoch;
use model::member;
use model::table;

use crate::ownership::rendezvous;
use crate::ownership::share;
use model::upstream;

/// The slots of one upstream that one node may use, and the nodes ranked for it.
#[derive(Clone, Debug)]
pub struct Allotment {
    /// This node's share in the newest epoch.
    pub share: u32,
    /// Slots this node may use without a lease.
    pub usable: u32,
    /// The nodes that hold shares in the newest epoch, the owner first.
    pub ranked: Vec<member::Key>,
}

impl Allotment {
    /// Returns the empty allotment, of a node that knows no membership table.
    #[must_use]
    pub fn none() -> Self {
        Self { share: 0, usable: 0, ranked: Vec::new() }
    }

    /// Returns the owner in the newest epoch.
    #[must_use]
    pub fn owner(&self) -> Option<&member::Key> {
        self.ranked.first()
    }
}

/// Computes the allotment of `me` at an upstream with `slots`.
///
/// `settled` returns the lowest epoch that a node may still act on, as far as this node knows.
pub fn compute(
    table: &table::Table,
    me: &member::Key,
    upstream: &upstream::Key,
    slots: u32,
    settled: &dyn Fn(&member::Key) -> epoch::Epoch,
) -> Allotment {
    let epochs = epochs(table, upstream, slots);
    let nodes = table.listed.iter().map(|s| &s.key).chain(table.departed.iter().map(|d| &d.key));
    let nodes: Vec<(&member::Key, epoch::Epoch)> = nodes.map(|k| (k, settled(k))).collect();
    let others = nodes.iter().filter(|(key, _)| *key != me);
    let lowest = others.clone().map(|(_, s)| *s).min().unwrap_or(table.epoch).min(table.epoch);
    let reserved: u32 = others.map(|(key, since)| max_share(&epochs, key, *since)).sum();
    let newest = epochs.last();
    let share = newest.map_or(0, |e| e.share(me));
    let window = epochs.iter().filter(|e| e.epoch >= lowest);
    let floor = window.map(|e| e.share(me)).min().unwrap_or(0);
    let remainder = slots.saturating_sub(reserved);
    Allotment {
        share,
        usable: share.min(floor.max(remainder)),
        ranked: newest.map_or(Vec::new(), |e| e.shares.iter().map(|(k, _)| k.clone()).collect()),
    }
}

/// The shares of one upstream in one epoch.
struct Shares {
    epoch: epoch::Epoch,
    shares: Vec<(member::Key, u32)>,
}

impl Shares {
    fn share(&self, key: &member::Key) -> u32 {
        self.shares.iter().find(|(k, _)| k == key).map_or(0, |(_, share)| *share)
    }
}

fn epochs(table: &table::Table, upstream: &upstream::Key, slots: u32) -> Vec<Shares> {
    let past = table.past.iter().map(|p| shares(p.epoch, p.keys.iter(), upstream, slots));
    let newest = shares(table.epoch, table.listed.iter().map(|s| &s.key), upstream, slots);
    past.chain([newest]).collect()
}

fn shares<'a>(
    epoch: epoch::Epoch,
    keys: impl Iterator<Item = &'a member::Key>,
    upstream: &upstream::Key,
    slots: u32,
) -> Shares {
    let ranked = rendezvous::rank(upstream, keys);
    let ranks = ranked.len();
    let shares = ranked.into_iter().enumerate();
    let shares =
        shares.map(|(rank, key)| (key.clone(), share::of_rank(slots, rank, ranks))).collect();
    Shares { epoch, shares }
}

fn max_share(epochs: &[Shares], key: &member::Key, since: epoch::Epoch) -> u32 {
    epochs.iter().filter(|e| e.epoch >= since).map(|e| e.share(key)).max().unwrap_or(0)
}
