//! Roll-outs: moving the requests of a service to upstreams of another version.
//!
//! An operator orders a roll-out; the gateways expose the new version to a small share of the requests, raise
//! the share by stages, and record the stage in force where every gateway finds it.

use std::time::Duration;

use crate::id;

/// An operator's order to move a service to another version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Order {
    /// The service.
    pub service: id::Service,
    /// The version to move to.
    pub target: id::Version,
    /// Time within which the roll-out should end, counted from the order.
    pub period: Duration,
    /// Number of the order, which grows with each order for the service.
    pub number: u64,
}

/// Stage of a roll-out, in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Stage {
    /// Few requests go to the new version.
    Exposed,
    /// A larger share does.
    Ramping,
    /// About as many as go to the old versions.
    Half,
    /// All new requests go to the new version; the old ones answer what they have.
    Whole,
    /// The service runs the new version; upstreams of other versions stop.
    Completed,
    /// The new version is bad and gets no requests; its upstreams stop.
    RolledBack,
}

impl Stage {
    /// Every stage.
    pub const ALL: [Self; 6] =
        [Self::Exposed, Self::Ramping, Self::Half, Self::Whole, Self::Completed, Self::RolledBack];

    /// Returns whether the roll-out has ended.
    #[must_use]
    pub fn is_outcome(self) -> bool {
        matches!(self, Self::Completed | Self::RolledBack)
    }

    /// Returns the stage as logs and records show it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Exposed => "exposed",
            Self::Ramping => "ramping",
            Self::Half => "half",
            Self::Whole => "whole",
            Self::Completed => "completed",
            Self::RolledBack => "rolled-back",
        }
    }
}

/// The stage in force of a roll-out, as the fleet records it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The service.
    pub service: id::Service,
    /// The version that the service moves to.
    pub target: id::Version,
    /// Number of the order.
    pub order: u64,
    /// The stage.
    pub stage: Stage,
}
