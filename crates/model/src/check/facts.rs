//! What a check needs to know beside the declarations.

use std::collections;
use std::time::SystemTime;

use crate::id;

/// What a check needs to know beside the declarations.
#[derive(Clone, Debug)]
pub struct Facts {
    /// The time of day.
    pub wall: SystemTime,
    /// Slots in use by each service in each region, as last measured.
    pub in_use: collections::BTreeMap<id::Service, Use>,
}

/// Slots in use by region.
pub type Use = collections::BTreeMap<id::Region, u32>;

impl Facts {
    /// Makes facts without any measurement.
    #[must_use]
    pub fn at(wall: SystemTime) -> Self {
        Self { wall, in_use: collections::BTreeMap::new() }
    }
}
