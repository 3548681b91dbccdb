//! Foreign addresses: where a node of another fleet answers to this fleet's.
//!
//! Owns them, for a short time. An address of a node that is gone may be given to another fleet's, whose datagrams would else count as
//! those of a node of this fleet, since fleets may name their nodes alike.

use std::cell;
use std::collections;
use std::net;
use std::time::{Duration, Instant};

/// Time after its last heartbeat for which nothing from a foreign node's address counts; several heartbeats.
const REMEMBERED: Duration = Duration::from_secs(5);

/// Addresses that are remembered at most.
const MOST: usize = 1_024;

/// Addresses of other fleets' nodes, with when the last heartbeat came from each.
#[derive(Debug, Default)]
pub struct Addresses(cell::RefCell<collections::BTreeMap<net::SocketAddr, Instant>>);

impl Addresses {
    /// Records a heartbeat of a foreign node; returns whether its address is new.
    pub fn record(&self, address: net::SocketAddr, now: Instant) -> bool {
        let mut addresses = self.0.borrow_mut();
        addresses.retain(|_, at| now.saturating_duration_since(*at) < REMEMBERED);
        addresses.len() < MOST && addresses.insert(address, now).is_none()
    }

    /// Forgets an address, since a node of this fleet has it.
    pub fn forget(&self, address: net::SocketAddr) {
        self.0.borrow_mut().remove(&address);
    }

    /// Returns whether a foreign node sent a heartbeat from `address` lately.
    #[must_use]
    pub fn contains(&self, address: net::SocketAddr, now: Instant) -> bool {
        let addresses = self.0.borrow();
        addresses.get(&address).is_some_and(|at| now.saturating_duration_since(*at) < REMEMBERED)
    }
}
