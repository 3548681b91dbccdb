//! Drains: planned periods in which a part of the fleet gets no requests.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::upstream;

/// A planned drain as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Unique name of the drain.
    pub name: id::Drain,
    /// Part of the fleet to drain.
    #[serde(with = "serde_yaml_ng::with::singleton_map")]
    pub target: Target,
    /// Time from which the target gets no new requests. Traffic starts to move earlier, at the pace
    /// that the caps allow.
    #[serde(with = "humantime_serde")]
    pub start: SystemTime,
    /// Time from which the target may get requests again.
    #[serde(with = "humantime_serde")]
    pub end: SystemTime,
}

impl Drain {
    /// Returns whether the drain is active at `wall` and `upstream` is part of its target.
    #[must_use]
    pub fn covers(&self, upstream: &upstream::Upstream, wall: SystemTime) -> bool {
        self.is_active(wall) && self.target.contains(upstream)
    }

    /// Returns whether the drain is active at `wall`; the end is exclusive.
    #[must_use]
    pub fn is_active(&self, wall: SystemTime) -> bool {
        self.start <= wall && wall < self.end
    }

    /// Returns whether there is a time at which both drains are active.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.start < other.end && other.start < self.end
    }
}

/// The part of the fleet that a drain applies to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Target {
    /// A whole region.
    Region(id::Region),
    /// One hall.
    Hall(id::Hall),
    /// One upstream.
    Upstream(id::Upstream),
}

impl Target {
    /// Returns whether `upstream` is part of the target.
    #[must_use]
    pub fn contains(&self, upstream: &upstream::Upstream) -> bool {
        match self {
            Self::Region(region) => *region == upstream.region,
            Self::Hall(hall) => *hall == upstream.hall,
            Self::Upstream(name) => *name == upstream.name,
        }
    }
}
