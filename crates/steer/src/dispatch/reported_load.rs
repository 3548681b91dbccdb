//! Estimated number of requests that an upstream has in flight.
//!
//! This node's own requests are counted exactly. Those of other nodes are the higher of the totals
//! of
//! [`peer_load`] and the load that the upstream reported in its responses.
//!
//! [`peer_load`]: crate::dispatch::peer_load

use std::time::{Duration, Instant};

use model::load;

/// Time constant of the exponential decay of a reported load.
///
/// Four of the shortest periods of load reports between nodes.
const DECAY_TIME: Duration = Duration::from_millis(400);

/// Requests assumed at a full upstream, as a multiple of its slots.
const FULL_FACTOR: f64 = 2.0;

/// Time for which an upstream counts as contended after it refused a request or its owner reported
/// queued asks.
///
/// A queue that is empty for a moment fills again, and without this time all gateways would send at once
/// until the next report shows it.
const CONTENDED_TIME: Duration = Duration::from_secs(1);

/// Estimated load of one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Load {
    in_flight: u32,
    /// Time since when there is always one of this node's requests in flight; `None` if there is none.
    in_flight_since: Option<Instant>,
    peer_requests: u32,
    /// The same for those of other nodes.
    peers_since: Option<Instant>,
    other_requests: f64,
    reported_at: Instant,
    /// Asks that wait for a slot at this node, as the upstream's owner.
    own_queued: u32,
    /// The same at other nodes.
    peer_queued: u32,
    /// Latest refusal or report of queued asks.
    contended_at: Option<Instant>,
}

impl Load {
    /// Creates a load of zero.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            in_flight: 0,
            in_flight_since: None,
            peer_requests: 0,
            peers_since: None,
            other_requests: 0.0,
            reported_at: now,
            own_queued: 0,
            peer_queued: 0,
            contended_at: None,
        }
    }

    /// Returns the number of this node's requests in flight.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.in_flight
    }

    /// Returns the time since when there is always one of this node's requests in flight.
    #[must_use]
    pub fn in_flight_since(&self) -> Option<Instant> {
        self.in_flight_since
    }

    /// Records that a request is sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.in_flight += 1;
        self.in_flight_since.get_or_insert(now);
    }

    /// Records the end of an attempt.
    pub fn record_end(&mut self) {
        self.in_flight = self.in_flight.saturating_sub(1);
        if self.in_flight == 0 {
            self.in_flight_since = None;
        }
    }

    /// Sets how many requests other nodes have in flight.
    pub fn set_peers(&mut self, requests: u32, now: Instant) {
        self.peer_requests = requests;
        match requests {
            0 => self.peers_since = None,
            1.. => _ = self.peers_since.get_or_insert(now),
        }
    }

    /// Returns the time since when other nodes report requests in flight without a break.
    #[must_use]
    pub fn peers_in_flight_since(&self) -> Option<Instant> {
        self.peers_since
    }

    /// Returns how many requests other nodes have in flight.
    #[must_use]
    pub fn peer_requests(&self) -> u32 {
        self.peer_requests
    }

    /// Sets how many asks for a slot this node has queued, as the upstream's owner.
    pub fn set_own_queued(&mut self, asks: u32) {
        self.own_queued = asks;
    }

    /// Sets how many asks for a slot other nodes have queued.
    pub fn set_peer_queued(&mut self, asks: u32, now: Instant) {
        self.peer_queued = asks;
        if asks > 0 {
            self.contended_at = Some(now);
        }
    }

    /// Returns how many asks for a slot are queued.
    #[must_use]
    pub fn queued(&self) -> u32 {
        self.own_queued + self.peer_queued
    }

    /// Returns whether asks are queued or were until just now, or the upstream refused a request just
    /// now, so that one more request needs a slot although a slot appears to be free.
    #[must_use]
    pub fn is_contended(&self, now: Instant) -> bool {
        let is_recent = |at| now.saturating_duration_since(at) < CONTENDED_TIME;
        self.queued() > 0 || self.contended_at.is_some_and(is_recent)
    }

    /// Records the load reported in a response, after the end of the response's own request.
    pub fn record_report(&mut self, load: load::Report, now: Instant) {
        let all = f64::from(load.running + load.waiting);
        self.other_requests = (all - f64::from(self.in_flight)).max(0.0);
        self.reported_at = now;
    }

    /// Records that the upstream refused a request because it is full.
    pub fn record_full(&mut self, slots: u32, now: Instant) {
        self.contended_at = Some(now);
        self.other_requests = self.other_requests.max(f64::from(slots) * FULL_FACTOR);
        self.reported_at = now;
    }

    /// Returns the age of the latest reported load.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.reported_at)
    }

    /// Returns the estimated number of requests, those included that wait for a slot.
    #[must_use]
    pub fn requests(&self, now: Instant) -> f64 {
        self.requests_at_upstream(now) + f64::from(self.queued())
    }

    /// Returns the estimated number of requests that were sent; a reported load decays with its age.
    #[must_use]
    pub fn requests_at_upstream(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.reported_at).as_secs_f64();
        let other_requests = self.other_requests * (-age / DECAY_TIME.as_secs_f64()).exp();
        f64::from(self.in_flight) + other_requests.max(f64::from(self.peer_requests))
    }
}
