//! Progress of sending: when a connection is closed whose peer takes no data.
//!
//! `TCP_USER_TIMEOUT` does not decide that: while the peer's window is too small for the next segment, Linux counts
//! the time from its first probe of the window, and closes the connection even if data was acknowledged since.
//! Here every acknowledged byte is progress.

use std::time::{Duration, Instant};

/// Interval at which a connection is checked while data may be unacknowledged.
pub const CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Time without progress after which a connection is closed.
///
/// A receiver that has closed its window opens it again only when a sixteenth of its buffer is free, which is
/// 384 KiB of the 6 MiB that Linux allows by default: half a minute for one that reads 13 KB/s.
pub const STALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Time without progress after which a connection is closed that cannot be checked, unless the operating system takes
/// further data of it.
///
/// Connections whose peers take no data may cause the shortage for which the checks fail, so that there is a bound.
/// A peer that reads 13 KB/s lets the operating system take data again within 108 s, since that waits until a third
/// of its buffer of 4 MiB is free.
pub const UNKNOWN_TIMEOUT: Duration = Duration::from_secs(120);

/// What a check of a connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The peer has acknowledged everything; no further check is needed until data is written.
    Idle,
    /// Data is unacknowledged; the connection is checked again after [`CHECK_PERIOD`].
    Pending,
    /// The peer has taken nothing for [`STALL_TIMEOUT`], so that the connection is closed.
    Stalled,
}

/// Data of a connection at a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Queue {
    /// Number of bytes that were written since the connection began.
    pub written: u64,
    /// Number of bytes among them that the peer has not acknowledged.
    pub unacknowledged: u64,
}

impl Queue {
    fn acknowledged(self) -> u64 {
        self.written.saturating_sub(self.unacknowledged)
    }
}

/// The latest progress of a connection.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    acknowledged: u64,
    at: Instant,
    /// Number of bytes that had been written at the latest check that failed, or at the start.
    written: u64,
    written_at: Instant,
}

impl Progress {
    /// Starts with data that is written at `now`, when `queue` was the state before.
    #[must_use]
    pub fn new(queue: Queue, now: Instant) -> Self {
        let (acknowledged, written) = (queue.acknowledged(), queue.written);
        Self { acknowledged, at: now, written, written_at: now }
    }

    /// Records the data at a check.
    #[must_use]
    pub fn check(&mut self, queue: Queue, now: Instant) -> Verdict {
        let acknowledged = queue.acknowledged();
        match queue.unacknowledged {
            0 => Verdict::Idle,
            _ if acknowledged > self.acknowledged => {
                (self.acknowledged, self.at) = (acknowledged, now);
                Verdict::Pending
            }
            _ if now.saturating_duration_since(self.at) >= STALL_TIMEOUT => Verdict::Stalled,
            _ => Verdict::Pending,
        }
    }

    /// Records a check that failed, so that nothing new is known but the number of bytes `written`.
    #[must_use]
    pub fn check_failed(&mut self, written: u64, now: Instant) -> Verdict {
        if written > self.written {
            (self.written, self.written_at) = (written, now);
        }
        let latest = self.at.max(self.written_at);
        match now.saturating_duration_since(latest) >= UNKNOWN_TIMEOUT {
            true => Verdict::Stalled,
            false => Verdict::Pending,
        }
    }
}
