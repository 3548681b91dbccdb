//! The phases of the demo, and what one measures beside its requests.

use std::time::Duration;

/// A phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// Nothing happens.
    Steady,
    /// A region is drained, so its traffic moves under the caps.
    Shift,
    /// A hall is drained.
    Hall,
    /// An upstream leaves.
    Leave,
    /// A node is killed.
    Kill,
    /// The store is away, and an operator tries to change something.
    Outage,
}

impl Phase {
    /// All phases in order.
    pub const ALL: [Self; 6] =
        [Self::Steady, Self::Hall, Self::Leave, Self::Shift, Self::Kill, Self::Outage];

    /// Returns its name in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady load",
            Self::Shift => "capped shift",
            Self::Hall => "drain of a hall",
            Self::Leave => "upstream leaves",
            Self::Kill => "node killed",
            Self::Outage => "store outage",
        }
    }

    /// Returns its part of the run, in nineteenths.
    #[must_use]
    pub fn weight(self) -> u32 {
        match self {
            Self::Steady | Self::Leave | Self::Kill | Self::Outage => 2,
            Self::Hall => 5,
            Self::Shift => 6,
        }
    }
}

/// What one phase measured beside its requests.
#[derive(Clone, Debug, Default)]
pub struct Measured {
    /// From the planned start of a drain, or the sign of a leaving, to the last new work.
    pub drain_time: Option<Duration>,
    /// What did not go as promised.
    pub broken: Vec<String>,
}
