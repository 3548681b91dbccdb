//! Caps: limits on how fast a service's traffic may move between regions.
//!
//! Operators declare them; `steer::common::ramp` enforces them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fraction;
use crate::id;

/// A cap as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Unique name of the cap.
    pub name: id::Cap,
    /// Service whose traffic is limited.
    pub service: id::Service,
    /// Greatest share of a place's traffic that may move in one window, in per cent.
    pub share: fraction::Fraction,
    /// Length of the window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// Share that may leave a failed region in one window; `share` when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_share: Option<fraction::Fraction>,
}

impl Cap {
    /// Returns the least time in which `share` of a place's traffic can move.
    ///
    /// Each window allows one step of at most the cap's share, so the time is one window per step.
    #[must_use]
    pub fn time_to_move(&self, share: fraction::Fraction) -> Duration {
        let steps = share.0.div_ceil(self.share.0.max(1));
        self.window * steps
    }
}
