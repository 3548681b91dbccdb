//! Reported load: how many requests an upstream has, as far as this node knows.
//!
//! Owns the counts of one upstream: this node's own requests exactly, those of other nodes by
//! [`peer_load`] or by the load that answers report, whichever is higher.
//!
//! [`peer_load`]: crate::dispatch::peer_load

use std::time::{Duration, Instant};

use model::load;

/// Time in which a reported load loses most of its weight.
///
/// Not measured; four of the shortest periods of load reports between nodes.
const MEMORY: Duration = Duration::from_millis(400);

/// Requests that a full upstream is assumed to have, as a multiple of its slots. Not measured.
const FULL_FACTOR: f64 = 2.0;

/// Load of one upstream as this node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    in_flight: u32,
    peers: u32,
    others: f64,
    reported: Instant,
}

impl Load {
    /// Starts without load.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { in_flight: 0, peers: 0, others: 0.0, reported: now }
    }

    /// Returns this node's requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Records a send.
    pub fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// Records the end of a try.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Sets how many requests other nodes have in flight.
    pub fn set_peers(&mut self, requests: u32) {
        self.peers = requests;
    }

    /// Records the load in an answer, whose request has ended already.
    pub fn report(&mut self, load: load::Report, now: Instant) {
        let all = f64::from(load.running + load.waiting);
        self.others = (all - f64::from(self.in_flight)).max(0.0);
        self.reported = now;
    }

    /// Records that the upstream refused a request since it is full.
    pub fn full(&mut self, slots: u32, now: Instant) {
        self.others = self.others.max(f64::from(slots) * FULL_FACTOR);
        self.reported = now;
    }

    /// Returns the age of the latest reported load.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported)
    }

    /// Returns how many requests it has; a report counts for less with its age.
    #[must_use]
    pub fn requests(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported).as_secs_f64();
        let others = self.others * (-age / MEMORY.as_secs_f64()).exp();
        f64::from(self.in_flight) + others.max(f64::from(self.peers))
    }
}
