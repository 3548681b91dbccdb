//! Cold check: health check that shows whether an upstream is cold, for nodes whose copy of the store may be outdated.
//!
//! A node with an up-to-date copy knows from it which upstreams are cold. Any other node sends a health check to
//! an upstream before it sends a request there. A response that reports no remaining cold time allows normal use
//! for a short time; otherwise the upstream gets this node's [`slow_start_share`] only.
//!
//! [`slow_start_share`]: crate::dispatch::slow_start_share

use std::net;
use std::time::{Duration, Instant};

use model::head;
use model::id;

/// Interval after which a check is repeated while the upstream is in use.
const REFRESH_AFTER: Duration = Duration::from_millis(75);

/// Time after the response to a check for which its result is valid.
///
/// Together with the response time it bounds the requests to an upstream that becomes cold between two checks. A
/// check of an upstream in another region is repeated within it.
const VALIDITY: Duration = Duration::from_millis(150);

/// Timeout of a check, and longest time for which a request waits for one.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Duration from which a check is repeated ahead of requests, so that no request waits for it; shorter ones
/// delay a request little.
const SLOW_CHECK: Duration = Duration::from_millis(30);

/// Time since the latest request for an upstream for which slow checks of it are repeated.
const KEPT_IN_USE: Duration = Duration::from_secs(1);

/// Maximum number of upstreams that are checked for one attempt of a request.
pub const MAX_CHECKS: usize = 3;

/// An upstream to check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub upstream: id::Upstream,
    /// Its address.
    pub address: net::SocketAddr,
    /// Path of its health check.
    pub path: String,
}

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream is warm.
    Warm,
    /// The upstream is cold, refuses the check, or does not report whether it is cold.
    NotWarm,
}

impl Verdict {
    /// Derives the verdict on `upstream` from the response to its health check.
    ///
    /// A response of another upstream, which may have taken over the address, is ignored.
    #[must_use]
    pub fn of(upstream: &id::Upstream, health: &head::Health<'_>) -> Self {
        let is_success = (200..300).contains(&health.status);
        let is_same = health.upstream == Some(upstream.as_str());
        match health.cold {
            head::Cold::No if is_success && is_same => Self::Warm,
            _ => Self::NotWarm,
        }
    }
}

/// What the checks of an upstream show.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// A recent check had this result.
    Checked(Verdict),
    /// A check is in progress, and no recent one has ended.
    InProgress,
    /// There is no recent check.
    Unknown,
}

/// Step before a request is sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request is sent.
    Send,
    /// The request is sent, and the check is repeated in the background.
    SendAndCheck(Target),
    /// A check is made first.
    Check(Target),
    /// The result of the check in progress is awaited first.
    Await,
}

/// The checks of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Checks {
    /// When the latest check was sent; `None` if there was none.
    asked_at: Option<Instant>,
    /// Time and result of the latest check that has ended.
    checked: Option<(Instant, Verdict)>,
    /// When the upstream was last selected for a request.
    used_at: Option<Instant>,
}

impl Checks {
    /// Records that the upstream is selected for a request.
    pub fn record_use(&mut self, now: Instant) {
        self.used_at = Some(now);
    }

    /// Returns when to repeat a check that was sent at `asked_at` and ends now; `None` if the next request makes
    /// the next check.
    #[must_use]
    pub fn repeat_at(&self, verdict: Verdict, asked_at: Instant, now: Instant) -> Option<Instant> {
        let is_slow = now.saturating_duration_since(asked_at) >= SLOW_CHECK;
        let is_used =
            self.used_at.is_some_and(|at| now.saturating_duration_since(at) < KEPT_IN_USE);
        (verdict == Verdict::Warm && is_slow && is_used).then_some(asked_at + REFRESH_AFTER)
    }

    /// Records that a check is sent.
    pub fn begin(&mut self, now: Instant) {
        self.asked_at = Some(now);
    }

    /// Records the result of the latest check.
    pub fn end(&mut self, verdict: Verdict, now: Instant) {
        self.checked = Some((now, verdict));
    }

    /// Returns what is known.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let is_within = |at: Instant, time| now.saturating_duration_since(at) < time;
        match self.checked {
            Some((at, verdict)) if is_within(at, VALIDITY) => Standing::Checked(verdict),
            _ if self.asked_at.is_some_and(|at| is_within(at, CHECK_TIMEOUT)) => {
                Standing::InProgress
            }
            _ => Standing::Unknown,
        }
    }

    /// Returns whether the latest check is so old that it is repeated.
    #[must_use]
    pub fn is_due(&self, now: Instant) -> bool {
        self.asked_at.is_none_or(|at| now.saturating_duration_since(at) >= REFRESH_AFTER)
    }
}
