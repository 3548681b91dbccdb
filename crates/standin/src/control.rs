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
        let one_less = |left: u64| left.checked_sub(1);
        self.lost_answers
            .fetch_update(atomic::Ordering::SeqCst, atomic::Ordering::SeqCst, one_less)
            .is_ok()
    }
}
