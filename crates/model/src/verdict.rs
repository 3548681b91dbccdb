//! Verdicts on failed requests: whether the request may have run, and why it failed.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a failed request may have run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Proven: no upstream ran the request, and none will.
    NotRun,
    /// An upstream may have run the request, completely or in part.
    MayHaveRun,
}

impl Verdict {
    /// Returns the value of the response header that carries the verdict.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::MayHaveRun => "may-have-run",
        }
    }
}

impl fmt::Display for Verdict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// The reason why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No service is declared for the requested host.
    UnknownHost,
    /// Requests must present a key of an organisation, which only gateways check.
    KeysNotChecked,
    /// The request is malformed or too large.
    BadRequest,
    /// The node has no configuration yet or is stopping.
    NotReady,
    /// No region has a node that can run the request.
    NoRegion,
    /// The receiving node owns no usable upstream of the service.
    NotHome,
    /// The receiving owner has no free slot.
    Busy,
    /// All slots are in use, and waiting would exceed the deadline or the limit on waiting.
    Full,
    /// The deadline expired.
    Deadline,
    /// The caller cancelled the request.
    Cancelled,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream rejected the request before running it.
    Shed,
    /// The connection was lost after the request had been sent.
    Broken,
    /// The ticket is unknown, has ended, or belongs to another incarnation.
    Ticket,
    /// A request with the same ticket is running.
    Running,
}

impl Reason {
    /// Returns the name of the reason in logs and headers.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownHost => "unknown-host",
            Self::KeysNotChecked => "keys-not-checked",
            Self::BadRequest => "bad-request",
            Self::NotReady => "not-ready",
            Self::NoRegion => "no-region",
            Self::NotHome => "not-home",
            Self::Busy => "busy",
            Self::Full => "full",
            Self::Deadline => "deadline",
            Self::Cancelled => "cancelled",
            Self::Unreachable => "unreachable",
            Self::Shed => "shed",
            Self::Broken => "broken",
            Self::Ticket => "ticket",
            Self::Running => "running",
        }
    }

    /// Parses the name of a reason; an unknown name, as from a newer node, becomes
    /// [`Reason::Broken`].
    #[must_use]
    pub fn parse(text: &str) -> Self {
        const ALL: [Reason; 15] = [
            Reason::UnknownHost,
            Reason::KeysNotChecked,
            Reason::BadRequest,
            Reason::NotReady,
            Reason::NoRegion,
            Reason::NotHome,
            Reason::Busy,
            Reason::Full,
            Reason::Deadline,
            Reason::Cancelled,
            Reason::Unreachable,
            Reason::Shed,
            Reason::Broken,
            Reason::Ticket,
            Reason::Running,
        ];
        ALL.into_iter().find(|r| r.as_str() == text).unwrap_or(Self::Broken)
    }
}

impl fmt::Display for Reason {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A failed request; the only error type in request processing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether the request may have run.
    pub verdict: Verdict,
    /// Why the request failed.
    pub reason: Reason,
    /// Time after which a retry may succeed.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Creates a failure of a request that provably did not run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// Creates a failure of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_after: None }
    }

    /// Combines this failure of the last attempt with the verdict on the earlier attempts.
    ///
    /// Even if the last attempt did not run, an earlier one may have.
    #[must_use]
    pub fn with_earlier_verdict(mut self, earlier: Verdict) -> Self {
        if earlier == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
        self
    }

    /// Sets the time after which a retry may succeed.
    #[must_use]
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after = Some(wait);
        self
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ({})", self.verdict, self.reason)
    }
}

impl std::error::Error for Failure {}
