//! Places: client blocks with the same delays to each region.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::id;

/// A place, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Place {
    /// Its name.
    pub name: id::Place,
    /// The client blocks; a caller belongs to the longest that holds its address.
    pub blocks: Vec<ipnet::IpNet>,
    /// The regions it can reach.
    pub links: Vec<Link>,
}

impl Place {
    /// Returns the links, nearest region first.
    #[must_use]
    pub fn nearest(&self) -> Vec<&Link> {
        let mut links: Vec<&Link> = self.links.iter().collect();
        links.sort_by(|a, b| (a.delay, &a.region).cmp(&(b.delay, &b.region)));
        links
    }
}

/// The way from a place to a region.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Link {
    /// The region it leads to.
    pub region: id::Region,
    /// One-way delay.
    #[serde(with = "humantime_serde")]
    pub delay: Duration,
    /// Greatest requests per second it carries; none when absent.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub limit: Option<u32>,
}
