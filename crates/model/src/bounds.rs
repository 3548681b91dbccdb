//! Bounds that a deployment sets for the whole fleet.
//!
//! Decoded from a gateway's settings; every gateway of a fleet must be given the same ones. The defaults
//! are conservative choices for a deployment whose settings are silent; none was measured.

use std::time::Duration;

/// Bounds that a deployment sets for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after the end of a trouble from which a node is held to the other bounds.
    ///
    /// All waits at the store are shares of it.
    pub contact: Duration,
    /// Longest time for which a leaving upstream may get new requests, from when a node knows.
    pub drain: Duration,
    /// Time from SIGTERM to SIGKILL in a planned stop.
    pub grace: Duration,
    /// Longest time for which callers may cache a look-up.
    pub lookup_cache: Duration,
    /// Length of the window in which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed for each request, over the fleet.
    pub retry_ratio: f64,
    /// Retries allowed beside those, over the fleet and in one window.
    pub retry_slack: f64,
    /// Greatest share of a region's requests that may change region within a short window.
    pub greatest_shift: f64,
    /// Requests over its limit that an organisation may have, over the fleet and in the window of its limit.
    pub quota_slack: f64,
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
        }
    }
}
