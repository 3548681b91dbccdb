//! Silence of a peer: when a connection is closed whose peer answers nothing that is sent to it.
//!
//! `TCP_USER_TIMEOUT` does not decide that: while the peer's window is too small for the next segment, Linux counts
//! the time from its first probe of the window, although the peer acknowledges each probe. Here every acknowledgement
//! is an answer, so that a peer may read as slowly as it likes.

use std::time::{Duration, Instant};

/// Interval at which a connection is checked while data may be unacknowledged.
///
/// A silent peer is noticed so much later than [`TIMEOUT`] at most.
pub const CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time without an answer after which a connection is closed.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// What a check of a connection shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The peer has acknowledged everything; no further check is needed until data is written.
    Idle,
    /// Data is unacknowledged; the connection is checked again after [`CHECK_PERIOD`].
    Pending,
    /// The peer has answered nothing for [`TIMEOUT`], so that the connection is closed.
    Silent,
}

/// State of a connection at a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct State {
    /// Number of bytes that the peer has not acknowledged, sent or not.
    pub unacknowledged: u64,
    /// Whether data or a probe of the window was sent since the latest acknowledgement.
    pub is_unanswered: bool,
    /// Time since the latest acknowledgement.
    pub since_answer: Duration,
}

/// The latest answer of a peer.
#[derive(Clone, Copy, Debug)]
pub struct Silence {
    /// When the peer answered last, or when nothing was known to be unanswered.
    answered: Instant,
}

impl Silence {
    /// Starts with data that is written at `now`, when everything before had been acknowledged.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self { answered: now }
    }

    /// Records the state at a check.
    #[must_use]
    pub fn check(&mut self, state: State, now: Instant) -> Verdict {
        // The time of the answer alone does not tell: probes of a window may come minutes apart.
        let answered = match state.is_unanswered {
            true => now.checked_sub(state.since_answer).unwrap_or(self.answered),
            false => now,
        };
        self.answered = self.answered.max(answered);
        match state {
            State { unacknowledged: 0, .. } => Verdict::Idle,
            _ if now.saturating_duration_since(self.answered) >= TIMEOUT => Verdict::Silent,
            _ => Verdict::Pending,
        }
    }
}
