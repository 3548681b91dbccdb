//! The phases of the demo: one without faults, then one per fault.
//!
//! It owns their order and length; it relies on the deployment to inject the faults.

use std::sync;
use std::time::Duration;

use standin::platform::{listener, upstream};

use crate::demo::gateways::callers;
use crate::demo::gateways::deployment;

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

/// A fault, under load.
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
    pub outcomes: Vec<callers::Outcome>,
}

/// Runs all phases, which take `length` together or a little longer.
///
/// # Errors
///
/// Fails when a gateway cannot be started again.
pub async fn run(
    deployment: &mut deployment::Deployment,
    length: Duration,
    seed: u64,
) -> anyhow::Result<Vec<Result>> {
    let each = length / u32::try_from(PHASES.len()).unwrap_or(1);
    let mut results = Vec::new();
    for phase in PHASES {
        let addresses = sync::Arc::clone(&deployment.addresses);
        let sending =
            tokio::spawn(async move { callers::run(phase.name(), &addresses, each, seed).await });
        inject(deployment, phase, each).await?;
        let outcomes = sending.await?;
        results.push(Result { name: phase.name(), outcomes });
    }
    Ok(results)
}

async fn inject(
    deployment: &mut deployment::Deployment,
    phase: Phase,
    length: Duration,
) -> anyhow::Result<()> {
    tokio::time::sleep(length / 4).await;
    let halls = deployment::halls();
    match phase {
        Phase::Quiet => {}
        Phase::Evacuation => {
            deployment.evacuate(&halls[0], true);
            tokio::time::sleep(length / 2).await;
            deployment.evacuate(&halls[0], false);
        }
        Phase::UpstreamLeaves => deployment.drain_upstream(&halls[1]),
        Phase::NewConfiguration => deployment.configure(deployment::SERVICES[1]),
        Phase::LostAnswers => {
            deployment.misbehave(upstream::Behavior::Lost, LOST_EVERY);
            tokio::time::sleep(length / 2).await;
            deployment.misbehave(upstream::Behavior::Lost, usize::MAX);
        }
        Phase::StoreTurnsSomeAway => {
            deployment.set_listeners(listener::Mode::Busy, false);
            deployment.configure(deployment::SERVICES[0]);
            tokio::time::sleep(length / 2).await;
            deployment.set_listeners(listener::Mode::Open, true);
        }
        Phase::PlannedStop => deployment.restart(&halls[2], true).await?,
        Phase::Kill => deployment.restart(&halls[4], false).await?,
    }
    Ok(())
}
