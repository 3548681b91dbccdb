//! Probe reports: the body of an upstream's answer to a probe, read by
//! [`health`](crate::ownership::health).

use serde::{Deserialize, Serialize};

/// An upstream's own view of its health and load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it is draining and takes no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Number of requests in flight, by its own count.
    #[serde(default)]
    pub in_flight: u32,
    /// Milliseconds since it started; a lower value than in the previous report means that it restarted.
    #[serde(default)]
    pub uptime_ms: Option<u64>,
    /// Number of slots it offers now; if absent, the declared number applies.
    #[serde(default)]
    pub slots: Option<u32>,
}
