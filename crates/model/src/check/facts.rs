//! Runtime state that validation depends on in addition to the declarations.

use std::collections;
use std::time::SystemTime;

use crate::id;

/// Runtime state that validation depends on in addition to the declarations.
#[derive(Clone, Debug)]
pub struct Facts {
    /// Current wall-clock time.
    pub wall: SystemTime,
    /// Slots in use by service and region, as last measured.
    pub in_use: collections::BTreeMap<id::Service, Use>,
}

/// Number of slots in use, by region.
pub type Use = collections::BTreeMap<id::Region, u32>;

impl Facts {
    /// Creates the state for a time without any measured usage.
    #[must_use]
    pub fn at(wall: SystemTime) -> Self {
        Self { wall, in_use: collections::BTreeMap::new() }
    }
}
