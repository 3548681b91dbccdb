//! Places: groups of client blocks with the same network delay to each region.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// A place as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Unique name of the place.
    pub name: id::Place,
    /// Client blocks; a caller belongs to the most specific block that contains its address.
    pub blocks: Vec<ipnet::IpNet>,
    /// Links to the regions that are reachable from the place.
    pub links: Vec<Link>,
}

impl Place {
    /// Returns the links, nearest region first.
    #[must_use]
    pub fn links_by_delay(&self) -> Vec<&Link> {
        let mut links: Vec<&Link> = self.links.iter().collect();
        links.sort_by(|a, b| (a.delay, &a.region).cmp(&(b.delay, &b.region)));
        links
    }
}

/// The network path from a place to a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// Region at the end of the link.
    pub region: id::Region,
    /// One-way delay.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Highest number of requests per second on the link; unlimited when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
}
