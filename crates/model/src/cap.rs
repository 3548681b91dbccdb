//! Caps: how fast a service's traffic may move between regions.
//!
//! Declared by operators; `steer::common::ramp` keeps to them.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fraction;
use crate::id;

/// A cap, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Cap {
    /// Its name.
    pub name: id::Cap,
    /// The service it binds.
    pub service: id::Service,
    /// Greatest share, in per cent of a place's traffic, that may move in one window.
    pub share: fraction::Fraction,
    /// Length of the window.
    #[serde(with = "humantime_serde")]
    pub window: Duration,
    /// The share that may leave a region that is lost; `share` when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lost_share: Option<fraction::Fraction>,
}

impl Cap {
    /// Returns the least time in which `share` of a place's traffic can move.
    ///
    /// What one window allows may move within it; each further step waits for one window more.
    #[must_use]
    pub fn time_to_move(&self, share: fraction::Fraction) -> Duration {
        let steps = share.0.div_ceil(self.share.0.max(1));
        self.window * steps
    }
}
