//! Load of one upstream: this node's own requests exactly, those of others by what they tell, or by
//! what answers tell.

use std::time::{Duration, Instant};

use model::load;

/// Time in which what an answer told of others' requests loses most of its worth.
const MEMORY: Duration = Duration::from_millis(400);

/// Load of one upstream as this node sees it.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    in_flight: u32,
    peers: u32,
    others: f64,
    told: Instant,
}

impl Load {
    /// Starts without load.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { in_flight: 0, peers: 0, others: 0.0, told: now }
    }

    /// Returns this node's requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Notes that a request is sent.
    pub fn sent(&mut self) {
        self.in_flight += 1;
    }

    /// Notes that a request ended.
    pub fn ended(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
    }

    /// Notes how many requests other nodes have in flight.
    pub fn set_peers(&mut self, requests: u32) {
        self.peers = requests;
    }

    /// Notes what an answer told; the request it answers has ended already.
    pub fn tell(&mut self, load: load::Report, now: Instant) {
        let all = f64::from(load.running + load.waiting);
        self.others = (all - f64::from(self.in_flight)).max(0.0);
        self.told = now;
    }

    /// Notes that the upstream is full.
    pub fn full(&mut self, slots: u32, now: Instant) {
        self.others = self.others.max(f64::from(slots) * 2.0);
        self.told = now;
    }

    /// Returns how long ago an answer last told the load.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.told)
    }

    /// Returns how many requests it has, as far as known.
    #[must_use]
    pub fn requests(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.told).as_secs_f64();
        let others = self.others * (-age / MEMORY.as_secs_f64()).exp();
        f64::from(self.in_flight) + others.max(f64::from(self.peers))
    }
}
