//! Position: a node's own region and the halls and regions of the fleet.

use std::collections;

use model::id;

/// A node's location in the fleet, read from its settings at startup and fixed afterwards.
#[derive(Clone, Debug)]
pub struct Position {
    /// The node's name.
    pub node: id::Node,
    /// The node's region.
    pub region: id::Region,
    /// The region of each hall of the fleet.
    pub halls: collections::BTreeMap<id::Hall, id::Region>,
}

impl Position {
    /// Returns the region of a hall; a hall that is not listed is treated as a separate region.
    #[must_use]
    pub fn region_of(&self, hall: &id::Hall) -> id::Region {
        match self.halls.get(hall) {
            Some(region) => region.clone(),
            None => id::Region::new(hall.as_str()),
        }
    }

    /// Returns the regions that may serve requests with these home regions; all regions if `homes` is
    /// empty.
    #[must_use]
    pub fn allowed_regions(&self, homes: &[id::Region]) -> Vec<id::Region> {
        let all: collections::BTreeSet<_> = self.halls.values().cloned().collect();
        match homes {
            [] => all.into_iter().collect(),
            homes => homes.to_vec(),
        }
    }
}
