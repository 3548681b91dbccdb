//! Verdicts: whether a request that failed may have run.

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Whether a failed request may have run at an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Verdict {
    /// Proved: no upstream ran it, and none will.
    NotRun,
    /// An upstream may have run it, wholly or in part.
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

/// Why a request failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reason {
    /// No service has the request's host.
    UnknownHost,
    /// Requests must carry keys of organisations, which only gateways check.
    KeysNotChecked,
    /// The request itself is malformed or too large.
    BadRequest,
    /// The node has no configuration yet, or is stopping.
    NotReady,
    /// No region has a node that could run it.
    NoRegion,
    /// The node that was asked owns no usable upstream of the service.
    NotHome,
    /// The owner that was asked had no free slot.
    Busy,
    /// Every slot is taken and the wait would exceed the deadline or the bound.
    Full,
    /// The deadline passed.
    Deadline,
    /// The caller gave up.
    Cancelled,
    /// The upstream could not be reached.
    Unreachable,
    /// The upstream refused the work before running it.
    Shed,
    /// The connection broke after the request had been handed over.
    Broken,
    /// The ticket is unknown, ended, or of another incarnation.
    Ticket,
    /// The same ticket is running now.
    Running,
}

impl Reason {
    /// Returns the reason's name in logs and headers.
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

    /// Returns the reason named `text`, or [`Reason::Broken`] for a name that a newer node sent.
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

/// The failure of a request: the only error type on a request's path.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Whether it may have run.
    pub verdict: Verdict,
    /// Why it failed.
    pub reason: Reason,
    /// When asking again may help.
    pub retry_after: Option<Duration>,
}

impl Failure {
    /// Makes a failure of a request that was proved not to have run.
    #[must_use]
    pub fn not_run(reason: Reason) -> Self {
        Self { verdict: Verdict::NotRun, reason, retry_after: None }
    }

    /// Makes a failure of a request that may have run.
    #[must_use]
    pub fn may_have_run(reason: Reason) -> Self {
        Self { verdict: Verdict::MayHaveRun, reason, retry_after: None }
    }

    /// Returns the failure of a request whose earlier tries ended with `earlier`.
    ///
    /// That the last try did not run says nothing about the tries before it.
    #[must_use]
    pub fn after_tries(mut self, earlier: Verdict) -> Self {
        if earlier == Verdict::MayHaveRun {
            self.verdict = Verdict::MayHaveRun;
        }
        self
    }

    /// Adds the time after which asking again may help.
    #[must_use]
    pub fn after(mut self, wait: Duration) -> Self {
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
