//! Reasons why the dispatcher finds no upstream for a request, with the data behind the decision.
//!
//! Defines the text of the log key `inputs`, which docs/OPERATING-GATEWAYS.md explains.
//! [`eligibility`] and
//! [`admission`] create the refusals.
//!
//! [`admission`]: crate::dispatch::admission
//! [`eligibility`]: crate::dispatch::eligibility

use std::fmt;
use std::time::Duration;

use model::id;

use crate::dispatch::give_up;

/// Why no upstream was selected for a request. The request has not been executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service is eligible now.
    NoUpstream(Exclusions),
    /// Every otherwise eligible upstream has announced a rate limit that is used up.
    Limited {
        /// Time after which one of them accepts another request.
        retry_after: Duration,
        /// These upstreams.
        upstreams: Vec<id::Upstream>,
    },
    /// Every otherwise eligible upstream has asked this node for a rest period.
    Resting {
        /// Time after which the first rest period ends.
        retry_after: Duration,
        /// Why the upstreams are excluded.
        exclusions: Exclusions,
    },
    /// This node cannot connect to any otherwise eligible upstream.
    Unreached {
        /// Time since the latest of their groups was lost.
        lost_for: Duration,
        /// Why the upstreams are excluded.
        exclusions: Exclusions,
    },
    /// Even the best upstream is expected to respond too late.
    Overloaded {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
        /// The estimate for the best upstream.
        estimate: Estimate,
    },
    /// The owner of the best upstream's slots refused the request.
    NoSlot {
        /// Time after which a retry may find a slot.
        retry_after: Duration,
        /// What the owner was asked, and its answer.
        ask: SlotAsk,
    },
}

/// An ask for a slot that was refused.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SlotAsk {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Node that owns its slots.
    pub owner: id::Node,
    /// Number of asks that were ahead of it; `None` if the owner did not answer again after it queued
    /// the ask.
    pub position: Option<u32>,
    /// Longest time that the request could wait.
    pub max_wait: Duration,
}

/// Number of upstreams of a service that are excluded from a request, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Exclusions {
    /// All upstreams of the service.
    pub known: usize,
    /// Those that are draining or leaving, or whose address belongs to another upstream.
    pub leaving: usize,
    /// Those in regions that must not serve the route.
    pub outside: usize,
    /// Those in evacuated halls.
    pub evacuated: usize,
    /// Those that this node cannot connect to.
    pub unreached: usize,
    /// Those that have asked this node for a rest period.
    pub resting: usize,
    /// Cold ones to which this node must not send another request now.
    pub cold: usize,
    /// Those of a version that does not take the request during a roll-out.
    pub version: usize,
    /// Those that the request was already sent to.
    pub tried: usize,
}

/// Estimated time until the best upstream responds to a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Expected queueing time there.
    pub wait: Duration,
    /// Conservative estimate of the time until the response.
    pub expected: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Age of the latest load reported by the upstream.
    pub load_age: Duration,
}

impl Exclusions {
    /// Returns whether rest periods are the only reason why no upstream is eligible.
    #[must_use]
    pub fn all_rest(&self) -> bool {
        let unavailable = self.outside + self.leaving + self.evacuated + self.version;
        self.resting > 0 && self.resting + unavailable == self.known
    }

    /// Returns whether this node cannot connect to any upstream that may take the request otherwise.
    #[must_use]
    pub fn none_is_reached(&self) -> bool {
        let others = self.outside + self.leaving + self.evacuated + self.version + self.tried;
        self.unreached > 0 && self.unreached + others == self.known
    }
}

impl fmt::Display for Exclusions {
    /// Writes the counts; those of rare causes only where there are any.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { known, outside, leaving, evacuated, resting, cold, version, tried, unreached } =
            self;
        write!(
            formatter,
            "known={known} outside={outside} leaving={leaving} evacuated={evacuated} resting={resting} cold={cold} tried={tried}"
        )?;
        for (name, count) in [("version", version), ("unreached", unreached)] {
            if *count > 0 {
                write!(formatter, " {name}={count}")?;
            }
        }
        Ok(())
    }
}

impl Refusal {
    /// Returns the reason for which the request fails.
    #[must_use]
    pub fn reason(&self) -> give_up::Reason {
        match self {
            Self::NoUpstream(_) => give_up::Reason::NoUpstream,
            Self::Unreached { .. } => give_up::Reason::Unreachable,
            Self::Limited { retry_after, .. } => {
                give_up::Reason::Limited { retry_after: *retry_after }
            }
            Self::Resting { retry_after, .. } => {
                give_up::Reason::Resting { retry_after: *retry_after }
            }
            Self::Overloaded { retry_after, .. } | Self::NoSlot { retry_after, .. } => {
                give_up::Reason::Overloaded { retry_after: *retry_after }
            }
        }
    }
}

impl fmt::Display for Refusal {
    /// Writes the value of the log key `inputs`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NoUpstream(exclusions) | Self::Resting { exclusions, .. } => {
                write!(formatter, "{exclusions}")
            }
            Self::Limited { upstreams, .. } => {
                let names: Vec<&str> = upstreams.iter().map(id::Upstream::as_str).collect();
                write!(formatter, "limited={}", names.join(","))
            }
            Self::Unreached { lost_for, exclusions } => {
                write!(formatter, "{exclusions} lost_for_ms={}", lost_for.as_millis())
            }
            Self::NoSlot { ask, .. } => {
                let SlotAsk { upstream, owner, position, max_wait } = ask;
                let position =
                    position.map_or("unknown".to_owned(), |position| position.to_string());
                write!(
                    formatter,
                    "upstream={upstream} owner={owner} position={position} max_wait_ms={}",
                    max_wait.as_millis()
                )
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
