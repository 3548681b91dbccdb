//! Reasons why a request fails without a response from an upstream, and their `Retry-After` times.
//!
//! [`retry`] decides when a reason applies, and the gateway maps each reason to a status.
//!
//! [`retry`]: crate::dispatch::retry

use std::time::Duration;

/// `Retry-After` when upstreams refused the request, were unreachable or could not be selected, and when
/// another node is to take it.
///
/// Short, because a refusal does not say how long its cause lasts, and another node can serve at once.
const RETRY_AFTER_REFUSAL: Duration = Duration::from_millis(60);

/// `Retry-After` when nothing is known about when a retry would succeed.
///
/// Longer than `RETRY_AFTER_REFUSAL`, because no upstream has refused the request yet.
pub const RETRY_AFTER_DEFAULT: Duration = Duration::from_millis(200);

/// Why a request fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// All services of the request's route have weight zero.
    NoService,
    /// The request's route and organisation have no home region in common.
    NoHome,
    /// The key of the request's organisation was revoked while the request waited for another
    /// attempt.
    Revoked,
    /// The request's organisation has used up its quota.
    OverQuota {
        /// Time after which the quota allows another request.
        retry_after: Duration,
    },
    /// The request is quarantined because it crashes upstreams.
    Quarantined {
        /// Time after which the request may be sent again.
        retry_after: Duration,
    },
    /// All otherwise eligible upstreams have reached their announced limits.
    Limited {
        /// Time after which one of them accepts another request.
        retry_after: Duration,
    },
    /// All otherwise eligible upstreams have asked for a rest period.
    Resting {
        /// Time after which the first rest period ends.
        retry_after: Duration,
    },
    /// This node is stopping and may exit before the request ends.
    Stopping,
    /// No upstream of the service is eligible.
    NoUpstream,
    /// No upstream is expected to respond before the deadline.
    Overloaded {
        /// Time after which a retry may be admitted.
        retry_after: Duration,
    },
    /// Connections to too many upstreams failed, or this node cannot connect to the service at all.
    Unreachable,
    /// The last upstream refused the request, and no retry is allowed.
    Refused,
    /// An upstream may have executed the request, which must not be repeated.
    MayHaveRun,
    /// The request was sent, and its deadline passed.
    TimedOut,
    /// The request was sent, and this node exits before the upstream responds.
    Curtailed,
    /// The request's deadline passed before it was sent.
    NotSent,
}

impl Reason {
    /// Returns the value of the log key `reason`.
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
            Self::Stopping => "stopping",
            Self::NoUpstream => "no-upstream",
            Self::Overloaded { .. } => "overloaded",
            Self::Unreachable => "unreachable",
            Self::Refused => "turned-away",
            Self::MayHaveRun => "broken",
            Self::TimedOut => "timed-out",
            Self::Curtailed => "curtailed",
            Self::NotSent => "not-sent-in-time",
        }
    }

    /// Returns whether the request was certainly not executed.
    #[must_use]
    pub fn is_proved_not_run(self) -> bool {
        !matches!(self, Self::MayHaveRun | Self::TimedOut | Self::Curtailed)
    }

    /// Returns the time after which the caller may retry, or `None` if a retry is not safe.
    #[must_use]
    pub fn retry_after(self) -> Option<Duration> {
        match self {
            Self::NoService | Self::NoHome | Self::NotSent => Some(RETRY_AFTER_DEFAULT),
            Self::Stopping | Self::NoUpstream | Self::Unreachable | Self::Refused => {
                Some(RETRY_AFTER_REFUSAL)
            }
            Self::Overloaded { retry_after }
            | Self::Limited { retry_after }
            | Self::Resting { retry_after }
            | Self::OverQuota { retry_after }
            | Self::Quarantined { retry_after } => Some(retry_after),
            Self::MayHaveRun | Self::TimedOut | Self::Curtailed | Self::Revoked => None,
        }
    }
}
