//! Clock abstraction, so that tests can control time.

use std::fmt;
use std::time::{Duration, Instant, SystemTime};

/// A source of time.
pub trait Clock: fmt::Debug + Send + Sync {
    /// Returns a monotonic time that also advances while the VM is suspended.
    fn now(&self) -> Instant;

    /// Returns the wall-clock time, which may jump. Use it only for the dates of drains and for
    /// deadlines on the wire.
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
///
/// `Instant` alone does not advance while a VM is suspended, so a node that resumes would consider
/// expired leases valid. `CLOCK_BOOTTIME` includes the time of the suspension.
#[derive(Clone, Copy, Debug)]
pub struct System {
    origin: Instant,
    /// Boot time at `origin`.
    origin_boot_time: Duration,
}

impl System {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn new() -> Self {
        Self { origin: Instant::now(), origin_boot_time: boot_time() }
    }
}

impl Default for System {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock for System {
    fn now(&self) -> Instant {
        self.origin + boot_time().saturating_sub(self.origin_boot_time)
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Returns the time since boot, including suspensions.
fn boot_time() -> Duration {
    let time = rustix::time::clock_gettime(rustix::time::ClockId::Boottime);
    let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
    let nanos = u32::try_from(time.tv_nsec).unwrap_or_default();
    Duration::new(seconds, nanos)
}
