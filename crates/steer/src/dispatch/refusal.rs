//! Refusal: why the dispatcher finds no upstream for a request, with what decided that.
//!
//! Owns the text of the log key `inputs`, which docs/OPERATING-GATEWAYS.md explains. Made by [`eligibility`] and
//! [`admission`].
//!
//! [`admission`]: crate::dispatch::admission
//! [`eligibility`]: crate::dispatch::eligibility

use std::fmt;
use std::time::Duration;

use model::id;

use crate::dispatch::give_up;

/// Why a request gets no upstream. It has not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service may take it now.
    NoUpstream(Exclusions),
    /// Every upstream that would take it names a limit which is used up.
    Limited {
        /// Time after which one of them has room.
        retry_after: Duration,
        /// The upstreams.
        upstreams: Vec<id::Upstream>,
    },
    /// Every upstream that would take it wants no requests from this node for now.
    Resting {
        /// Time after which one of them has rested.
        retry_after: Duration,
        /// Why each upstream may not take it.
        exclusions: Exclusions,
    },
    /// The best upstream would answer it too late.
    Overloaded {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
        /// What was known of the best upstream.
        estimate: Estimate,
    },
}

/// Upstreams of a service by why they may not take a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// All upstreams of the service.
    pub known: usize,
    /// Those that drain or said that they leave, or whose address another one has.
    pub leaving: usize,
    /// Those in regions that may not serve the route.
    pub outside: usize,
    /// Those in evacuated halls.
    pub evacuated: usize,
    /// Those that want no requests from this node for now.
    pub resting: usize,
    /// Cold ones to which this node may not send one more request now.
    pub cold: usize,
    /// Those that the request was sent to before.
    pub tried: usize,
}

/// What was known of the best upstream for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Time the request would have waited there.
    pub wait: Duration,
    /// Cautious estimate of the time until the answer.
    pub expected: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Age of the latest load that the upstream reported.
    pub load_age: Duration,
}

impl Exclusions {
    /// Returns whether all that would take the request rest, and nothing else keeps them from it.
    #[must_use]
    pub fn all_rest(&self) -> bool {
        let takes_none = self.outside + self.leaving + self.evacuated;
        self.resting > 0 && self.resting + takes_none == self.known
    }
}

impl Refusal {
    /// Returns why the request is given up.
    #[must_use]
    pub fn reason(&self) -> give_up::Reason {
        match self {
            Self::NoUpstream(_) => give_up::Reason::NoUpstream,
            Self::Limited { retry_after, .. } => {
                give_up::Reason::Limited { retry_after: *retry_after }
            }
            Self::Resting { retry_after, .. } => {
                give_up::Reason::Resting { retry_after: *retry_after }
            }
            Self::Overloaded { retry_after, .. } => {
                give_up::Reason::Overloaded { retry_after: *retry_after }
            }
        }
    }
}

impl fmt::Display for Refusal {
    /// Writes what decided, as the log key `inputs` holds it.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoUpstream(exclusions) | Self::Resting { exclusions, .. } => {
                let Exclusions { known, outside, leaving, evacuated, resting, cold, tried } =
                    exclusions;
                write!(
                    formatter,
                    "known={known} outside={outside} leaving={leaving} evacuated={evacuated} resting={resting} cold={cold} tried={tried}"
                )
            }
            Self::Limited { upstreams, .. } => {
                let names: Vec<&str> = upstreams.iter().map(id::Upstream::as_str).collect();
                write!(formatter, "limited={}", names.join(","))
            }
            Self::Overloaded { estimate, .. } => {
                let Estimate { upstream, wait, expected, time_left, load_age } = estimate;
                write!(
                    formatter,
                    "upstream={upstream} wait_ms={} expected_ms={} left_ms={} load_age_ms={}",
                    wait.as_millis(),
                    expected.as_millis(),
                    time_left.as_millis(),
                    load_age.as_millis()
                )
            }
        }
    }
}
