//! Upstreams that leave or ask for rest in the calm part of a soak, and what may reach them then.

use std::time::{Duration, Instant};

use standin::platform::upstream;

/// Soaks of which one has such upstreams, and which of them it is.
pub const EVERY: u64 = 4;
/// See [`EVERY`].
pub const AT: u64 = 2;

/// Time that the calm part takes longer, so that both are watched for a while.
pub const LONGER: Duration = Duration::from_secs(5);

/// Bound on requests to an upstream that leaves, counted from its first answer that says so.
const DRAIN: Duration = Duration::from_secs(2);

/// Rest that is asked for.
const REST: Duration = Duration::from_secs(2);

/// Time from which requests within a rest are counted.
const UNDER_WAY: Duration = Duration::from_millis(500);

/// Requests of one gateway that are granted within a rest.
const GRANTED: usize = 2;

/// The upstream that leaves; its hall is not the one that is evacuated.
const LEAVES: usize = 8;

/// The upstream that turns all away and asks for rest.
const RESTS: usize = 11;

/// Upstreams that say something of themselves.
#[derive(Debug)]
pub struct Statements {
    since: Instant,
    gateways: usize,
}

impl Statements {
    /// Lets one upstream leave, without a word in the store, and another one ask for rest.
    pub fn start(upstreams: &[&upstream::Upstream], gateways: usize) -> Self {
        upstreams[LEAVES].say_leaving(&["1"]);
        upstreams[RESTS].ask_for_rest(&[&REST.as_secs().to_string()]);
        upstreams[RESTS].set(upstream::Behavior::Full);
        Self { since: Instant::now(), gateways }
    }

    /// Returns what reached them that must not.
    pub fn broken(&self, upstreams: &[&upstream::Upstream]) -> Vec<String> {
        let late = self.late(&self.arrived(upstreams[LEAVES]));
        let early = self.early(&self.arrived(upstreams[RESTS]));
        late.into_iter().chain(early).collect()
    }

    fn arrived(&self, upstream: &upstream::Upstream) -> Vec<Instant> {
        let mut arrived = upstream.record().arrived_at;
        arrived.retain(|at| *at >= self.since);
        arrived.sort_unstable();
        arrived
    }

    fn late(&self, arrived: &[Instant]) -> Option<String> {
        let first = *arrived.first()?;
        let late = arrived.iter().filter(|at| **at > first + DRAIN).count();
        (late > 0).then(|| format!("DRAIN: {late} requests at an upstream that leaves"))
    }

    fn early(&self, arrived: &[Instant]) -> Option<String> {
        let within = |refused: &Instant| {
            let rest = *refused + UNDER_WAY..*refused + REST;
            arrived.iter().filter(|at| rest.contains(at)).count()
        };
        let most = arrived.iter().map(within).max().unwrap_or(0);
        // Each gateway has a rest of its own, and may begin to send when another one's rest is not over.
        let granted = GRANTED * self.gateways;
        (most > granted)
            .then(|| format!("BUDGET: {most} requests within a rest, {granted} granted"))
    }
}
