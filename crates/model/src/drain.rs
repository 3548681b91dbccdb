//! Drains: planned times in which a part of the fleet gets no work.

use std::time::SystemTime;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::upstream;

/// A planned drain, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Drain {
    /// Its name.
    pub name: id::Drain,
    /// What is drained.
    #[serde(with = "serde_yaml_ng::with::singleton_map")]
    pub target: Target,
    /// From when the target gets no new work; the shift begins earlier, as the caps ask.
    #[serde(with = "humantime_serde")]
    pub start: SystemTime,
    /// When the target may have work again.
    #[serde(with = "humantime_serde")]
    pub end: SystemTime,
}

impl Drain {
    /// Returns whether the drain holds `upstream` empty at `wall`.
    #[must_use]
    pub fn covers(&self, upstream: &upstream::Upstream, wall: SystemTime) -> bool {
        self.is_on(wall) && self.target.holds(upstream)
    }

    /// Returns whether `wall` lies between start and end.
    #[must_use]
    pub fn is_on(&self, wall: SystemTime) -> bool {
        self.start <= wall && wall < self.end
    }

    /// Returns whether two drains hold at some common time.
    #[must_use]
    pub fn overlaps(&self, other: &Self) -> bool {
        self.start < other.end && other.start < self.end
    }
}

/// What a drain empties.
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
    /// Returns whether `upstream` belongs to the target.
    #[must_use]
    pub fn holds(&self, upstream: &upstream::Upstream) -> bool {
        match self {
            Self::Region(region) => *region == upstream.region,
            Self::Hall(hall) => *hall == upstream.hall,
            Self::Upstream(name) => *name == upstream.name,
        }
    }
}
