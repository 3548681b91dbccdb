//! Quota: how many requests an organisation may send.

use serde::{Deserialize, Serialize};

/// How many requests an organisation may send, over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Requests a second; more than 0.
    pub rate: f64,
    /// Requests beside those, which may come at once after a pause.
    #[serde(default)]
    pub burst: f64,
}

/// Checks and decoders let finite numbers pass only.
impl Eq for Quota {}

impl Quota {
    /// Returns whether both numbers can be kept to.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.rate.is_finite() && self.rate > 0.0 && self.burst.is_finite() && self.burst >= 0.0
    }
}
