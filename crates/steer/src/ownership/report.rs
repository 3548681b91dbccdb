//! Reports: an upstream's answer to a probe.
//!
//! Owns the form, which upstreams write. Read by [`health`](crate::ownership::health).

use serde::{Deserialize, Serialize};

/// An upstream's own view of its health and load.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Whether it leaves and wants no new work.
    #[serde(default)]
    pub draining: bool,
    /// Requests it runs, by its own count.
    #[serde(default)]
    pub in_flight: u32,
    /// Milliseconds since it started; a smaller number than before means that it is cold.
    #[serde(default)]
    pub uptime_ms: Option<u64>,
    /// Slots it offers now; those declared when absent.
    #[serde(default)]
    pub slots: Option<u32>,
}
