//! Why a request gets no upstream, with what decided that.

use std::fmt;
use std::time::Duration;

use model::id;

use crate::dispatch::give_up;

/// Why a request gets no upstream; it has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service may take it now.
    NoUpstream(Census),
    /// Every upstream has more work than fits into the time that the request has.
    Overloaded {
        /// Time after which it is worth another try.
        retry_after: Duration,
        /// What was known of the best upstream.
        estimate: Estimate,
    },
}

/// Upstreams of a service by why they may not take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Census {
    /// All upstreams that are known.
    pub known: usize,
    /// Those that leave, or whose address another one has.
    pub leaving: usize,
    /// Those in regions that may not serve the route.
    pub outside: usize,
    /// Those in evacuated halls.
    pub evacuated: usize,
    /// Cold ones that may not have one more request from this node now.
    pub cold: usize,
    /// Those that had the request before.
    pub tried: usize,
}

/// What was known of the best upstream for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Time the request would have waited there.
    pub wait: Duration,
    /// Careful guess of the time until it would have been done.
    pub expected: Duration,
    /// Time the request had left.
    pub left: Duration,
    /// Age of what was last heard of the upstream's load.
    pub load_age: Duration,
}

impl Refusal {
    /// Returns why the request is given up.
    #[must_use]
    pub fn reason(&self) -> give_up::Reason {
        match self {
            Self::NoUpstream(_) => give_up::Reason::NoUpstream,
            Self::Overloaded { retry_after, .. } => {
                give_up::Reason::Overloaded { retry_after: *retry_after }
            }
        }
    }
}

impl fmt::Display for Refusal {
    /// Writes what decided, as pairs for logs.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoUpstream(Census { known, outside, leaving, evacuated, cold, tried }) => write!(
                formatter,
                "known={known} outside={outside} leaving={leaving} evacuated={evacuated} cold={cold} tried={tried}"
            ),
            Self::Overloaded { estimate, .. } => {
                let Estimate { upstream, wait, expected, left, load_age } = estimate;
                write!(
                    formatter,
                    "upstream={upstream} wait_ms={} expected_ms={} left_ms={} load_age_ms={}",
                    wait.as_millis(),
                    expected.as_millis(),
                    left.as_millis(),
                    load_age.as_millis()
                )
            }
        }
    }
}
