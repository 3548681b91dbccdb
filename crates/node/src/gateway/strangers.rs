//! Strangers: addresses at which a node of another fleet was heard.
//!
//! Owns them, for a short time. An address of a node that is gone may be given to another fleet's, whose datagrams would else be taken for
//! those of a node of this fleet, since fleets may name their nodes alike.

use std::cell;
use std::collections;
use std::net;
use std::time::{Duration, Instant};

/// Time after a stranger's last heartbeat for which nothing from its address counts; several heartbeats.
const REMEMBERED: Duration = Duration::from_secs(5);

/// Addresses that are remembered at most.
const MOST: usize = 1_024;

/// Addresses at which strangers were heard, with when they were heard last.
#[derive(Debug, Default)]
pub struct Strangers(cell::RefCell<collections::BTreeMap<net::SocketAddr, Instant>>);

impl Strangers {
    /// Records a stranger's heartbeat; returns whether that is new.
    pub fn record(&self, address: net::SocketAddr, now: Instant) -> bool {
        let mut heard = self.0.borrow_mut();
        heard.retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED);
        heard.len() < MOST && heard.insert(address, now).is_none()
    }

    /// Forgets an address at which a node of this fleet was heard.
    pub fn forget(&self, address: net::SocketAddr) {
        self.0.borrow_mut().remove(&address);
    }

    /// Returns whether a stranger was heard at `address` lately.
    #[must_use]
    pub fn contains(&self, address: net::SocketAddr, now: Instant) -> bool {
        let heard = self.0.borrow();
        heard.get(&address).is_some_and(|at| now.saturating_duration_since(*at) < REMEMBERED)
    }
}
