//! Results of the attempts of one request, for [`retry`] and for log lines.
//!
//! Defines the text of the log key `tries`.
//!
//! [`retry`]: crate::dispatch::retry

use std::fmt;

use model::id;

/// Result of an attempt that ended before the request's deadline.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The upstream responded with this status.
    Answered(u16),
    /// The upstream refused the request and did not execute it.
    Refused,
    /// Another upstream responded at the upstream's address; the request was not executed.
    Replaced,
    /// Nothing was sent, for this cause.
    NotSent(String),
    /// The request was sent and may have been executed; the response failed for this cause.
    Broken(String),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum End {
    /// With this outcome, before the deadline.
    Outcome(Outcome),
    /// The deadline passed while the request waited for a slot of the upstream.
    NoSlot,
    /// The deadline passed while a connection was being opened.
    NoConnection,
    /// The deadline passed while waiting for the response.
    NoAnswer,
}

impl fmt::Display for End {
    /// Writes the text for the log key `tries`.
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Outcome(Outcome::Answered(status)) => write!(formatter, "{status}"),
            Self::Outcome(Outcome::Refused) => formatter.write_str("turned-away"),
            Self::Outcome(Outcome::Replaced) => formatter.write_str("replaced"),
            Self::Outcome(Outcome::NotSent(cause) | Outcome::Broken(cause)) => {
                formatter.write_str(cause)
            }
            Self::NoSlot => formatter.write_str("no-slot"),
            Self::NoConnection => formatter.write_str("no-connection"),
            Self::NoAnswer => formatter.write_str("no-answer"),
        }
    }
}

/// An attempt that ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// The upstream.
    pub upstream: id::Upstream,
    /// How the attempt ended.
    pub end: End,
}
