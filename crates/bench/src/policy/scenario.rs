//! Scenarios.

use std::time::Duration;

use crate::policy::Policy;

/// What happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scenario {
    /// Steady load, in per cent of the slots.
    Steady(u32),
    /// One place asks three times its normal within a second.
    Surge,
    /// A hall is drained as planned.
    HallDrain,
    /// A region is lost with its nodes.
    RegionLost,
    /// A region's upstreams start cold.
    ColdRegion,
}

/// All scenarios.
pub const ALL: [Scenario; 8] = [
    Scenario::Steady(50),
    Scenario::Steady(70),
    Scenario::Steady(90),
    Scenario::Steady(97),
    Scenario::Surge,
    Scenario::HallDrain,
    Scenario::RegionLost,
    Scenario::ColdRegion,
];

impl Scenario {
    /// Returns its name.
    #[must_use]
    pub fn name(self) -> String {
        match self {
            Self::Steady(percent) => format!("steady {percent} %"),
            Self::Surge => "threefold surge".to_owned(),
            Self::HallDrain => "hall drained".to_owned(),
            Self::RegionLost => "region lost".to_owned(),
            Self::ColdRegion => "cold region".to_owned(),
        }
    }

    /// Returns the steady load beneath it, as a part of the slots.
    #[must_use]
    pub fn load(self) -> f64 {
        match self {
            Self::Steady(percent) => f64::from(percent) / 100.0,
            Self::Surge | Self::HallDrain | Self::RegionLost | Self::ColdRegion => 0.5,
        }
    }

    /// Returns whether a policy is measured in it: the ideal knows nothing of faults.
    #[must_use]
    pub fn suits(self, policy: Policy) -> bool {
        matches!(self, Self::Steady(_)) || policy != Policy::Ideal
    }
}

/// Time in which the fleet finds itself before anything is measured.
pub const WARM_UP: Duration = Duration::from_secs(15);

/// Time that is measured.
pub const MEASURED: Duration = Duration::from_secs(30);

/// When the fault happens, after the measuring began.
pub const FAULT: Duration = Duration::from_secs(8);
