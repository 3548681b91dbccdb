//! Warmth: what upstreams themselves say of their cold start.
//!
//! A node that believes its copy of the store knows from it which upstreams are cold. Any other node asks an
//! upstream, by its health check, before it sends a request there. An upstream that says that it is warm is used
//! as usual for a short time; one that does not gets this node's [`slow_start_share`] only.
//!
//! [`slow_start_share`]: crate::dispatch::slow_start_share

use std::net;
use std::time::{Duration, Instant};

use model::head;
use model::id;

/// Time after a check was sent from which it is repeated if the upstream is used.
const REFRESH_AFTER: Duration = Duration::from_millis(75);

/// Time after the answer to a check for which its result counts.
///
/// Together with the time that the answer takes it bounds what an upstream that becomes cold unnoticed gets. A check
/// of an upstream in another region is repeated within it.
const VALIDITY: Duration = Duration::from_millis(150);

/// Timeout of a check, and longest time for which a request waits for one.
pub const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Duration of a check from which it is repeated before a request has to wait for it; a request notices
/// shorter ones little.
const SLOW_CHECK: Duration = Duration::from_millis(30);

/// Time since the latest request for an upstream for which slow checks of it are repeated.
const KEPT_IN_USE: Duration = Duration::from_secs(1);

/// Maximum number of upstreams that are asked for one attempt of a request.
pub const MAX_CHECKS: usize = 3;

/// An upstream that is asked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Its name.
    pub upstream: id::Upstream,
    /// Its address.
    pub address: net::SocketAddr,
    /// Path of its health check.
    pub path: String,
}

/// What a check shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The upstream is warm.
    Warm,
    /// The upstream is cold, refuses the check, or does not tell.
    NotWarm,
}

impl Verdict {
    /// Derives the verdict on `upstream` from the response to its health check.
    ///
    /// Another upstream may have taken over the address, and its response says nothing.
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

/// What is known of an upstream's warmth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// A recent check had this result.
    Checked(Verdict),
    /// A check is in progress, and no recent one has ended.
    InProgress,
    /// The upstream was not asked recently.
    Unknown,
}

/// What is done before a request is sent to an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Step {
    /// The request is sent.
    Send,
    /// The request is sent, and the upstream is asked again meanwhile.
    SendAndAsk(Target),
    /// The upstream is asked first.
    Ask(Target),
    /// The result of the check in progress is awaited first.
    Await,
}

/// The checks of an upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Warmth {
    /// When the latest check was sent; `None` if there was none.
    asked_at: Option<Instant>,
    /// When the latest check was answered, and its result.
    checked: Option<(Instant, Verdict)>,
    /// When the upstream was last selected for a request.
    used_at: Option<Instant>,
}

impl Warmth {
    /// Records that the upstream is selected for a request.
    pub fn record_use(&mut self, now: Instant) {
        self.used_at = Some(now);
    }

    /// Returns when to repeat a check that was sent at `asked_at` and ends now; `None` if a request may wait
    /// for the next one.
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
