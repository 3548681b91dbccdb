//! Position: where a node stands among the halls and regions of the fleet.

use std::collections;

use model::id;

/// Where a node stands. Set at the start from its settings, and never changed.
#[derive(Clone, Debug)]
pub struct Position {
    /// Its name.
    pub node: id::Node,
    /// Its region.
    pub region: id::Region,
    /// Regions of all halls.
    pub halls: collections::BTreeMap<id::Hall, id::Region>,
}

impl Position {
    /// Returns the region of a hall; an unlisted hall is a region of its own.
    #[must_use]
    pub fn region_of(&self, hall: &id::Hall) -> id::Region {
        match self.halls.get(hall) {
            Some(region) => region.clone(),
            None => id::Region::new(hall.as_str()),
        }
    }

    /// Returns the regions that may serve a route with `homes`; all regions when it has none.
    #[must_use]
    pub fn allowed_regions(&self, homes: &[id::Region]) -> Vec<id::Region> {
        let all: collections::BTreeSet<_> = self.halls.values().cloned().collect();
        match homes {
            [] => all.into_iter().collect(),
            homes => homes.to_vec(),
        }
    }
}
