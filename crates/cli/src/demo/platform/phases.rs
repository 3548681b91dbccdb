//! The phases of the demo: a quiet one, and then one trouble after the other.

use std::sync;
use std::time::Duration;

use standin::platform::{door, upstream};

use crate::demo::platform::fleet;
use crate::demo::platform::load;

/// The phases, in order.
const PHASES: [Phase; 8] = [
    Phase::Quiet,
    Phase::Evacuation,
    Phase::UpstreamLeaves,
    Phase::NewConfiguration,
    Phase::LostAnswers,
    Phase::StoreTurnsSomeAway,
    Phase::PlannedStop,
    Phase::Kill,
];

/// One upstream in this many loses its answers, of every service.
const LOST_EVERY: usize = 3;

/// A trouble, under load.
#[derive(Clone, Copy, Debug)]
enum Phase {
    Quiet,
    Evacuation,
    UpstreamLeaves,
    NewConfiguration,
    LostAnswers,
    StoreTurnsSomeAway,
    PlannedStop,
    Kill,
}

impl Phase {
    fn name(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Evacuation => "evacuation",
            Self::UpstreamLeaves => "upstream leaves",
            Self::NewConfiguration => "new configuration",
            Self::LostAnswers => "lost answers",
            Self::StoreTurnsSomeAway => "store turns some away",
            Self::PlannedStop => "planned stop",
            Self::Kill => "kill",
        }
    }
}

/// What became of the requests of a phase.
#[derive(Debug)]
pub struct Result {
    /// The phase.
    pub name: &'static str,
    /// Its requests.
    pub outcomes: Vec<load::Outcome>,
}

/// Runs all phases, which take `length` together or a little longer.
///
/// # Errors
///
/// Fails when a gateway cannot be started again.
pub async fn run(
    fleet: &mut fleet::Fleet,
    length: Duration,
    seed: u64,
) -> anyhow::Result<Vec<Result>> {
    let each = length / u32::try_from(PHASES.len()).unwrap_or(1);
    let mut results = Vec::new();
    for phase in PHASES {
        let addresses = sync::Arc::clone(&fleet.addresses);
        let sending =
            tokio::spawn(async move { load::run(phase.name(), &addresses, each, seed).await });
        trouble(fleet, phase, each).await?;
        let outcomes = sending.await?;
        results.push(Result { name: phase.name(), outcomes });
    }
    Ok(results)
}

async fn trouble(fleet: &mut fleet::Fleet, phase: Phase, length: Duration) -> anyhow::Result<()> {
    tokio::time::sleep(length / 4).await;
    let halls = fleet::halls();
    match phase {
        Phase::Quiet => {}
        Phase::Evacuation => {
            fleet.evacuate(&halls[0], true);
            tokio::time::sleep(length / 2).await;
            fleet.evacuate(&halls[0], false);
        }
        Phase::UpstreamLeaves => fleet.drain_upstream(&halls[1]),
        Phase::NewConfiguration => fleet.configure(fleet::SERVICES[1]),
        Phase::LostAnswers => {
            fleet.misbehave(upstream::Manner::Lost, LOST_EVERY);
            tokio::time::sleep(length / 2).await;
            fleet.misbehave(upstream::Manner::Lost, usize::MAX);
        }
        Phase::StoreTurnsSomeAway => {
            fleet.set_doors(door::Mode::Busy, false);
            fleet.configure(fleet::SERVICES[0]);
            tokio::time::sleep(length / 2).await;
            fleet.set_doors(door::Mode::Open, true);
        }
        Phase::PlannedStop => fleet.restart(&halls[2], true).await?,
        Phase::Kill => fleet.restart(&halls[4], false).await?,
    }
    Ok(())
}
