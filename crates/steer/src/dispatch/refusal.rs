//! Why a request gets no upstream.

use std::time::Duration;

/// Why a request gets no upstream; it has not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// No upstream of the service may take it now.
    NoUpstream,
    /// Every upstream has more work than fits into the time that the request has.
    Overloaded {
        /// Time after which it is worth another try.
        retry_after: Duration,
    },
}

impl Refusal {
    /// Returns the reason as a word for logs.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NoUpstream => "no-upstream",
            Self::Overloaded { .. } => "overloaded",
        }
    }
}
