//! Typed names, so that names of different kinds cannot be confused.

use std::fmt;
use std::num;
use std::sync;

use serde::{Deserialize, Serialize};

/// Maximum length of a name, that of a DNS label (RFC 1035, section 2.3.4).
pub const MAX_BYTES: usize = 63;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(sync::Arc<str>);

        impl $type {
            /// Creates a name without validation; [`is_valid`] checks whether it may be declared.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the name as a string slice.
            #[must_use]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $type {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl From<&str> for $type {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl std::borrow::Borrow<str> for $type {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

name!(
    /// Name of a region: a group of halls that are near each other.
    Region
);
name!(
    /// Name of a hall: a part of a region that can fail independently.
    Hall
);
name!(
    /// Name of a service that callers send requests to.
    Service
);
name!(
    /// Name of an upstream: a server that runs requests of a service.
    Upstream
);
name!(
    /// Name of a place: client blocks with the same network delays.
    Place
);
name!(
    /// Name of a node: one yokespoke process on an entry VM.
    Node
);
name!(
    /// Name of a cap.
    Cap
);
name!(
    /// Name of a drain.
    Drain
);
name!(
    /// Name of a route.
    Route
);
name!(
    /// Name of an organisation, whose callers send requests with its keys.
    Organisation
);
name!(
    /// Name of an evacuation.
    Evacuation
);
name!(
    /// Version of the software that an upstream runs.
    Version
);

/// Id of a fleet: a random number that its first node draws and the store keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet(pub num::NonZeroU32);

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Returns whether `text` is a valid resource name: 1 to [`MAX_BYTES`] ASCII letters, digits, `-`,
/// `_` or `.`.
#[must_use]
pub fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= MAX_BYTES && text.chars().all(allowed)
}
