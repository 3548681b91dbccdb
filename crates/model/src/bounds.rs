//! Bounds that a deployment sets for the whole fleet.

use std::time::Duration;

/// Bounds that a deployment sets for the whole fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time without disruption after which a node counts as in touch again.
    pub contact: Duration,
    /// Longest time for which an upstream may get new work after its leaving is known.
    pub drain: Duration,
    /// Time from a planned stop to the kill.
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
        }
    }
}
