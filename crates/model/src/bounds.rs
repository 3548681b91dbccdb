//! Fleet-wide limits on recovery, shutdown, caching, retries, traffic shifts and quotas.
//!
//! They are decoded from a gateway's settings, and every gateway of a fleet must have the same
//! values. The defaults are conservative and apply where the settings leave a value out.

use std::time::Duration;

/// Limits that a deployment sets for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after the end of a failure within which a node must comply with the other bounds again.
    ///
    /// All waits for the store are fractions of this time.
    pub contact: Duration,
    /// Longest time for which a leaving upstream may still get new requests, counted from when a
    /// node learns that it leaves.
    pub drain: Duration,
    /// Time between SIGTERM and SIGKILL in a planned stop.
    pub grace: Duration,
    /// Longest time for which callers may cache a lookup.
    pub lookup_cache: Duration,
    /// Length of the window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per request, over the whole fleet.
    pub retry_ratio: f64,
    /// Additional retries allowed per window, over the whole fleet.
    pub retry_slack: f64,
    /// Greatest share of a region's requests that may move to other regions within a short window.
    pub greatest_shift: f64,
    /// Requests over its limit that an organisation may send per window of that limit, over the
    /// whole fleet.
    pub quota_slack: f64,
    /// Share of a service's requests that a version may get before it is known to be good, over the
    /// period of its roll-out and the whole fleet.
    pub expose_share: f64,
    /// Requests that such a version may get beyond that share.
    pub expose_slack: f64,
    /// Requests that a cold upstream may get within one second from the whole fleet, as a multiple of
    /// its cold rate.
    pub cold_overage: f64,
    /// Requests that it may get within that second beyond those.
    pub cold_slack: f64,
    /// Longest time for which a response without a length may be passed on, counted from when its request was
    /// sent.
    pub unsized_response: Duration,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            contact: Duration::from_secs(3),
            drain: Duration::from_secs(2),
            grace: Duration::from_secs(6),
            lookup_cache: Duration::from_secs(1),
            retry_window: Duration::from_secs(10),
            retry_ratio: 0.1,
            retry_slack: 10.0,
            greatest_shift: 0.1,
            quota_slack: 0.0,
            expose_share: 0.1,
            expose_slack: 0.0,
            cold_overage: 1.5,
            cold_slack: 5.0,
            unsized_response: Duration::from_secs(600),
        }
    }
}
