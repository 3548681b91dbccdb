//! Runtime state that validation depends on in addition to the declarations.

use std::collections;
use std::time::SystemTime;

use crate::id;

/// Runtime state that validation depends on in addition to the declarations.
#[derive(Clone, Debug)]
pub struct Context {
    /// Current wall-clock time.
    pub wall: SystemTime,
    /// Slots in use by service and region, as last measured.
    pub in_use: collections::BTreeMap<id::Service, SlotUsage>,
}

/// Number of slots in use, by region.
pub type SlotUsage = collections::BTreeMap<id::Region, u32>;

impl Context {
    /// Creates the state for a time without any measured usage.
    #[must_use]
    pub fn at(wall: SystemTime) -> Self {
        Self { wall, in_use: collections::BTreeMap::new() }
    }
}
