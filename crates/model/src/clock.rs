//! The clock, passed in so that tests control time.

use std::fmt;
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns a time that never goes back and also counts while the VM is suspended.
    fn now(&self) -> Instant;

    /// Returns the time of day, which may jump; only drains' dates and deadlines on the wire use it.
    fn wall(&self) -> SystemTime;
}

/// The operating system's clock.
///
/// `Instant` alone stands still while a VM is suspended, so a node that wakes would believe its
/// leases still valid. The boot-time clock counts the suspension.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: Instant,
    booted: Duration,
}

impl System {
    /// Makes a clock that starts now.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: Instant::now(), booted: boot_time() }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        self.origin + boot_time().saturating_sub(self.booted)
    }

    fn wall(&self) -> SystemTime {
        SystemTime::now()
    }
}

fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
