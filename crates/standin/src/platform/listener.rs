//! Listeners of one store, each with its own faults, so that some nodes are refused while others are
//! served.
//!
//! It owns the mode, the count of calls and the paths to upstreams of one listener;
//! [`crate::platform::store`] opens them and answers by their mode. It relies on no other module.

use std::collections;
use std::net;
use std::sync;
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
    /// It answers stale reads, and is silent to all other calls.
    StaleReads = 5,
}

/// One listener of the store.
#[derive(Debug)]
pub struct Listener {
    /// Where it listens.
    pub address: net::SocketAddr,
    mode: AtomicU8,
    calls: AtomicU64,
    /// Addresses that values read here name, in place of the written ones.
    paths: sync::Mutex<collections::BTreeMap<net::SocketAddr, net::SocketAddr>>,
}

impl Listener {
    pub(crate) fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            mode: AtomicU8::new(Mode::Open as u8),
            calls: AtomicU64::new(0),
            paths: sync::Mutex::default(),
        }
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
            5 => Mode::StaleReads,
            _ => Mode::Open,
        }
    }

    /// Returns the calls so far.
    #[must_use]
    pub fn calls(&self) -> u64 {
        self.calls.load(Ordering::Acquire)
    }

    /// Makes values that are read here name `path` in place of `address`, so that the nodes of this
    /// listener reach that address over a path of their own.
    pub fn set_path(&self, address: net::SocketAddr, path: net::SocketAddr) {
        self.paths.lock().unwrap_or_else(sync::PoisonError::into_inner).insert(address, path);
    }

    /// Returns a value as the nodes of this listener read it.
    pub(crate) fn with_paths(&self, value: Vec<u8>) -> Vec<u8> {
        let paths = self.paths.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if paths.is_empty() {
            return value;
        }
        let Ok(mut text) = String::from_utf8(value.clone()) else { return value };
        for (address, path) in paths.iter() {
            text = text.replace(&format!("\"{address}\""), &format!("\"{path}\""));
        }
        text.into_bytes()
    }

    pub(crate) fn count(&self) {
        self.calls.fetch_add(1, Ordering::AcqRel);
    }
}
