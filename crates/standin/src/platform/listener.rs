//! Listeners of one store, each with its own faults, so that some nodes are refused while others are
//! served.
//!
//! It owns the mode and the count of calls of one listener; [`crate::platform::store`] opens them
//! and answers by their mode. It relies on no other module.

use std::net;
use std::sync::atomic::{AtomicU8, AtomicU64, Ordering};

/// How a listener answers calls.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub enum Mode {
    /// It serves them.
    Open = 0,
    /// It answers 503, and does nothing.
    Busy = 1,
    /// It answers 429, and does nothing.
    Many = 2,
    /// It does not answer, and does nothing.
    Silent = 3,
    /// It does what is asked, and does not answer writes.
    LosesWrites = 4,
}

/// One listener of the store.
#[derive(Debug)]
pub struct Listener {
    /// Where it listens.
    pub address: net::SocketAddr,
    mode: AtomicU8,
    calls: AtomicU64,
}

impl Listener {
    pub(crate) fn new(address: net::SocketAddr) -> Self {
        Self { address, mode: AtomicU8::new(Mode::Open as u8), calls: AtomicU64::new(0) }
    }

    /// Sets how calls are answered from now on; watches that wait are not touched.
    pub fn set(&self, mode: Mode) {
        self.mode.store(mode as u8, Ordering::Release);
    }

    /// Returns how calls are answered.
    #[must_use]
    pub fn mode(&self) -> Mode {
        match self.mode.load(Ordering::Acquire) {
            1 => Mode::Busy,
            2 => Mode::Many,
            3 => Mode::Silent,
            4 => Mode::LosesWrites,
            _ => Mode::Open,
        }
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Acquire)
    }

    pub(crate) fn count(&self) {
        self.calls.fetch_add(1, Ordering::AcqRel);
    }
}
