//! Surplus bytes: whether a peer that sends on a connection that lingers does so without end.
//!
//! Surplus bytes are read slowly where many connections linger, so that those of a peer that has sent its last byte
//! may still be read a second later. When the latest ones were read therefore does not tell; for how long bytes have
//! come without a pause does.

use std::time::{Duration, Instant};

/// Pause after which a peer is taken to have sent everything that it began to send.
const PAUSE: Duration = Duration::from_millis(500);

/// Time without such a pause after which a peer sends without end.
///
/// Enough to read 100 KB from each of many connections, at 1 KiB in 20 ms.
const MAX_TIME: Duration = Duration::from_secs(2);

/// The latest bytes of a peer without a pause among them.
#[derive(Clone, Copy, Debug)]
struct Run {
    began: Instant,
    latest: Instant,
}

/// Surplus bytes of one peer.
#[derive(Clone, Copy, Debug, Default)]
pub struct Surplus {
    run: Option<Run>,
}

impl Surplus {
    /// Records that bytes were read at `now`.
    pub fn record(&mut self, now: Instant) {
        let began = self.current(now).map_or(now, |run| run.began);
        self.run = Some(Run { began, latest: now });
    }

    /// Returns whether the peer sends without end.
    #[must_use]
    pub fn is_endless(&self, now: Instant) -> bool {
        self.current(now).is_some_and(|run| now.saturating_duration_since(run.began) >= MAX_TIME)
    }

    /// Returns the bytes that have come without a pause until `now`.
    fn current(&self, now: Instant) -> Option<Run> {
        self.run.filter(|run| now.saturating_duration_since(run.latest) < PAUSE)
    }
}
