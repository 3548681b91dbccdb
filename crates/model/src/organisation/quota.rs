//! Quotas: rate limits of organisations.

use serde::{Deserialize, Serialize};

/// Rate limit of an organisation, enforced over all nodes together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Quota {
    /// Sustained rate in requests per second; greater than 0.
    pub rate: f64,
    /// Number of requests beyond the rate that may arrive at once after an idle period.
    #[serde(default)]
    pub burst: f64,
}

/// Equality is reflexive, since validation and decoders accept finite numbers only.
impl Eq for Quota {}

impl Quota {
    /// Returns whether the rate is positive, the burst is not negative, and both are finite.
    #[must_use]
    pub fn is_valid(&self) -> bool {
        self.rate.is_finite() && self.rate > 0.0 && self.burst.is_finite() && self.burst >= 0.0
    }
}
