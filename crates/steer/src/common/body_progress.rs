//! Progress of a response body: when a body is cut off that pauses, or arrives so slowly that it never ends.
//!
//! [`Stream`] decides on a body that is passed on while it arrives, in both roles of a node.

use std::time::{Duration, Instant};

/// Length above which a body counts as without length, in bytes; no upstream sends so much.
const MAX_LENGTH: u64 = 1 << 40;

/// Idle time within a response body after which the response is cut off.
///
/// Longer than the pauses that packet loss causes. A response that keeps arriving may take longer
/// than its request's deadline, because the caller is already reading it.
const STALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Minimum rate at which a response body with a length must arrive after its request's deadline, in bytes per
/// second of waiting for the upstream.
///
/// Far below what any link carries, and above an upstream that sends a few bytes now and then. A stream of events has
/// no length, and may be slower.
const MIN_RATE: f64 = 256.0;

/// A response body that is passed on while it arrives.
///
/// Before its request's deadline the body may pause. From then on it is cut off when it pauses or, if it has a
/// length, falls below the minimum rate for too long. Time that the caller takes does not count. A body without a
/// length may have no end, so that it is cut off after a time whatever it does.
#[derive(Clone, Copy, Debug)]
pub struct Stream {
    deadline: Instant,
    /// When the body is cut off even if it keeps arriving; `None` if its length limits it.
    end: Option<Instant>,
    /// Time that may be waited for the next piece.
    patience: Duration,
}

impl Stream {
    /// Creates the state of a body whose request has this deadline. It is cut off at `end` if `length` does
    /// not limit it.
    #[must_use]
    pub fn new(deadline: Instant, length: Option<u64>, end: Instant) -> Self {
        let is_limited = length.is_some_and(|length| length <= MAX_LENGTH);
        Self { deadline, end: (!is_limited).then_some(end), patience: STALL_TIMEOUT }
    }

    /// Returns when the response is cut off if nothing more arrives after `now`.
    #[must_use]
    pub fn cut_off(&self, now: Instant) -> Instant {
        let stalled = self.deadline.max(now + self.patience);
        self.end.map_or(stalled, |end| stalled.min(end))
    }

    /// Records a piece of `bytes` that was awaited since `since` and arrived at `now`.
    pub fn record_piece(&mut self, bytes: usize, since: Instant, now: Instant) {
        if self.end.is_some() {
            return;
        }
        let waited = now.saturating_duration_since(since.max(self.deadline));
        #[expect(clippy::cast_precision_loss, reason = "a piece has far fewer bytes than that")]
        let earned = Duration::from_secs_f64(bytes as f64 / MIN_RATE);
        self.patience = (self.patience.saturating_sub(waited) + earned).min(STALL_TIMEOUT);
    }
}
