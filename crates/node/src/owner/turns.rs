//! Turns of a thread's event loop, by which a planned stop knows how late the thread handles what happens.
//!
//! Each thread that a signal or a request passes records its own, since a busy processor may hold up one of them.

use std::convert;
use std::sync;
use std::time::{Duration, Instant};

use model::clock;
use steer::common::responsiveness;

/// Turns of one thread; copies share them.
#[derive(Clone, Debug)]
pub struct Recorder {
    clock: sync::Arc<dyn clock::Clock>,
    turns: sync::Arc<sync::Mutex<responsiveness::Turns>>,
}

impl Recorder {
    /// Creates a recorder whose first turn is now.
    #[must_use]
    pub fn new(clock: sync::Arc<dyn clock::Clock>) -> Self {
        let turns = responsiveness::Turns::new(clock.now());
        Self { clock, turns: sync::Arc::new(sync::Mutex::new(turns)) }
    }

    /// Records the turns of the thread that drives this.
    pub async fn run(self) -> convert::Infallible {
        loop {
            tokio::time::sleep(responsiveness::TURN_PERIOD).await;
            let now = self.clock.now();
            self.lock().record(now);
        }
    }

    /// Returns the earliest time at which a signal that this thread sees now may have arrived.
    #[must_use]
    pub fn earliest_arrival(&self) -> Instant {
        self.lock().earliest_arrival(self.clock.now())
    }

    /// Returns the longest delay of recent turns, including one that lasts at `now`.
    #[must_use]
    pub fn longest_delay(&self, now: Instant) -> Duration {
        self.lock().longest_delay(now)
    }

    fn lock(&self) -> sync::MutexGuard<'_, responsiveness::Turns> {
        self.turns.lock().unwrap_or_else(sync::PoisonError::into_inner)
    }
}
