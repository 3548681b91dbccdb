//! Names of things, one type for each so that none is taken for another.

use std::fmt;
use std::num;
use std::sync;

use serde::{Deserialize, Serialize};

/// Longest name, in bytes: that of a DNS label (RFC 1035, section 2.3.4).
pub const LONGEST: usize = 63;

macro_rules! name {
    ($(#[$doc:meta])* $type:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $type(sync::Arc<str>);

        impl $type {
            /// Makes a name of `text` as it stands; [`is_valid`] checks whether it may be declared.
            #[must_use]
            pub fn new(text: &str) -> Self {
                Self(text.into())
            }

            /// Returns the name as text.
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
    /// A region: halls that are near each other.
    Region
);
name!(
    /// A hall: a part of a region that can fail by itself.
    Hall
);
name!(
    /// A service that callers ask for.
    Service
);
name!(
    /// An upstream: what runs requests of a service.
    Upstream
);
name!(
    /// A place: client blocks with the same delays.
    Place
);
name!(
    /// A node: one process of yokespoke on an entry VM.
    Node
);
name!(
    /// A cap, by the name its operator gave it.
    Cap
);
name!(
    /// A drain, by the name its operator gave it.
    Drain
);
name!(
    /// A route, by the name its operator gave it.
    Route
);
name!(
    /// An organisation whose callers send requests under its keys.
    Organisation
);
name!(
    /// An evacuation, by the name its operator gave it.
    Evacuation
);

/// A fleet, by a number that its first node draws and its store keeps.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Fleet(pub num::NonZeroU32);

impl fmt::Display for Fleet {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:08x}", self.0)
    }
}

/// Returns whether `text` may name a resource: letters, digits, `-`, `_`, `.`, 1 to [`LONGEST`].
#[must_use]
pub fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    !text.is_empty() && text.len() <= LONGEST && text.chars().all(allowed)
}
