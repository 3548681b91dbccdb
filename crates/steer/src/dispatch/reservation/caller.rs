//! Caller of a request, and whether the request is a return that comes as told.
//!
//! A retry is a new request with its own id, so it is recognised by its time left: callers keep
//! their deadline, and a return has less time left than a first request.

use std::net;
use std::time::Duration;

use xxhash_rust::xxh3;

use crate::dispatch::reservation::times_left::Usual;
use crate::dispatch::urgency;

/// Shortest and longest wait that callers are told with a promise, as fractions of their time left.
///
/// Callers wait for at most a third of their time left. The waits end below that, so that callers
/// that give up waiting after a third are told apart from those that come as told; the narrow range
/// tells apart callers that come earlier. Within it, returns are spread.
pub const WAIT_RANGE: (f64, f64) = (0.18, 0.24);

/// Greatest part of its time left that a caller spends waiting for a retry.
pub const MAX_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Time, as a fraction of the usual time left, by which a caller may come early: two decimals of
/// `Retry-After` and whole milliseconds of the deadline are rounded.
const EARLY_TOLERANCE: f64 = 0.01;

/// Time, as a fraction of the usual time left, by which a caller may come late: round trips, a new
/// connection and the caller's own delay. With more, callers that wait for a third of their time
/// would count as coming as told.
const LATE_TOLERANCE: f64 = 0.07;

/// Period after which contents are drawn anew, so that none is without promises for a whole surge.
/// Much longer than clocks of nodes differ.
const DRAW_PERIOD: Duration = Duration::from_secs(10);

/// What is known about the caller of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Caller {
    /// Source address of the connection.
    pub address: net::IpAddr,
    /// Time until the caller's deadline.
    pub time_left: Duration,
    /// Time left that first requests on the route usually have; `None` if it is unknown, or callers
    /// state no deadline.
    pub usual: Option<Usual>,
    /// Urgency of the request.
    pub urgency: urgency::Urgency,
    /// Number from 0 to 1 that a request and its repetition have in common, from [`draw`].
    pub draw: f64,
}

/// Returns a number from 0 to 1 that is the same at every node for a request and its repetition.
///
/// `content` is a hash of what both have in common, and `deadline` the caller's deadline by the wall
/// clock, which both have in common too.
#[must_use]
pub fn draw(content: u64, deadline: Duration) -> f64 {
    let period = deadline.as_secs() / DRAW_PERIOD.as_secs();
    let hash = xxh3::xxh3_64_with_seed(&content.to_le_bytes(), period);
    #[expect(clippy::cast_precision_loss, reason = "any fraction will do")]
    let draw = hash as f64 / u64::MAX as f64;
    draw
}

/// Whether a request is the return of a refused caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Return {
    /// It is a first request, or one that came back within the tolerance of first ones.
    First,
    /// It came back earlier than any caller is told.
    Early,
    /// It came back at a time at which callers are told to.
    AsTold,
    /// It came back later, or its caller's deadline is shorter than that of others.
    Late,
    /// The time left of first requests is not known.
    Unknown,
}

impl Return {
    /// Returns the value of the log key `returned`.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::First => "first",
            Self::Early => "early",
            Self::AsTold => "as-told",
            Self::Late => "late",
            Self::Unknown => "unknown",
        }
    }
}

impl Caller {
    /// Returns whether the request is a return, by its time left alone.
    #[must_use]
    pub fn returned(&self) -> Return {
        let Some(usual) = self.usual else { return Return::Unknown };
        let (shortest, longest) = WAIT_RANGE;
        let spent = 1.0 - self.time_left.as_secs_f64() / usual.time.as_secs_f64();
        match spent {
            _ if spent <= usual.tolerance => Return::First,
            _ if spent < shortest - EARLY_TOLERANCE => Return::Early,
            _ if spent <= longest + LATE_TOLERANCE => Return::AsTold,
            _ => Return::Late,
        }
    }

    /// Returns the longest time that the caller waits before a retry.
    #[must_use]
    pub fn max_wait(&self) -> Duration {
        self.time_left.mul_f64(MAX_WAIT_FRACTION)
    }
}
