//! Faults that a stand-in shows on command.
//!
//! It owns whether there is an outage and how many answers are still to be lost; [`crate::store`]
//! and [`crate::vms`] answer by it. It relies on no other module.

use std::sync::atomic;

/// The faults of one stand-in.
#[derive(Debug, Default)]
pub struct Faults {
    is_out: atomic::AtomicBool,
    lost_answers: atomic::AtomicU64,
    silenced_watches: atomic::AtomicU64,
    cut_values: atomic::AtomicU64,
}

impl Faults {
    /// Starts or ends an outage: every call fails.
    pub fn set_outage(&self, is_out: bool) {
        self.is_out.store(is_out, atomic::Ordering::SeqCst);
    }

    /// Returns whether there is an outage.
    #[must_use]
    pub fn is_out(&self) -> bool {
        self.is_out.load(atomic::Ordering::SeqCst)
    }

    /// Loses the answers of the next `count` writes, after they took effect.
    pub fn lose_answers(&self, count: u64) {
        self.lost_answers.store(count, atomic::Ordering::SeqCst);
    }

    /// Returns whether the answer of this write is to be lost, and counts it.
    #[must_use]
    pub fn loses_answer(&self) -> bool {
        takes_one(&self.lost_answers)
    }

    /// Answers the next `count` watches that have a value with the first half of it.
    pub fn cut_values(&self, count: u64) {
        self.cut_values.store(count, atomic::Ordering::SeqCst);
    }

    /// Returns the values that are still to be cut.
    #[must_use]
    pub fn values_to_cut(&self) -> u64 {
        self.cut_values.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether this value is to be cut, and counts it.
    #[must_use]
    pub fn cuts_value(&self) -> bool {
        takes_one(&self.cut_values)
    }

    /// Never answers the next `count` watches, though later calls are answered.
    pub fn silence_watches(&self, count: u64) {
        self.silenced_watches.store(count, atomic::Ordering::SeqCst);
    }

    /// Returns the watches that are still to be silenced.
    #[must_use]
    pub fn watches_to_silence(&self) -> u64 {
        self.silenced_watches.load(atomic::Ordering::SeqCst)
    }

    /// Returns whether this watch is never to be answered, and counts it.
    #[must_use]
    pub fn silences_watch(&self) -> bool {
        takes_one(&self.silenced_watches)
    }
}

/// Takes one off a count; returns whether there was one left.
fn takes_one(count: &atomic::AtomicU64) -> bool {
    let one_less = |left: u64| left.checked_sub(1);
    count.fetch_update(atomic::Ordering::SeqCst, atomic::Ordering::SeqCst, one_less).is_ok()
}
