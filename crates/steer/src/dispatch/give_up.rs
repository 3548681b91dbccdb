//! Giving up: why a request gets no answer of an upstream, and its `Retry-After`.
//!
//! Owns the reasons and the default times, and when an answer that stalls is cut off. Relies on nothing; [`retry`] decides when one applies, and
//! the gateway maps each to a status.
//!
//! [`retry`]: crate::dispatch::retry

use std::time::{Duration, Instant};

/// `Retry-After` when upstreams refused or none could be reached or chosen.
///
/// Short, since a refusal does not say how long its cause lasts.
const RETRY_AFTER_REFUSALS: Duration = Duration::from_millis(60);

/// `Retry-After` when nothing is known about when a retry would succeed.
///
/// Longer than `RETRY_AFTER_REFUSALS`, since no upstream has refused yet.
pub const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(200);

/// Silence within an answer that is being passed on, after which it is cut off.
///
/// Above the pauses that lost packets cause. An answer that goes on arriving may take longer than its
/// request's deadline, since its caller reads it meanwhile.
const STALL: Duration = Duration::from_secs(3);

/// Returns when an answer is cut off of which nothing more arrives from `now` on.
#[must_use]
pub fn stalled_at(deadline: Instant, now: Instant) -> Instant {
    deadline.max(now + STALL)
}

/// Why a request is given up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// All parts of its route have weight zero.
    NoService,
    /// No region may serve it: its route and its organisation have none in common.
    NoHome,
    /// Its organisation's key was taken away while it waited for another try.
    Revoked,
    /// Its organisation has sent as many requests as it may.
    OverQuota {
        /// Time after which there is room.
        retry_after: Duration,
    },
    /// Upstreams crash under it.
    Quarantined {
        /// Time after which it may be tried again.
        retry_after: Duration,
    },
    /// The upstreams that would take it get as many requests as they say that they take.
    Limited {
        /// Time after which one of them has room.
        retry_after: Duration,
    },
    /// The upstreams that would take it want no requests for now.
    Resting {
        /// Time after which one of them has rested.
        retry_after: Duration,
    },
    /// No upstream of the service may take it.
    NoUpstream,
    /// Every upstream would answer it too late.
    Overloaded {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
    /// Connections to too many upstreams failed.
    Unreachable,
    /// The last upstream refused it, and no retry is allowed.
    TurnedAway,
    /// An upstream may have run it, and it may not be repeated.
    MayHaveRun,
    /// It was sent, and its deadline passed.
    TimedOut,
    /// Its deadline passed before it was sent.
    NotSent,
}

impl Reason {
    /// Returns the reason as the log key `reason` holds it.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoService => "no-service",
            Self::NoHome => "no-home",
            Self::Revoked => "key-revoked",
            Self::OverQuota { .. } => "over-quota",
            Self::Quarantined { .. } => "quarantined",
            Self::Limited { .. } => "limited",
            Self::Resting { .. } => "resting",
            Self::NoUpstream => "no-upstream",
            Self::Overloaded { .. } => "overloaded",
            Self::Unreachable => "unreachable",
            Self::TurnedAway => "turned-away",
            Self::MayHaveRun => "broken",
            Self::TimedOut => "timed-out",
            Self::NotSent => "not-sent-in-time",
        }
    }

    /// Returns whether the request certainly has not run.
    #[must_use]
    pub fn is_proved_not_run(self) -> bool {
        !matches!(self, Self::MayHaveRun | Self::TimedOut)
    }

    /// Returns the time after which the caller may retry; none when that is not safe.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoService | Self::NoHome | Self::NotSent => Some(RETRY_AFTER_DEFAULT),
            Self::NoUpstream | Self::Unreachable | Self::TurnedAway => Some(RETRY_AFTER_REFUSALS),
            Self::Overloaded { retry_after }
            | Self::Limited { retry_after }
            | Self::Resting { retry_after }
            | Self::OverQuota { retry_after }
            | Self::Quarantined { retry_after } => Some(retry_after),
            Self::MayHaveRun | Self::TimedOut | Self::Revoked => None,
        }
    }
}
