//! Freshness: whether this node's copy of the store is up to date.
//!
//! A node reads its copy once, at its start, and that read may be seconds old. Watches of the store and
//! heartbeats of other nodes confirm later that the copy is complete up to a certain time. [`Freshness`]
//! holds that time, and [`Status`] follows from its age. A decision that reads the copy takes the status as an
//! input. Reads no clock; the current time is passed in.

use std::time::{Duration, Instant};

/// Time after a pause of the process during which heartbeats may have waited in the socket's buffer, so
/// that they confirm nothing.
pub const BUFFERED_REPORTS: Duration = Duration::from_millis(100);

/// Maximum time for which a request waits for the first confirmation after the copy was read.
///
/// A store in another region responds within it.
pub const CONFIRMATION_WAIT: Duration = Duration::from_millis(150);

/// Whether a node's copy of the store is up to date.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status {
    /// The copy was confirmed recently, or the store is unavailable to the whole fleet.
    Current,
    /// The copy was not confirmed since the start of the node, or since its process was paused.
    Unconfirmed,
    /// The latest confirmation is old, and the node reaches neither the store nor the rest of the fleet.
    Isolated,
}

impl Status {
    /// Returns the name that logs and the state dump use.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Current => "current",
            Self::Unconfirmed => "unconfirmed",
            Self::Isolated => "isolated",
        }
    }
}

/// Whether a node receives heartbeats from the rest of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contact {
    /// Heartbeats arrive from other regions, or from most nodes of the only region.
    Connected,
    /// Neither is the case.
    Isolated,
}

impl Contact {
    /// Derives the contact of a node with `near_alive` live nodes of `near_known` other ones in its region.
    ///
    /// `has_far_contact` is whether this node or a live one of its region receives heartbeats from another region, and
    /// `has_far` whether other regions have nodes.
    #[must_use]
    pub fn new(has_far_contact: bool, has_far: bool, near_alive: usize, near_known: usize) -> Self {
        match has_far {
            true if has_far_contact => Self::Connected,
            false if near_alive * 2 >= near_known => Self::Connected,
            _ => Self::Isolated,
        }
    }
}

/// What a node reports of its copy to other nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Age of the time up to which the copy is complete; `None` if the copy is not current.
    pub age: Option<Duration>,
    /// Whether the node receives heartbeats from another region.
    pub has_far_contact: bool,
}

/// The time up to which a copy is known to contain every change.
#[derive(Clone, Copy, Debug)]
pub struct Freshness {
    /// `None` before the first confirmation.
    complete_until: Option<Instant>,
    /// Time before which confirmations are ignored.
    counts_from: Instant,
    /// Whether the node was isolated, and its copy was not confirmed since.
    is_isolated: bool,
}

impl Freshness {
    /// Creates the freshness of a node that has just started.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { complete_until: None, counts_from: now, is_isolated: false }
    }

    /// Records a confirmation at `now`: the copy contains every change up to `until`.
    ///
    /// A copy is confirmed by a response of the store that is not stale, or by a node whose own copy is current
    /// and not ahead of this one.
    pub fn confirm(&mut self, until: Instant, now: Instant) {
        if now >= self.counts_from {
            self.complete_until = self.complete_until.max(Some(until));
            self.is_isolated = false;
        }
    }

    /// Forgets all confirmations, because the process was paused until `now`.
    pub fn reset(&mut self, now: Instant) {
        *self = Self::new(now + BUFFERED_REPORTS);
    }

    /// Returns the age of the time up to which the copy is complete; `None` before the first confirmation.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.complete_until.map(|until| now.saturating_duration_since(until))
    }

    /// Updates and returns the status of the copy.
    ///
    /// `bound` is [`store_call::bound`], which is longer than the interval between two confirmations of a node that
    /// reaches the store. During an outage of the store, the copy of a node that is connected to the fleet stays
    /// current: the store accepts no change, or another node would have reported it. A node that was isolated has
    /// missed such reports, and needs a confirmation after its contact is restored. `contact` is only computed if
    /// the age exceeds the bound.
    ///
    /// [`store_call::bound`]: crate::dispatch::fleet::store_call::bound
    pub fn update(
        &mut self,
        contact: impl FnOnce() -> Contact,
        bound: Duration,
        now: Instant,
    ) -> Status {
        let Some(age) = self.age(now) else { return Status::Unconfirmed };
        self.is_isolated |= age > bound && contact() == Contact::Isolated;
        match self.is_isolated {
            true => Status::Isolated,
            false => Status::Current,
        }
    }
}
