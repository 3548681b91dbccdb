//! Evacuations: halls whose upstreams get nothing more, from now until the evacuation is deleted.

use serde::{Deserialize, Serialize};

use crate::id;

/// An evacuation, as its operator declares it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Evacuation {
    /// Its name.
    pub name: id::Evacuation,
    /// The hall.
    pub hall: id::Hall,
}
