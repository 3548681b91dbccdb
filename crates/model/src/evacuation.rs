//! Evacuations: halls whose upstreams get no requests until the evacuation is deleted.

use serde::{Deserialize, Serialize};

use crate::id;

/// An evacuation as declared by an operator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Unique name of the evacuation.
    pub name: id::Evacuation,
    /// Hall to evacuate.
    pub hall: id::Hall,
}
