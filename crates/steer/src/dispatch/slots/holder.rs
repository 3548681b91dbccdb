//! Asking side of the slots: identifiers, which owners are not asked since they do not answer, and
//! which requests hold a slot.

use std::collections;
use std::time::{Duration, Instant};

use model::id;

use crate::dispatch::peer_load;
use crate::dispatch::slots::message::Id;

/// Time without an answer after which a request is sent without a slot, where the owner is a node of
/// its own region.
pub const NEAR_ANSWER_TIMEOUT: Duration = Duration::from_millis(50);

/// Like [`NEAR_ANSWER_TIMEOUT`], where the owner is in another region.
pub const FAR_ANSWER_TIMEOUT: Duration = Duration::from_millis(100);

/// Asks without an answer, in a row, after which an owner is not asked for a while.
const MAX_TIMEOUTS: u32 = 3;

/// Time for which an owner that does not answer is not asked.
const PAUSE: Duration = Duration::from_secs(1);

/// Time after which a release is repeated, in case it was lost.
///
/// Otherwise the slot stays taken until its lease ends, and requests are refused meanwhile.
const RELEASE_REPEAT: Duration = Duration::from_millis(100);

/// Maximum number of releases to be repeated; those beyond are left to their leases.
const MAX_RELEASES: usize = 1_024;

/// A slot or an ask that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Release {
    /// Node to which it is sent: the owner that granted the slot, or the node that was asked.
    pub to: id::Node,
    /// Identifier of the ask.
    pub id: Id,
    /// The upstream.
    pub upstream: peer_load::Key,
}

/// State of the asking side of one node.
#[derive(Clone, Debug, Default)]
pub struct Holder {
    latest: u64,
    /// Releases that are to be repeated, each with its time.
    releases: collections::VecDeque<(Instant, Release)>,
    owners: collections::BTreeMap<id::Node, Silence>,
}

/// Asks of one owner without an answer.
#[derive(Clone, Copy, Debug, Default)]
struct Silence {
    timeouts: u32,
    paused_until: Option<Instant>,
}

impl Holder {
    /// Creates the state of a node whose identifiers follow `first`.
    ///
    /// A process that restarts under the same name must not repeat identifiers, or a release of its
    /// predecessor ends one of its own grants: `first` is the wall clock in microseconds, or a random
    /// number.
    #[must_use]
    pub fn new(first: u64) -> Self {
        Self { latest: first, ..Self::default() }
    }

    /// Returns an identifier for the next ask.
    pub fn next_id(&mut self) -> Id {
        self.latest = self.latest.wrapping_add(1);
        Id(self.latest)
    }

    /// Returns whether `owner`, or the representative through which it is asked, may be asked.
    #[must_use]
    pub fn may_ask(&self, owner: &id::Node, now: Instant) -> bool {
        let until = self.owners.get(owner).and_then(|silence| silence.paused_until);
        until.is_none_or(|until| now >= until)
    }

    /// Records that an ask sent to `owner` was answered.
    pub fn record_answer(&mut self, owner: &id::Node) {
        self.owners.remove(owner);
    }

    /// Records that an ask sent to `owner` was not answered in time.
    pub fn record_timeout(&mut self, owner: &id::Node, now: Instant) {
        let silence = self.owners.entry(owner.clone()).or_default();
        silence.timeouts += 1;
        if silence.timeouts >= MAX_TIMEOUTS {
            silence.paused_until = Some(now + PAUSE);
        }
    }

    /// Records that a release was sent to another node.
    pub fn record_release(&mut self, release: Release, now: Instant) {
        if self.releases.len() < MAX_RELEASES {
            self.releases.push_back((now + RELEASE_REPEAT, release));
        }
    }

    /// Returns the releases that are to be sent once more; the ledger ignores those that it knows.
    pub fn due_releases(&mut self, now: Instant) -> Vec<Release> {
        let due = self.releases.iter().take_while(|(at, _)| now >= *at).count();
        self.releases.drain(..due).map(|(_, release)| release).collect()
    }

    /// Forgets the owners that `is_known` does not select.
    pub fn retain(&mut self, is_known: impl Fn(&id::Node) -> bool) {
        self.owners.retain(|owner, _| is_known(owner));
    }
}

/// A node's requests in flight at one upstream that hold a slot, by the node that granted it.
#[derive(Clone, Debug, Default)]
pub struct Held {
    of_owners: Vec<(id::Node, u32)>,
    latest: Option<id::Node>,
}

impl Held {
    /// Records that a request holds a slot that `owner` granted.
    pub fn record_held(&mut self, owner: &id::Node) {
        match self.of_owners.iter_mut().find(|(node, _)| node == owner) {
            Some((_, held)) => *held += 1,
            None => self.of_owners.push((owner.clone(), 1)),
        }
        self.latest = Some(owner.clone());
    }

    /// Records that a request no longer holds the slot that `owner` granted.
    pub fn record_released(&mut self, owner: &id::Node) {
        for (_, held) in self.of_owners.iter_mut().filter(|(node, _)| node == owner) {
            *held = held.saturating_sub(1);
        }
        self.of_owners.retain(|(_, held)| *held > 0);
    }

    /// Returns whether no request holds a slot.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.of_owners.is_empty()
    }

    /// Returns how many requests hold a slot that `owner` granted.
    #[must_use]
    pub fn of(&self, owner: &id::Node) -> u32 {
        self.of_owners.iter().find(|(node, _)| node == owner).map_or(0, |(_, held)| *held)
    }

    /// Returns how many requests hold a slot of the node that granted the latest one.
    ///
    /// A node does not know the owners in other regions but by their answers.
    #[must_use]
    pub fn of_latest(&self) -> u32 {
        self.latest.as_ref().map_or(0, |owner| self.of(owner))
    }
}
